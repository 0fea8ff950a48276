// Limits on how long an owner acts for a coordinator after the last contact. The coordinator's starts and
// runs end in time even if its later messages are lost (docs/design.md, 2.6).
#pragma once

#include "run_table.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace yuccaplank::dispatch {

/// When this VM sent the latest heartbeat that a coordinator has answered; see ledger_ports.
using heartbeat_time = std::optional<runtime::time_point>;

class run_limits {
public:
  explicit run_limits(const ledger_options &Options) : Options(Options) {}

  /// Returns how long a start order of a coordinator may take to arrive at the server.
  [[nodiscard]] runtime::duration startArrivalLimit(const heartbeat_time &LastAnsweredHeartbeat,
                                                    runtime::time_point SinceBoot) const {
    if (!LastAnsweredHeartbeat)
      return runtime::duration::zero();
    if (isUnlimited(*LastAnsweredHeartbeat))
      return Options.LeaseDuration;
    return std::min(Options.LeaseDuration,
                    runtime::duration(*LastAnsweredHeartbeat + Options.StartLimit - SinceBoot));
  }

  /// Updates the time until which a run may continue. The previous value stays while its coordinator is out
  /// of contact, and once the run is being stopped.
  void updateAllowedUntil(server_run &Run, const heartbeat_time &LastAnsweredHeartbeat,
                          runtime::time_point SinceBoot) const {
    if (!LastAnsweredHeartbeat || isStopped(Run))
      return;
    // Runs of this VM's own callers are limited only by the lease. Those that another VM relays are limited
    // as if this VM had just answered itself, since their limit includes the loss of the relaying VM.
    if (isUnlimited(*LastAnsweredHeartbeat) && !Run.Relayed)
      Run.AllowedUntil = runtime::time_point::max();
    else
      Run.AllowedUntil = std::min(*LastAnsweredHeartbeat, SinceBoot) + runLimit(Run);
  }

  /// Limits a run that has to end. Its caller may send the job again although the coordinator stays in
  /// contact, so the limit is the one that holds if the coordinator answers no later heartbeat.
  void limitStoppedRun(server_run &Run, const heartbeat_time &LastAnsweredHeartbeat,
                       runtime::time_point SinceBoot) const {
    runtime::time_point Latest =
        LastAnsweredHeartbeat ? std::min(*LastAnsweredHeartbeat, SinceBoot) : SinceBoot;
    Run.AllowedUntil = std::min(Run.AllowedUntil, Latest + runLimit(Run));
  }

  /// Length of the lease for a server whose runs may continue until AllowedUntil; nothing if that time has
  /// passed.
  [[nodiscard]] std::optional<runtime::duration> leaseDuration(runtime::time_point AllowedUntil,
                                                               runtime::time_point SinceBoot) const {
    if (AllowedUntil <= SinceBoot)
      return std::nullopt;
    if (isUnlimited(AllowedUntil))
      return Options.LeaseDuration;
    return std::min(Options.LeaseDuration, runtime::duration(AllowedUntil - SinceBoot));
  }

  /// Returns the time after which a run counts as overdue. It doubles with each earlier run of the task that
  /// was overdue, so that a task that takes much longer than declared completes. Early selects the limit for
  /// servers that probably hang; it does not apply to tasks that were overdue elsewhere.
  [[nodiscard]] runtime::duration overdueLimit(const server_run &Run, double Slowness, bool Early) const {
    double ExpectedMs = expectedMs(Run, Slowness);
    if (Early && Run.OverdueRuns == 0)
      return runtime::fromMs(ExpectedMs * Options.EarlyOverdueFactor) + Options.EarlyOverdueMargin;
    double Factor =
        std::ldexp(Options.OverdueFactor, static_cast<int>(std::min(Run.OverdueRuns, MaxDoublings)));
    return runtime::fromMs(ExpectedMs * Factor) + Options.OverdueMargin;
  }

  /// Expected time of a task without a declared time. With OverdueFactor, a first run of it ends as overdue
  /// only after the default deadline of a job, 5 s.
  static constexpr double UndeclaredMs = 1000;
  /// Expected time of a run on a server of this slowness. Faster servers than declared get no shorter limit.
  [[nodiscard]] static double expectedMs(const server_run &Run, double Slowness) {
    double DeclaredMs = Run.EstimateMs > 0 ? Run.EstimateMs : UndeclaredMs;
    return DeclaredMs * std::exp(std::max(0.0, Slowness));
  }

private:
  static constexpr std::uint32_t MaxDoublings = 16;

  static bool isStopped(const server_run &Run) {
    return Run.Phase == run_phase::Stopping || Run.Phase == run_phase::StopConfirmed;
  }
  // The value for this VM itself.
  static bool isUnlimited(runtime::time_point Time) { return Time == runtime::time_point::max(); }
  [[nodiscard]] runtime::duration runLimit(const server_run &Run) const {
    return Run.Relayed ? Options.RelayedRunLimit : Options.RunLimit;
  }

  ledger_options Options;
};

} // namespace yuccaplank::dispatch
