// How long an owner may act for a coordinator that it has not heard from since: whatever the coordinator has
// not told yet, its starts and runs end in time (docs/design.md, 2.6).
#pragma once

#include "run_table.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"

#include <algorithm>
#include <optional>

namespace yuccaplank::dispatch {

/// When this VM sent the last heartbeat that a coordinator has answered, as ledger_ports tells it.
using heartbeat_time = std::optional<runtime::time_point>;

class run_limits {
public:
  explicit run_limits(const ledger_options &Options) : Options(Options) {}

  /// How long a start order for a coordinator may be under way.
  [[nodiscard]] runtime::duration maxStartDelay(const heartbeat_time &LastAnsweredHeartbeat,
                                                runtime::time_point SinceBoot) const {
    if (!LastAnsweredHeartbeat)
      return runtime::duration::zero();
    if (isUnlimited(*LastAnsweredHeartbeat))
      return Options.LeaseDuration;
    return std::min(Options.LeaseDuration,
                    runtime::duration(*LastAnsweredHeartbeat + Options.StartLimit - SinceBoot));
  }

  /// Notes until when a run may go on; while its coordinator is out of contact, what was noted last holds.
  void updateAllowedUntil(server_run &Run, const heartbeat_time &LastAnsweredHeartbeat) const {
    if (!LastAnsweredHeartbeat)
      return;
    Run.AllowedUntil = isUnlimited(*LastAnsweredHeartbeat) ? runtime::time_point::max()
                                                           : *LastAnsweredHeartbeat + runLimit(Run);
  }

  /// Lease to give at a server where runs may go on until a time; nothing when that is over.
  [[nodiscard]] std::optional<runtime::duration> leaseDuration(runtime::time_point AllowedUntil,
                                                               runtime::time_point SinceBoot) const {
    if (AllowedUntil <= SinceBoot)
      return std::nullopt;
    if (isUnlimited(AllowedUntil))
      return Options.LeaseDuration;
    return std::min(Options.LeaseDuration, runtime::duration(AllowedUntil - SinceBoot));
  }

private:
  // This VM's own runs have no limit but the lease.
  static bool isUnlimited(runtime::time_point Time) { return Time == runtime::time_point::max(); }
  [[nodiscard]] runtime::duration runLimit(const server_run &Run) const {
    return Run.Relayed ? Options.RelayedRunLimit : Options.RunLimit;
  }

  ledger_options Options;
};

} // namespace yuccaplank::dispatch
