// Metrics of an entry VM in the text format of Prometheus.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"

#include <cstddef>
#include <string>

namespace yuccaplank::entry {

std::string formatMetrics(const dispatch::entry_vm_state &State, std::size_t PendingCallers);

} // namespace yuccaplank::entry
