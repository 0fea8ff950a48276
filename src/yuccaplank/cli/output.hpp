// Text for people: tables and cells.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace yuccaplank::cli {

/// Column widths fit the cells; the first row is the head.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

/// "0.5 of 64" cores from thousandths of a core.
std::string formatCores(std::uint32_t Used, std::uint32_t Capacity);

} // namespace yuccaplank::cli
