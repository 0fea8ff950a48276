// What the owner concludes from the runs of one server.
#pragma once

#include "ledger_state.hpp"
#include "server_health.hpp"

#include <memory>
#include <utility>
#include <vector>

namespace yuccaplank::dispatch {

/// Learns the health of a server from its runs, reports it to the placer, and stops overdue runs.
class server_watch {
public:
  server_watch(ledger_state &Ledger, ledger_parts &Parts, std::shared_ptr<fleet_shares> FleetIn)
      : Ledger(Ledger), Parts(Parts), Fleet(std::move(FleetIn)),
        Health(*Fleet, Ledger.Options.InitialQuarantine, Ledger.Options.MaxQuarantine) {}
  /// Learns from the end of a run.
  void recordRunEnd(const run_key &Run, run_end End, const server_run &State);
  /// Learns from a run without a result. A task that has failed or was overdue elsewhere, too, is itself the
  /// likely cause; the server is not to blame.
  void recordFailure(const run_key &Run, const server_run &State, const char *Reason);
  /// Finds the runs in progress that take much longer than expected, and reports to the placer how slow they
  /// show the server to be.
  void updateLongRuns(time_point Now);
  /// Stops the runs that take too long.
  void stopOverdueRuns(time_point Now);
  /// Records that the server is back after it had ended.
  void recordReturn();
  /// Ends a quarantine, or a low estimate of the speed, that has expired.
  void endExpiredJudgements(time_point Now);
  /// Adds the health to the state for the placer.
  void describe(schema::server_state &State) const;
  [[nodiscard]] bool usable() const { return Health.usable(); }
  [[nodiscard]] bool onProbation() const { return Health.onProbation(); }
  /// Called when this VM gives up the server.
  void reset();

private:
  static finished_run toFinishedRun(const run_key &Run, const server_run &State);
  void logQuarantine(const char *Reason);
  void reportOverdueSlowness(double Value);

  ledger_state &Ledger;
  ledger_parts &Parts;
  std::shared_ptr<fleet_shares> Fleet;
  server_health Health;
  // Runs in progress that take much longer than expected, and the slowness that was reported for them.
  std::vector<long_run> LongRuns;
  double OverdueSlowness = 0;
};

} // namespace yuccaplank::dispatch
