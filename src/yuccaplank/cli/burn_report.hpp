// Formats the burn report, which shows how well the queues meet their objectives, as a table, an HTML page or
// JSON.
#pragma once

#include "report.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::cli {

/// Figures of one queue in one time window, summed over all VMs that sent a report.
struct burn_line {
  std::string Queue;
  double ObjectivePercent = 0;
  std::uint32_t WindowS = 0;
  std::uint64_t Good = 0;
  std::uint64_t Total = 0;
  /// Share of good jobs, in percent; 100 when there were no jobs.
  double AttainedPercent = 100;
  /// Rate at which the error budget is consumed. A rate of 1 uses it up exactly within the objective's
  /// period.
  double BurnRate = 0;
  /// Remaining share of the window's error budget, in percent; negative when the budget is overspent.
  double BudgetLeftPercent = 100;
};

/// Adds up the counts of all VMs. When VMs report different objectives, the first one is used.
std::vector<burn_line> mergeBurn(const std::vector<schema::burn_counts> &Counts);

/// Formats a text table. MissingVms lists the addresses of the VMs that sent no report.
std::string formatBurnTable(const std::vector<burn_line> &Lines, const std::vector<std::string> &MissingVms);

/// Formats an HTML page with a table and a plot of the burn rates. The page refers to no other files.
std::string formatBurnHtml(const std::vector<burn_line> &Lines, const std::vector<std::string> &MissingVms);

std::string formatBurnJson(const std::vector<burn_line> &Lines);

/// Escapes the characters that have a special meaning in HTML text and attributes.
std::string escapeHtml(std::string_view Text);

} // namespace yuccaplank::cli
