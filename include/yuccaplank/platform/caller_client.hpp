// Encodes callers' requests to entry VMs as the platform's HTTP calls, and decodes the answers.
#pragma once

#include "yuccaplank/dispatch/job_id.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include "dispatch.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace yuccaplank::platform {

/// Host and path prefix of a queue.
struct queue_address {
  std::string Host;
  std::string Path;
};

/// A job whose tasks all have the same size and estimate.
struct caller_job {
  dispatch::job_id Id;
  std::string Specification;
  std::uint32_t TaskCount = 1;
  schema::task_size TaskSize;
  std::uint32_t EstimateMs = 0;
  /// Time for which the caller waits for the answer; 0 leaves the default of the VM.
  std::uint32_t DeadlineMs = 0;
  /// Rack in which the data of the tasks lies; empty if there is no preference.
  std::string Rack;
  /// Whether all tasks should run on one rack.
  bool SameRack = false;
};

enum class caller_outcome : std::uint8_t {
  Completed,
  Failed,
  Cancelled,
  /// Queued or running.
  Pending,
  /// The job was not run by this submission and may be sent again.
  Refused,
  /// The job was not run because the request is invalid.
  Malformed,
  /// The queue or the job does not exist.
  NotFound,
  /// The outcome is unknown; the caller should resend the job under the same id.
  Unanswered,
};

struct caller_answer {
  caller_outcome Outcome = caller_outcome::Unanswered;
  /// Delay before the job should be sent again; set for Refused only.
  std::uint32_t RetryAfterS = 0;
  /// State of the job, HTTP status or error, for display.
  std::string Detail;
};

/// Calls to the entry VM at EntryAddress.
wire::http_call makeSubmitCall(const std::string &EntryAddress, const queue_address &Queue,
                               const caller_job &Job);
wire::http_call makeStateCall(const std::string &EntryAddress, const queue_address &Queue,
                              dispatch::job_id Job);
wire::http_call makeCancelCall(const std::string &EntryAddress, const queue_address &Queue,
                               dispatch::job_id Job);
wire::http_call makeWaitingCountCall(const std::string &EntryAddress, const queue_address &Queue);

/// Decodes the answer to a call about a job.
caller_answer decodeCallerAnswer(const wire::http_call_result &Result);
/// Decodes the number of a queue's jobs that have started no task; nullopt if there is no readable answer.
std::optional<std::uint32_t> decodeWaitingCount(const wire::http_call_result &Result);

} // namespace yuccaplank::platform
