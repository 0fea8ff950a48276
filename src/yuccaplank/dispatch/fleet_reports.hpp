// Converts this VM's state into reports for operators.
#pragma once

#include "yuccaplank/dispatch/evacuations.hpp"

#include "report.pb.h"

#include <cstdint>
#include <string>

namespace yuccaplank::dispatch {

schema::vm_report makeVmReport(const schema::vm_status &Status, const std::string &Address, bool InContact,
                               const std::string &Placer);
schema::server_report makeServerReport(const schema::server_state &State, const std::string &Owner);
/// Runs is the number of runs on the domain's servers that this VM owns.
schema::evacuation_report makeEvacuationReport(const evacuation &Evacuation, runtime::time_point Now,
                                               std::uint32_t Runs);

} // namespace yuccaplank::dispatch
