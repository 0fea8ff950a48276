// Submits a job, and resends it after a lost answer or a refusal.
#pragma once

#include "yuccaplank/cli/exit_status.hpp"
#include "yuccaplank/cli/session.hpp"
#include "yuccaplank/platform/caller_client.hpp"

#include <functional>
#include <string_view>

namespace yuccaplank::cli {

struct submission_plan {
  platform::queue_address Queue;
  platform::caller_job Job;
  /// Limits the time for sending the job, including the attempts after lost answers. It restarts after a
  /// refusal.
  runtime::duration Timeout = std::chrono::seconds(30);
  /// Limits the time in which a refused job is sent again. Zero means that it is not sent again.
  runtime::duration RefusalRetryTimeout{};
};

struct submission_result {
  exit_status Status = exit_status::OtherError;
  platform::caller_answer Answer;
};

/// Submits a job and waits for its outcome:
/// - After a lost answer the job is sent again under the same id, to the next entry VM, after ResendDelay. By
///   then no task of the first submission is running.
/// - After a refusal that names a delay the job is sent again after that delay, if RefusalRetryTimeout allows
/// it.
/// - A refusal that follows a lost answer leaves the outcome unknown.
submission_result submitJob(entry_session &Session, const submission_plan &Plan,
                            const std::function<void(std::string_view)> &PrintProgress);

/// Delay between a lost answer and the next attempt.
inline constexpr runtime::duration ResendDelay = std::chrono::milliseconds(1300);

} // namespace yuccaplank::cli
