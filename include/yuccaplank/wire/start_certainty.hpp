// The one rule that decides whether a task may have started on a backend server.
#pragma once

#include "yuccaplank/wire/http_client.hpp"

#include <string_view>

namespace yuccaplank::wire {

/// What one attempt to run a task amounts to.
enum class attempt_verdict : std::uint8_t {
  /// The result is complete and belongs to the task.
  Completed,
  /// The task has certainly not started; another backend server may be tried.
  NotStarted,
  /// The task started, or may have started, and has no usable result.
  StartedAndFailed,
};

/// Verdict on an attempt, with the reason when it is not Completed.
struct attempt_outcome {
  attempt_verdict Verdict = attempt_verdict::StartedAndFailed;
  runtime::errc Reason = runtime::errc::Ok;
  /// The server announced that it is leaving.
  bool Leaving = false;
};

/// Applies the rule table to the result of a task request for TaskId.
attempt_outcome judgeAttempt(const http_call_result &Result, std::string_view TaskId);

} // namespace yuccaplank::wire
