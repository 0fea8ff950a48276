#include "yuccaplank/wire/document_checks.hpp"

#include "yuccaplank/wire/service_codec.hpp"
#include "yuccaplank/wire/socket_address.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

struct name_characters {
  std::string_view Extra;
  bool UpperCase;
  std::string_view Expected;
};

// Indexed by name_rule.
constexpr auto NameRules = std::to_array<name_characters>({
    {"-", false, "1 to 64 characters of a-z, 0-9, '-'"},
    {"-_", true, "1 to 64 characters of A-Z, a-z, 0-9, '-', '_'"},
    {"-_.", true, "1 to 64 characters of A-Z, a-z, 0-9, '-', '_', '.'"},
});

const name_characters &charactersOf(name_rule Rule) { return NameRules[static_cast<std::size_t>(Rule)]; }

bool isAddress(std::string_view Text, bool PortZeroAllowed) {
  auto Address = parseSocketAddress(Text);
  return Address && (PortZeroAllowed || Address.value().port() != 0);
}

} // namespace

bool isName(std::string_view Text, name_rule Rule) {
  const name_characters &Characters = charactersOf(Rule);
  auto Allowed = [&](char Letter) {
    return (Letter >= 'a' && Letter <= 'z') || (Letter >= '0' && Letter <= '9') ||
           (Characters.UpperCase && Letter >= 'A' && Letter <= 'Z') ||
           Characters.Extra.find(Letter) != std::string_view::npos;
  };
  return !Text.empty() && Text.size() <= MaxNameLength && std::all_of(Text.begin(), Text.end(), Allowed);
}

void document_checks::add(errc Code, std::string Path, std::string Expected) {
  Issues.push_back({Code, std::move(Path), 0, std::move(Expected)});
}

bool document_checks::requireName(const std::string &Path, std::string_view Value, name_rule Rule) {
  if (isName(Value, Rule))
    return true;
  add(Value.empty() ? errc::MissingField : errc::OutOfRange, Path, std::string(charactersOf(Rule).Expected));
  return false;
}

void document_checks::requireText(const std::string &Path, std::string_view Value, std::size_t MinLength) {
  if (Value.size() < MinLength)
    add(Value.empty() ? errc::MissingField : errc::OutOfRange, Path,
        fmt::format("at least {} characters", MinLength));
}

void document_checks::requireRange(const std::string &Path, std::uint64_t Value, std::uint64_t Min,
                                   std::uint64_t Max) {
  if (Value < Min || Value > Max)
    add(errc::OutOfRange, Path, fmt::format("{} to {}", Min, Max));
}

void document_checks::requireAddress(const std::string &Path, std::string_view Value, bool PortZeroAllowed) {
  if (!isAddress(Value, PortZeroAllowed))
    add(Value.empty() ? errc::MissingField : errc::OutOfRange, Path, "ip:port");
}

} // namespace yuccaplank::wire
