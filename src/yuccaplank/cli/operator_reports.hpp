// Fetches reports from the operator listeners of the entry VMs.
#pragma once

#include "report.pb.h"
#include "yuccaplank/cli/command.hpp"

#include <string>
#include <vector>

namespace yuccaplank::cli {

/// Fleet reports of the queried VMs, and the addresses of the VMs that sent none.
struct fleet_reports {
  std::vector<schema::fleet_report> Reports;
  std::vector<std::string> MissingVms;
};
fleet_reports fetchFleetReports(command_context &Context);

/// Burn counts of the queried VMs, and the addresses of the VMs that sent none.
struct fleet_burn_counts {
  std::vector<schema::burn_counts> Counts;
  std::vector<std::string> MissingVms;
};
fleet_burn_counts fetchBurnCounts(command_context &Context);

} // namespace yuccaplank::cli
