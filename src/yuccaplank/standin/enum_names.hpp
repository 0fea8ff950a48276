// Conversion of names in control documents to enumerators.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace yuccaplank::standin {

/// Returns the enumerator whose value is the index of Name in Names, or nothing if the name is unknown.
template <typename Enum, std::size_t Count>
std::optional<Enum> enumFromName(const std::array<std::string_view, Count> &Names, std::string_view Name) {
  const auto *Found = std::ranges::find(Names, Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<Enum>(Found - Names.begin());
}

} // namespace yuccaplank::standin
