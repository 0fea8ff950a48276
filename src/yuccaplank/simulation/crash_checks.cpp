#include "crash_checks.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::simulation {

void crash_checks::onCrash(const simulated_servers::crashed_runs &Runs) {
  Crashes += Runs.Running.empty() ? 0 : 1;
  for (const dispatch::run_key &Run : Runs.Running)
    ++ByTask[Run.Task].Crashes;
  for (const dispatch::run_key &Run : Runs.Unobserved)
    ++ByTask[Run.Task].UnobservedCrashes;
}

std::optional<std::string> crash_checks::onCrashingStart(const dispatch::run_key &Run) {
  task_crashes &Task = ByTask[Run.Task];
  if (Task.Crashes < CountedCrashes || ++Task.LaterStarts < ForbiddenStarts)
    return std::nullopt;
  return fmt::format("{} starts although {} servers have crashed under its task", dispatch::format(Run),
                     Task.Crashes);
}

std::optional<std::string> crash_checks::onGivenUp(dispatch::job_id Job) const {
  std::uint32_t Crashes = 0;
  for (auto Task = ByTask.lower_bound({Job, 0}); Task != ByTask.end() && Task->first.Job == Job; ++Task)
    Crashes = std::max(Crashes, Task->second.Crashes + std::min(Task->second.UnobservedCrashes, 1U));
  if (Crashes >= AllowedCrashes)
    return std::nullopt;
  return fmt::format("job {} is answered as failed although {} servers have crashed under any of its tasks",
                     dispatch::formatJob(Job), Crashes);
}

std::uint32_t crash_checks::maxCrashesOfTask() const {
  std::uint32_t Result = 0;
  for (const auto &[Task, Counts] : ByTask)
    Result = std::max(Result, Counts.Crashes);
  return Result;
}

} // namespace yuccaplank::simulation
