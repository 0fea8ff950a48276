// Timeouts, delays and limits for relayed jobs.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>

namespace yuccaplank::dispatch {

struct relay_options {
  /// After contact with the dispatching VM is lost, the job's runs under it count as ended after this time
  /// (dispatch/bounds).
  runtime::duration OrphanTimeout = std::chrono::milliseconds(1300);
  /// Delay before a job that a dispatching VM has not taken is relayed again.
  runtime::duration RelayRetryDelay = std::chrono::milliseconds(30);
  /// Jobs are refused if no dispatching VM comes into contact within this time.
  runtime::duration DispatcherTimeout = std::chrono::milliseconds(800);
  /// After the deadline, the caller gets an answer from this VM if the dispatching VM's answer has not
  /// arrived within this time.
  runtime::duration AnswerTimeout = std::chrono::milliseconds(100);
  /// Limit of the memory of the jobs that other VMs relay to this one, by estimate (dispatch/job_memory).
  std::uint64_t MaxRelayedBytes = std::uint64_t{16} << 20U;
};

} // namespace yuccaplank::dispatch
