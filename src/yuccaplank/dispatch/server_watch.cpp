#include "server_watch.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "run_orders.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <cmath>
#include <utility>

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

namespace {

// Least growth of the slowness of runs in progress that is reported, a third more time: a message each 50 ms
// would tell the placer little more.
constexpr double OverdueSlownessStep = 0.3;

} // namespace

void server_watch::recordRunEnd(const run_key &Run, run_end End, const server_run &State) {
  if (End == run_end::Done) {
    ++Ledger.Ports.counters().Done;
    Health.onDone(toFinishedRun(Run, State), Ledger.now());
  } else if (End == run_end::Failed) {
    ++Ledger.Ports.counters().Failed;
    recordFailure(Run, State, "failures");
  } else {
    ++Ledger.Ports.counters().Gone;
  }
}

void server_watch::recordFailure(const run_key &Run, const server_run &State, const char *Reason) {
  if (State.FailedRuns == 0 && State.OverdueRuns == 0 &&
      Health.onFailure(toFinishedRun(Run, State), Ledger.now()))
    logQuarantine(Reason);
}

finished_run server_watch::toFinishedRun(const run_key &Run, const server_run &State) {
  return {Run.Task.Job, State.EstimateMs, State.StartedAt, State.Long};
}

void server_watch::logQuarantine(const char *Reason) {
  ++Ledger.Ports.counters().Quarantines;
  log(log_level::Warning, "server_quarantined",
      {{"server", Ledger.Entry.Target.Id},
       {"reason", std::string(Reason)},
       {"evidence", Health.quarantineEvidence()},
       {"outages", std::int64_t{Health.outages()}},
       {"times", std::int64_t{Health.quarantines()}}});
}

void server_watch::updateLongRuns(time_point Now) {
  LongRuns.clear();
  for (auto &[Run, State] : Ledger.Runs) {
    // Nothing is known of the runs of an unresponsive server.
    if (!Ledger.Responsive || State.Phase != run_phase::Running || State.Unclaimed || State.EstimateMs == 0 ||
        State.OverdueRuns != 0)
      continue;
    duration Elapsed = Now - State.StartedAt;
    if (Elapsed < long_run_evidence::limit(run_limits::expectedMs(State, Health.slowness())))
      continue;
    if (!std::exchange(State.Long, true))
      Health.onLong(Run.Task.Job, Now);
    LongRuns.push_back({Run.Task.Job, std::log(runtime::toMs(Elapsed) / State.EstimateMs)});
  }
  reportOverdueSlowness(Health.longRuns().slowness(LongRuns, Now));
}

void server_watch::reportOverdueSlowness(double Value) {
  bool Changes = (Value > 0) != (OverdueSlowness > 0);
  if (!Changes && Value < OverdueSlowness + OverdueSlownessStep)
    return;
  if (Changes)
    log(log_level::Info, Value > 0 ? "server_runs_long" : "server_runs_ordinary",
        {{"server", Ledger.Entry.Target.Id},
         {"slowness", Value},
         {"long_runs", static_cast<std::int64_t>(LongRuns.size())}});
  OverdueSlowness = Value;
  Ledger.onCapacityChanged();
}

void server_watch::stopOverdueRuns(time_point Now) {
  // Nothing is known of the runs of an unresponsive server.
  if (!Ledger.Responsive)
    return;
  bool Early = Health.onProbation() || Health.longRuns().isStrong(LongRuns, Now);
  for (auto &[Run, State] : Ledger.Runs) {
    duration Elapsed = Now - State.StartedAt;
    if (State.Phase != run_phase::Running || State.Unclaimed ||
        Elapsed < Ledger.Limits.overdueLimit(State, Health.slowness(), Early))
      continue;
    ++Ledger.Ports.counters().Overdue;
    if (Elapsed < Ledger.Limits.overdueLimit(State, Health.slowness(), false))
      ++Ledger.Ports.counters().OverdueEarly;
    State.Overdue = true;
    recordFailure(Run, State, "overdue");
    Parts.Orders.stopRun(Run, State, "overdue");
    Ledger.onCapacityChanged();
  }
}

void server_watch::recordReturn() {
  if (Health.onReturn(Ledger.now()))
    logQuarantine("flapping");
}

void server_watch::endExpiredJudgements(time_point Now) {
  bool QuarantineEnds = Health.endExpiredQuarantine(Now);
  if (QuarantineEnds || (Ledger.Runs.empty() && Health.endStaleSlowness(Now)))
    Ledger.onCapacityChanged();
}

void server_watch::describe(schema::server_state &State) const {
  State.set_slowness(static_cast<float>(Health.slowness()));
  State.set_task_limit(Health.onProbation() || Ledger.Runs.anyAlone() ? 1 : 0);
  State.set_overdue_slowness(static_cast<float>(OverdueSlowness));
}

void server_watch::reset() {
  LongRuns.clear();
  OverdueSlowness = 0;
}

} // namespace yuccaplank::dispatch
