// Counts the servers that crash under each task of a simulation, and checks how often a task that crashes its
// servers is started.
#pragma once

#include "simulated_servers.hpp"
#include "yuccaplank/dispatch/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::simulation {

class crash_checks {
public:
  /// Records that a server has crashed with these runs.
  void onCrash(const simulated_servers::crashed_runs &Runs);
  /// Returns the violation, if starting the run is one: the third start of a task that crashes its servers
  /// after three servers have crashed under it.
  std::optional<std::string> onCrashingStart(const dispatch::run_key &Run);

  /// Returns the violation, if failing the job because of crashes is one: fewer servers have crashed under
  /// each of its tasks than that takes. One run whose end no VM has confirmed counts, too: its server may
  /// have crashed before any VM could know of the end.
  [[nodiscard]] std::optional<std::string> onGivenUp(dispatch::job_id Job) const;

  [[nodiscard]] std::uint64_t crashes() const { return Crashes; }
  /// The most crashes under one task.
  [[nodiscard]] std::uint32_t maxCrashesOfTask() const;

private:
  // A job may be failed after the second crash.
  static constexpr std::uint32_t AllowedCrashes = 2;
  static constexpr std::uint32_t CountedCrashes = 3;
  static constexpr std::uint32_t ForbiddenStarts = 3;

  struct task_crashes {
    std::uint32_t Crashes = 0;
    // Crashes of servers where the end of a run was not confirmed.
    std::uint32_t UnobservedCrashes = 0;
    // Starts after CountedCrashes crashes.
    std::uint32_t LaterStarts = 0;
  };
  std::uint64_t Crashes = 0;
  std::map<dispatch::task_key, task_crashes> ByTask;
};

} // namespace yuccaplank::simulation
