// Burn report: how the queues meet their objectives, as table, page and JSON.
#pragma once

#include "report.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::cli {

/// One queue in one window, over all VMs that answered.
struct burn_line {
  std::string Queue;
  double ObjectivePercent = 0;
  std::uint32_t WindowS = 0;
  std::uint64_t Good = 0;
  std::uint64_t Total = 0;
  /// Share of good jobs, in percent; 100 when there were none.
  double AttainedPercent = 100;
  /// Rate at which the error budget is used; 1 uses it up exactly within the objective's period.
  double BurnRate = 0;
  /// Part of the window's error budget that is left, in percent; negative when overspent.
  double BudgetLeftPercent = 100;
};

/// Adds up the counts of all VMs; of different objectives the first one holds.
std::vector<burn_line> mergeBurn(const std::vector<schema::burn_counts> &Counts);

/// Silent lists the VMs that gave no answer.
std::string formatBurnTable(const std::vector<burn_line> &Lines, const std::vector<std::string> &Silent);

/// Self-contained page with a table and a plot of the burn rates.
std::string formatBurnHtml(const std::vector<burn_line> &Lines, const std::vector<std::string> &Silent);

std::string formatBurnJson(const std::vector<burn_line> &Lines);

/// Replaces the characters that have a meaning in HTML text and attributes.
std::string escapeHtml(std::string_view Text);

} // namespace yuccaplank::cli
