// Timeouts and delays for jobs that this VM relays to another one.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

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
};

} // namespace yuccaplank::dispatch
