// Metrics of an entry VM in the Prometheus text format.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace yuccaplank::entry {

/// Values that the process counts outside the dispatching roles.
struct process_counts {
  /// Callers that wait for an answer.
  std::size_t PendingCallers = 0;
  /// Rows in the store that request no evacuation of a known failure domain.
  std::uint64_t IgnoredEvacuations = 0;
  /// Callers' requests that were not passed on because their connection had been closed by this VM, or by the
  /// caller, or because they may have been read late.
  std::uint64_t DroppedOnClosing = 0;
  std::uint64_t DroppedCallerLeft = 0;
  std::uint64_t JobsReadLate = 0;
  /// Unfinished requests refused because of their memory or their time, on all HTTP ports.
  std::uint64_t RefusedForMemory = 0;
  std::uint64_t RefusedForTime = 0;
  /// Times that callers' connections were closed to make room for new ones, and connections refused.
  std::uint64_t ConnectionsReplaced = 0;
  std::uint64_t ConnectionsRefused = 0;
};

class vm_metrics {
public:
  virtual ~vm_metrics() = default;
  /// Records the answer to a caller; Latency is the time since its request.
  virtual void observeAnswer(dispatch::job_outcome Outcome, runtime::duration Latency) = 0;
  /// Returns all metrics.
  virtual std::string serialize(const dispatch::entry_vm_state &State, const process_counts &Counts) = 0;
};

std::unique_ptr<vm_metrics> makeVmMetrics();

} // namespace yuccaplank::entry
