// Times of jobs that another VM coordinates.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

namespace yuccaplank::dispatch {

struct relay_options {
  /// After losing contact with the dispatching VM, its runs of the job count as gone after this time
  /// (dispatch/bounds).
  runtime::duration OrphanTimeout = std::chrono::milliseconds(1300);
  /// Pause before a job that a dispatching VM has not taken is passed on again.
  runtime::duration DeclinedTime = std::chrono::milliseconds(30);
  /// Without a dispatching VM in contact, jobs are refused after this time.
  runtime::duration DispatcherWait = std::chrono::milliseconds(800);
  /// The dispatching VM's own answer at the deadline arrives within this time.
  runtime::duration AnswerTime = std::chrono::milliseconds(100);
};

} // namespace yuccaplank::dispatch
