// Text and HTML forms of the burn report.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace yuccaplank::cli {

/// Table of the reply of GET /v1/reports/burn.
std::string formatBurnTable(const nlohmann::ordered_json &Report);

/// Self-contained page with a table and a plot of the burn rates.
std::string formatBurnHtml(const nlohmann::ordered_json &Report);

/// Replaces the characters that have a meaning in HTML text and attributes.
std::string escapeHtml(std::string_view Text);

} // namespace yuccaplank::cli
