// Metrics of an entry VM in the text format of Prometheus.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace yuccaplank::entry {

class vm_metrics {
public:
  virtual ~vm_metrics() = default;
  /// A caller got its answer this time after its request.
  virtual void observeAnswer(dispatch::job_outcome Outcome, runtime::duration Took) = 0;
  virtual std::string text(const dispatch::entry_vm_state &State, std::size_t PendingCallers) = 0;
};

std::unique_ptr<vm_metrics> makeVmMetrics();

} // namespace yuccaplank::entry
