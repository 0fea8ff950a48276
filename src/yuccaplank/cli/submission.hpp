// Submits a job and decides when it may be submitted again.
#pragma once

#include "job.pb.h"
#include "yuccaplank/cli/exit_status.hpp"
#include "yuccaplank/cli/session.hpp"

#include <functional>
#include <string>

namespace yuccaplank::cli {

/// A job to submit, and when to submit it again.
struct submission_plan {
  std::string Document;
  /// The job document says that the work may be submitted again under a new id.
  bool Repeatable = false;
  /// At most one of Key and Id is set; with neither, an id is taken first.
  std::string Key;
  std::string Id;
  bool Async = false;
  /// Submissions under a new id after a failed or unknown outcome.
  unsigned Resubmits = 0;
  /// Time in which refused submissions are repeated.
  runtime::duration Wait{};
  /// Time for the answer to one submission.
  runtime::duration Timeout = std::chrono::seconds(30);
};

/// End of a submission with its repetitions.
struct submission_result {
  exit_status Status = exit_status::OtherError;
  /// The answer received. Without one: refused (connect_failed) when nothing was written, else unknown.
  schema::job_answer Answer;
  /// An attempt under the answer's id was lost, so that a refusal does not tell whether the job runs.
  bool AttemptLost = false;
};

/// Rules:
/// - After a lost connection the job is submitted again under the same id only.
/// - After a refusal it is submitted again when the refusal says when and Wait allows it. A new id is used
///   only if the VM that issued the old one is draining and no attempt under it was lost.
/// - After a failed or unknown outcome it is submitted under a new id, only if it is repeatable.
submission_result submitJob(entry_session &Session, const submission_plan &Plan,
                            const std::function<void(std::string_view)> &Progress);

/// Answer to a request about a job.
struct job_reply {
  schema::job_answer Answer;
  /// False when the answer was made up here because none came or it could not be read: unknown, or refused
  /// when nothing was written.
  bool Received = false;
};

/// Waits until a job has ended or Wait has passed.
job_reply queryJob(entry_session &Session, const std::string &Id, runtime::duration Wait,
                   runtime::duration Timeout);

/// Answer in the reply to a request about the job; made up when the reply has none.
job_reply answerOf(const entry_reply &Reply, const std::string &Id);

} // namespace yuccaplank::cli
