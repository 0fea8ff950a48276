// Submits a job and decides when it is sent again.
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
  /// Time in which the job is sent, and sent again after lost answers.
  runtime::duration Timeout = std::chrono::seconds(30);
  /// Time in which a refused job is sent again when the refusal says when.
  runtime::duration Wait{};
};

struct submission_result {
  exit_status Status = exit_status::OtherError;
  platform::caller_answer Answer;
};

/// Rules:
/// - After a lost answer the job is sent again under the same id, at the next entry VM, after ResendDelay. By
///   then nothing of the first submission runs.
/// - After a refusal it is sent again when the refusal says when and Wait allows it.
/// - A refusal that follows a lost answer leaves the outcome unknown.
submission_result submitJob(entry_session &Session, const submission_plan &Plan,
                            const std::function<void(std::string_view)> &Progress);

inline constexpr runtime::duration ResendDelay = std::chrono::milliseconds(1300);

} // namespace yuccaplank::cli
