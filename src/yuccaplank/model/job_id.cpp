#include "yuccaplank/model/job_id.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <tuple>

namespace yuccaplank::model {
namespace {

using runtime::errc;

constexpr std::size_t MaxNameLength = 128;
constexpr std::string_view IssuedPrefix = "i.";
constexpr std::string_view CallerKeyPrefix = "k.";

bool isNameCharacter(char Character) {
  return (Character >= 'A' && Character <= 'Z') || (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '-' || Character == '_';
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength && std::ranges::all_of(Text, isNameCharacter);
}

// Only the canonical form is accepted (no sign, no leading zero), so that a job has exactly one id text.
template <typename Number> std::optional<Number> parseNumber(std::string_view Text) {
  if (Text.empty() || Text.front() < '0' || Text.front() > '9' || (Text.size() > 1 && Text.front() == '0'))
    return std::nullopt;
  Number Value = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

// Splits at every separator; the number of parts must match exactly.
template <std::size_t Count>
std::optional<std::array<std::string_view, Count>> split(std::string_view Text, char Separator) {
  std::array<std::string_view, Count> Parts;
  for (std::size_t Index = 0; Index + 1 < Count; ++Index) {
    std::size_t End = Text.find(Separator);
    if (End == std::string_view::npos)
      return std::nullopt;
    Parts[Index] = Text.substr(0, End);
    Text.remove_prefix(End + 1);
  }
  if (Text.find(Separator) != std::string_view::npos)
    return std::nullopt;
  Parts[Count - 1] = Text;
  return Parts;
}

runtime::result<job_id> parseIssuedId(std::string_view Text) {
  auto Parts = split<4>(Text.substr(IssuedPrefix.size()), '.');
  if (!Parts)
    return errc::InvalidId;
  auto [Domain, Vm, Run, SequenceText] = *Parts;
  auto RunParts = split<2>(Run, '-');
  if (!RunParts || !isName(Domain) || !isName(Vm))
    return errc::InvalidId;
  auto StartedMs = parseNumber<std::int64_t>((*RunParts)[0]);
  auto Nonce = parseNumber<std::uint32_t>((*RunParts)[1]);
  auto Sequence = parseNumber<std::uint64_t>(SequenceText);
  if (!StartedMs || !Nonce || !Sequence)
    return errc::InvalidId;
  job_id Id;
  Id.Kind = id_kind::Issued;
  Id.Text = Text;
  Id.Domain = Domain;
  Id.Authority.set_vm(std::string(Vm));
  Id.Authority.set_started_ms(*StartedMs);
  Id.Authority.set_nonce(*Nonce);
  Id.Sequence = *Sequence;
  return Id;
}

runtime::result<job_id> parseCallerKey(std::string_view Text) {
  std::string_view Key = Text.substr(CallerKeyPrefix.size());
  if (!isName(Key))
    return errc::InvalidId;
  job_id Id;
  Id.Kind = id_kind::CallerKey;
  Id.Text = Text;
  Id.Key = Key;
  return Id;
}

auto ageKey(const schema::incarnation &Value) {
  return std::make_tuple(Value.started_ms(), Value.nonce(), std::string_view(Value.vm()));
}

} // namespace

runtime::result<job_id> parseJobId(std::string_view Text) {
  if (Text.starts_with(IssuedPrefix))
    return parseIssuedId(Text);
  if (Text.starts_with(CallerKeyPrefix))
    return parseCallerKey(Text);
  return errc::InvalidId;
}

std::string issuedId(const std::string &Domain, const schema::incarnation &Authority,
                     std::uint64_t Sequence) {
  return fmt::format("i.{}.{}.{}-{}.{}", Domain, Authority.vm(), Authority.started_ms(), Authority.nonce(),
                     Sequence);
}

bool sameIncarnation(const schema::incarnation &Left, const schema::incarnation &Right) {
  return ageKey(Left) == ageKey(Right);
}

bool olderIncarnation(const schema::incarnation &Left, const schema::incarnation &Right) {
  return ageKey(Left) < ageKey(Right);
}

std::string incarnationName(const schema::incarnation &Value) {
  return fmt::format("{}@{}-{}", Value.vm(), Value.started_ms(), Value.nonce());
}

} // namespace yuccaplank::model
