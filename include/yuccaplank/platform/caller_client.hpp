// What callers send to entry VMs and what they get back, as the platform's HTTP calls.
#pragma once

#include "dispatch.pb.h"
#include "yuccaplank/wire/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace yuccaplank::platform {

/// Host and path prefix of a queue.
struct queue_address {
  std::string Host;
  std::string Path;
};

/// A job of equal tasks.
struct caller_job {
  std::uint64_t Id = 0;
  std::string Specification;
  std::uint32_t TaskCount = 1;
  schema::task_size TaskSize;
  std::uint32_t EstimateMs = 0;
  /// How long the caller waits for the answer.
  std::uint32_t DeadlineMs = 0;
};

enum class caller_outcome : std::uint8_t {
  Completed,
  Failed,
  Cancelled,
  /// Queued or running.
  Pending,
  /// Not run by this submission.
  Refused,
  /// Not run: the request is not one that an entry VM takes.
  Malformed,
  /// No such queue, or no such job.
  NotFound,
  /// Nothing is known; the job is to be sent again under the same id.
  Unanswered,
};

struct caller_answer {
  caller_outcome Outcome = caller_outcome::Unanswered;
  /// With Refused: when to come back.
  std::uint32_t RetryAfterS = 0;
  /// State or HTTP status, for people.
  std::string Detail;
};

/// Calls to one entry VM; Entry is its address.
wire::http_call makeSubmitCall(const std::string &Entry, const queue_address &Queue, const caller_job &Job);
wire::http_call makeStateCall(const std::string &Entry, const queue_address &Queue, std::uint64_t Job);
wire::http_call makeCancelCall(const std::string &Entry, const queue_address &Queue, std::uint64_t Job);
wire::http_call makeWaitingCountCall(const std::string &Entry, const queue_address &Queue);

/// Answer to a call about a job.
caller_answer decodeCallerAnswer(const wire::http_call_result &Result);
/// Jobs of a queue of which no task has started; nothing without a readable answer.
std::optional<std::uint32_t> decodeWaitingCount(const wire::http_call_result &Result);

} // namespace yuccaplank::platform
