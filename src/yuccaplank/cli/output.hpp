// Formats tables and their cells for the terminal.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace yuccaplank::cli {

/// Formats a table whose columns are as wide as their widest cell. The first row is the header.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

/// Formats a number of cores as "0.5 of 64". Both parameters are in thousandths of a core.
std::string formatCores(std::uint32_t Used, std::uint32_t Capacity);

} // namespace yuccaplank::cli
