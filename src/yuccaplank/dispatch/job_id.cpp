#include "yuccaplank/dispatch/job_id.hpp"

#include <fmt/format.h>

#include <charconv>

namespace yuccaplank::dispatch {
namespace {

bool isCapital(char Character) { return Character >= 'A' && Character <= 'F'; }

} // namespace

std::optional<job_id> parseJobId(std::string_view Text) {
  if (Text.size() != job_id::DigitCount)
    return std::nullopt;
  std::uint64_t Digits = 0;
  auto [Stop, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Digits, 16);
  if (Error != std::errc() || Stop != Text.data() + Text.size())
    return std::nullopt;
  std::uint32_t Capitals = 0;
  for (char Character : Text)
    Capitals = Capitals << 1U | (isCapital(Character) ? 1U : 0U);
  return job_id(Digits, Capitals);
}

std::string formatJob(job_id Id) {
  std::string Text = fmt::format("{:016x}", Id.digits());
  if (!Id.hasCapitals())
    return Text;
  for (std::size_t Index = 0; Index < job_id::DigitCount; ++Index)
    if (Id.capitals() >> Index & 1U)
      Text[job_id::DigitCount - 1 - Index] =
          static_cast<char>(Text[job_id::DigitCount - 1 - Index] - 'a' + 'A');
  return Text;
}

} // namespace yuccaplank::dispatch
