// How a job ended, and why.
#pragma once

#include "dispatch.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccaplank::dispatch {

enum class job_outcome : std::uint8_t {
  Completed,
  /// A task failed as often as its queue allows.
  Failed,
  /// Nothing has run and nothing will.
  Refused,
  /// Tasks have run, none runs any more, and the deadline has passed.
  TimedOut,
  Cancelled,
};
std::string_view jobOutcomeName(job_outcome Outcome);

/// Why a job was not completed.
enum class end_reason : std::uint8_t {
  None,
  /// No server of the pool is large enough for a task.
  NoServerLargeEnough,
  /// No server will be free in time.
  NoRoomInTime,
  /// No VM that places tasks is known.
  NoPlacer,
  Deadline,
  TaskFailed,
  CallerLeft,
  Cancelled,
};
std::string_view endReasonName(end_reason Reason);
end_reason endReasonOf(schema::reject_reason Reason);

struct job_answer {
  job_outcome Outcome = job_outcome::Completed;
  end_reason Reason = end_reason::None;
  /// With Refused: when the caller may come back.
  std::uint32_t RetryAfterMs = 0;
  /// Name of the job's queue.
  std::string Queue;
  bool WithinObjective = false;
};

} // namespace yuccaplank::dispatch
