#include "yuccaplank/cli/output.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

constexpr double ThousandthsPerCore = 1000;

} // namespace

std::string formatTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Text;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Line += fmt::format("{:<{}}  ", Row[Column], Widths[Column]);
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

std::string formatCores(std::uint32_t Used, std::uint32_t Capacity) {
  return fmt::format("{:g} of {:g}", Used / ThousandthsPerCore, Capacity / ThousandthsPerCore);
}

} // namespace yuccaplank::cli
