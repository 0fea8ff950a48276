// Names of enumerators in control documents.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace yuccaplank::standin {

/// The enumerator whose name stands at its index in Names; nothing for an unknown name.
template <typename Enum, std::size_t Count>
std::optional<Enum> enumFromName(const std::array<std::string_view, Count> &Names, std::string_view Name) {
  const auto *Found = std::ranges::find(Names, Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<Enum>(Found - Names.begin());
}

} // namespace yuccaplank::standin
