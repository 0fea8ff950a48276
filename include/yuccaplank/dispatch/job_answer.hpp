// How a job ended, and why.
#pragma once

#include "dispatch.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccaplank::dispatch {

enum class job_outcome : std::uint8_t {
  Completed,
  /// A task failed as often as its queue allows, or crashed its servers.
  Failed,
  /// No task has run, and none will.
  Refused,
  /// The deadline has passed. Tasks may have run; those that still run are stopped.
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
  /// All servers that are large enough for a task are evacuated.
  Evacuated,
  /// The servers that started a task have crashed.
  ServersCrashed,
  /// The jobs before this one take the capacity until it is too late for this one.
  Backlog,
  /// The memory for jobs of other VMs is in use.
  MemoryLimit,
  /// Some VMs run an earlier build, which does not understand the job's id.
  Upgrade,
};
inline constexpr end_reason LastEndReason = end_reason::Upgrade;
std::string_view endReasonName(end_reason Reason);
end_reason toEndReason(schema::reject_reason Reason);

struct job_answer {
  job_outcome Outcome = job_outcome::Completed;
  end_reason Reason = end_reason::None;
  /// For Refused: time after which the caller may submit the job again.
  std::uint32_t RetryAfterMs = 0;
  /// Name of the job's queue.
  std::string Queue;
  bool WithinObjective = false;
};

} // namespace yuccaplank::dispatch
