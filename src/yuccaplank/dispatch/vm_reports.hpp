// Values for metrics and the report for operators, from the roles of this VM.
#pragma once

#include "configuration_exchange.hpp"
#include "vm_components.hpp"
#include "vm_roles.hpp"

#include <cstdint>

namespace yuccaplank::dispatch {

/// DeclinedJobs is the number of relayed jobs that this VM declined.
entry_vm_state makeVmState(const vm_components &Vm, const vm_roles &Roles,
                           const configuration_exchange &Configurations, std::uint64_t DeclinedJobs);
schema::fleet_report makeFleetReport(const vm_components &Vm, const vm_roles &Roles,
                                     const configuration_exchange &Configurations);

} // namespace yuccaplank::dispatch
