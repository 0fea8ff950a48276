#include "coordinated_job.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccaplank::dispatch {

using runtime::duration;

task_state *coordinated_job::findActiveTask(const run_key &Run) {
  if (Run.Task.Index >= Tasks.size())
    return nullptr;
  task_state &Task = Tasks[Run.Task.Index];
  return Task.Run == Run.Run && Task.Phase != task_phase::Done ? &Task : nullptr;
}

duration coordinated_job::latestStart(double LateFactor) const {
  auto UsefulTime = std::chrono::duration_cast<duration>(Objective * LateFactor);
  return std::min(UsefulTime, Request.Deadline) - std::chrono::milliseconds(Request.EstimateMs);
}

std::uint32_t coordinated_job::estimateOn(const schema::grant &Grant) const {
  if (Grant.expected_factor() <= 1)
    return Request.EstimateMs;
  return static_cast<std::uint32_t>(std::lround(Request.EstimateMs * Grant.expected_factor()));
}

} // namespace yuccaplank::dispatch
