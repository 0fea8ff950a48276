// The record of a job at its coordinator.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

enum class task_phase : std::uint8_t {
  /// The task waits until the placer chooses a server.
  Waiting,
  /// The start order was sent to the owner of the server, or a new owner has adopted the run.
  StartOrdered,
  /// The owner of the server is out of contact or has yielded the run.
  Orphaned,
  Done,
};

struct task_state {
  task_phase Phase = task_phase::Waiting;
  /// Number of the current run.
  std::uint32_t Run = 1;
  std::uint32_t Failures = 0;
  /// Runs that ended because their server did.
  std::uint32_t LostRuns = 0;
  /// Runs that were stopped because they took too long.
  std::uint32_t OverdueRuns = 0;
  std::string Owner;
  std::string Server;
  /// Fencing token under which the owner held the server when the run was ordered or adopted.
  std::uint64_t Token = 0;
  /// Whether the run was granted a server without other tasks.
  bool Alone = false;
  /// Estimated time on the granted server, which is longer outside the rack of the task's data.
  std::uint32_t EstimateMs = 0;
  runtime::time_point StartOrderedAt;
  /// When an owner last refused to start the task.
  std::optional<runtime::time_point> RefusedAt = std::nullopt;
  /// Placement is not requested before this time.
  runtime::time_point PlaceAfter{};
  /// Whether the placer has been asked to place the run, and has not answered yet.
  bool PlacementRequested = false;
  runtime::timer_id OrphanTimer = 0;

  /// Whether the current run may be at a server now.
  [[nodiscard]] bool mayBeAtServer() const {
    return Phase == task_phase::StartOrdered || Phase == task_phase::Orphaned;
  }
};

struct coordinated_job {
  job_request Request;
  queue_settings Queue;
  runtime::time_point SubmittedAt;
  /// Time after submission within which the job should be completed.
  runtime::duration Objective{};
  std::vector<task_state> Tasks;
  std::uint32_t DoneTasks = 0;
  /// Start orders that were sent, minus those whose owner reported that the run was not started.
  std::uint32_t PossiblyStartedRuns = 0;
  std::optional<runtime::time_point> FirstStartOrderedAt;
  std::set<std::string> ServersToAvoid;
  runtime::timer_id DeadlineTimer = 0;
  runtime::timer_id PlacerTimer = 0;
  runtime::timer_id StartTimer = 0;
  runtime::time_point StartEndsAt{};

  /// Returns the task if Run is its current run and the task is not done, else null.
  [[nodiscard]] task_state *findActiveTask(const run_key &Run);
  /// Returns the time after submission at which the tasks have to start at the latest, so that the answer has
  /// value. It has value up to LateFactor times the objective.
  [[nodiscard]] runtime::duration latestStart(double LateFactor) const;
  /// Returns the estimated time of a task on the granted server, in milliseconds.
  [[nodiscard]] std::uint32_t estimateOn(const schema::grant &Grant) const;
};

/// Returns the runs that may be at a server now and whose tasks match.
template <typename Predicate>
std::vector<run_key> findActiveRuns(const std::map<job_id, coordinated_job> &Jobs, Predicate Matches) {
  std::vector<run_key> Runs;
  for (const auto &[Id, Job] : Jobs)
    for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
      const task_state &Task = Job.Tasks[Index];
      if (Task.mayBeAtServer() && Matches(Task))
        Runs.push_back({{Id, Index}, Task.Run});
    }
  return Runs;
}

} // namespace yuccaplank::dispatch
