// Metrics of an entry VM in the Prometheus text format.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace yuccaplank::entry {

class vm_metrics {
public:
  virtual ~vm_metrics() = default;
  /// Records the answer to a caller; Latency is the time since its request.
  virtual void observeAnswer(dispatch::job_outcome Outcome, runtime::duration Latency) = 0;
  /// Returns all metrics; PendingCallers is the number of callers that wait for an answer.
  virtual std::string serialize(const dispatch::entry_vm_state &State, std::size_t PendingCallers) = 0;
};

std::unique_ptr<vm_metrics> makeVmMetrics();

} // namespace yuccaplank::entry
