// Reports of entry VMs to operators.
#pragma once

#include "report.pb.h"
#include "yuccaplank/cli/command.hpp"

#include <string>
#include <vector>

namespace yuccaplank::cli {

/// Reports of the VMs asked, and the addresses of those that gave none.
struct fleet_answers {
  std::vector<schema::fleet_report> Reports;
  std::vector<std::string> Silent;
};
fleet_answers fetchFleet(command_context &Context);

struct burn_answers {
  std::vector<schema::burn_counts> Counts;
  std::vector<std::string> Silent;
};
burn_answers fetchBurn(command_context &Context);

} // namespace yuccaplank::cli
