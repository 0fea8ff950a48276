// Converts this VM's state into reports for operators.
#pragma once

#include "dispatch.pb.h"
#include "report.pb.h"

#include <string>

namespace yuccaplank::dispatch {

schema::vm_report makeVmReport(const schema::vm_status &Status, const std::string &Address, bool InContact,
                               const std::string &Placer);
schema::server_report makeServerReport(const schema::server_state &State, const std::string &Owner);

} // namespace yuccaplank::dispatch
