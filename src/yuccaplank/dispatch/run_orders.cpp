#include "run_orders.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "run_ends.hpp"
#include "run_lists.hpp"
#include "server_claims.hpp"
#include "server_watch.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

namespace {

// With less time to arrive, most start orders would be rejected by the server.
constexpr auto MinArrivalLimit = std::chrono::milliseconds(20);

} // namespace

bool run_orders::usable() const {
  return Ledger.Ownership == ownership::Owned && !Ledger.ListRefresh.pending() && !Ledger.Delisted &&
         !Ledger.Entry.Draining && Ledger.entryDescribesIncarnation() && !Ledger.Evacuated &&
         !Ledger.StartsSuspended && Ledger.Responsive && !StopsOverdue && Parts.Watch.usable();
}

void run_orders::start(const std::string &Coordinator, const schema::start_task &Request) {
  run_key Run = toRunKey(Request.task());
  if (fenceMayBeLost())
    Parts.Lists.requestRunList();
  if (const char *Refusal = startRefusalReason(Request)) {
    refuse(Coordinator, Run, Refusal);
    return;
  }
  duration ArrivalLimit =
      Ledger.Limits.startArrivalLimit(Ledger.Ports.lastAnsweredHeartbeat(Coordinator), Ledger.sinceBoot());
  if (ArrivalLimit < MinArrivalLimit) {
    refuse(Coordinator, Run, "contact_nearly_over");
    return;
  }
  duration Lease = std::min(ArrivalLimit, Ledger.leaseLimit());
  if (Request.relayed())
    Lease = std::min(Lease, Ledger.Options.RelayedRunLimit);
  if (Lease < MinArrivalLimit) {
    refuse(Coordinator, Run, "lease_nearly_over");
    return;
  }
  server_run &Started = Ledger.Runs[Run];
  Started.Coordinator = Coordinator;
  Started.Relayed = Request.relayed();
  Started.Size = Request.size();
  Started.Alone = Request.alone();
  Started.EstimateMs = Request.estimate_ms();
  Started.OverdueRuns = Request.overdue_runs();
  Started.FailedRuns = Request.failed_runs();
  Started.StartedAt = Ledger.now();
  Ledger.Limits.updateAllowedUntil(Started, Ledger.Ports.lastAnsweredHeartbeat(Coordinator),
                                   Ledger.sinceBoot());
  ++Ledger.Ports.counters().Started;
  // The server rejects the order if it arrives after the coordinator may have given up the run.
  start_order Order{Run, Request.specification(), Ledger.Token, Ledger.Clock.extend(Ledger.now(), Lease)};
  Ledger.Ports.orders().start(
      Ledger.Entry.Target, std::move(Order),
      Ledger.OwnershipLifetime.guard(
          [this, Run, Sent = Ledger.now()](const order_reply &Reply) { onStartReply(Run, Sent, Reply); }));
  Ledger.runAfter(Ledger.Ports.replyTimeout().value(), [this, Run] { onStartOverdue(Run); });
  Parts.Lists.sendHoldIfNeeded();
}

const char *run_orders::startRefusalReason(const schema::start_task &Request) const {
  if (Ledger.Evacuated)
    return "domain_evacuated";
  if (Ledger.StartsSuspended)
    return "server_entries_outdated";
  if (!usable())
    return "server_unusable";
  if (Request.token() != Ledger.Token)
    return "granted_under_another_token";
  if (!Ledger.Runs.freeCapacity(Ledger.Entry.Capacity).fits(Request.size()))
    return "no_room";
  if (Parts.Watch.onProbation() && !Ledger.Runs.empty())
    return "on_probation";
  if ((Request.alone() && !Ledger.Runs.empty()) || Ledger.Runs.anyAlone())
    return "not_alone";
  return Ledger.Runs.containsTask(toRunKey(Request.task()).Task) ? "task_already_here" : nullptr;
}

void run_orders::refuse(const std::string &Coordinator, const run_key &Run, std::string_view Reason) {
  ++Ledger.Ports.counters().Refused;
  log(log_level::Info, "start_refused",
      {{"run", format(Run)}, {"server", Ledger.Entry.Target.Id}, {"reason", std::string(Reason)}});
  Parts.Ends.report(Coordinator, makeTaskEvent(Run, schema::RUN_NOT_STARTED, Ledger.Entry.Target.Id, Reason));
}

bool run_orders::fenceMayBeLost() const {
  duration Wait = Ledger.Runs.empty() ? duration::zero() : Ledger.Options.HoldWait;
  return Ledger.Ownership == ownership::Owned && Ledger.ListRefresh.mayHaveRestarted(Ledger.now(), Wait) &&
         Ledger.Ports.anyOwnerOutOfContact();
}

server_run *run_orders::processOrderReply(const run_key &Run, time_point Sent, const order_reply &Reply) {
  if (Reply.Outcome != order_outcome::NoAnswer && !isUndelivered(Reply.Outcome))
    Ledger.Ports.replyTimeout().onReply(Ledger.now() - Sent);
  Ledger.Clock.setServerClock(Ledger.now(), Reply.ClockMs);
  Ledger.RefusesConnections |= Reply.Outcome == order_outcome::ConnectionRefused;
  if (Reply.Outcome == order_outcome::Fenced) {
    Parts.Claims.loseOwnership();
    return nullptr;
  }
  return Ledger.Runs.find(Run);
}

void run_orders::onStartReply(const run_key &Run, time_point Sent, const order_reply &Reply) {
  server_run *Found = processOrderReply(Run, Sent, Reply);
  if (!Found)
    return;
  server_run &State = *Found;
  if (Reply.Outcome == order_outcome::Accepted) {
    if (!State.SuspectedAfterHold)
      Ledger.Ports.replyTimeout().recordOutcome(false);
    confirmStart(State);
    return;
  }
  if (Reply.Outcome == order_outcome::NoAnswer) {
    ++Ledger.Ports.counters().UnansweredOrders;
    if (State.StartPending)
      stopUnansweredStart(Run, State);
    return;
  }
  if (Reply.Outcome == order_outcome::OtherIncarnation) {
    Parts.Ends.endRun(Run, schema::RUN_NOT_STARTED, orderOutcomeName(Reply.Outcome));
    Parts.Ends.onServerReplaced();
    return;
  }
  onStartRefused(Run, State, Reply.Outcome);
  Parts.Ends.endRun(Run, schema::RUN_NOT_STARTED, orderOutcomeName(Reply.Outcome));
}

void run_orders::confirmStart(server_run &State) const {
  State.StartPending = false;
  State.Begun = true;
  State.ConfirmedAfterHold = Ledger.LastHold;
  if (State.Phase == run_phase::Starting)
    State.Phase = run_phase::Running;
}

void run_orders::onStartOverdue(const run_key &Run) {
  server_run *Found = Ledger.Runs.find(Run);
  if (!Found || Found->Phase != run_phase::Starting)
    return;
  ++Ledger.Ports.counters().SuspectedStarts;
  Ledger.Ports.replyTimeout().recordOutcome(true);
  Found->SuspectedAfterHold = Ledger.LastHold;
  Parts.Lists.requestListNow();
}

void run_orders::resolveSuspectedStarts(std::uint64_t Hold, const std::vector<run_key> &Running) {
  for (auto &[Run, State] : Ledger.Runs) {
    if (State.Phase != run_phase::Starting || !State.SuspectedAfterHold || *State.SuspectedAfterHold >= Hold)
      continue;
    if (std::ranges::find(Running, Run) == Running.end()) {
      stopUnansweredStart(Run, State);
      continue;
    }
    ++Ledger.Ports.counters().ConfirmedStarts;
    confirmStart(State);
  }
}

void run_orders::stopUnansweredStart(const run_key &Run, server_run &State) {
  UnansweredStarts[Run] = Ledger.now();
  stopRun(Run, State, "start_unanswered");
}

void run_orders::onStartRefused(const run_key &Run, const server_run &State, order_outcome Outcome) {
  Ledger.requestRunListIfUndelivered(Outcome);
  Parts.Lists.sendHoldIfNeeded();
  if (Outcome == order_outcome::Unhealthy || isUndelivered(Outcome))
    Parts.Watch.recordFailure(Run, State, "refusals");
}

void run_orders::stopRun(const run_key &Run, server_run &State, const char *Reason) {
  if (State.Phase == run_phase::Stopping || State.Phase == run_phase::StopConfirmed)
    return;
  Ledger.Limits.limitStoppedRun(State, Ledger.Ports.lastAnsweredHeartbeat(State.Coordinator),
                                Ledger.sinceBoot());
  State.Phase = run_phase::Stopping;
  State.StopReason = Reason;
  State.StoppedAt = Ledger.now();
  State.ConfirmedAfterHold.reset();
  log(log_level::Info, "run_stop",
      {{"run", format(Run)}, {"server", Ledger.Entry.Target.Id}, {"reason", std::string(Reason)}});
  sendStop(Run, State);
}

void run_orders::sendStop(const run_key &Run, server_run &State) {
  ++Ledger.Ports.counters().Stops;
  std::uint32_t Number = ++State.Stops;
  Ledger.Ports.orders().stop(
      Ledger.Entry.Target, Run, Ledger.Token,
      Ledger.OwnershipLifetime.guard([this, Run, Number, Sent = Ledger.now()](const order_reply &Reply) {
        onStopReply(Run, Number, Sent, Reply);
      }));
  // A stop is idempotent, so it is sent again without waiting until its connection is given up.
  if (Ledger.Responsive)
    Ledger.runAfter(Ledger.Ports.replyTimeout().value(), [this, Run, Number] { repeatStop(Run, Number); });
  Parts.Lists.sendHoldIfNeeded();
}

void run_orders::repeatStop(const run_key &Run, std::uint32_t Number) {
  server_run *Found = Ledger.Runs.find(Run);
  if (Found && Found->Phase == run_phase::Stopping && Found->Stops == Number)
    sendStop(Run, *Found);
}

void run_orders::onStopReply(const run_key &Run, std::uint32_t Number, time_point Sent,
                             const order_reply &Reply) {
  server_run *Found = processOrderReply(Run, Sent, Reply);
  if (!Found)
    return;
  if (Reply.Outcome == order_outcome::Accepted || Reply.Outcome == order_outcome::Superseded) {
    Found->Phase = run_phase::StopConfirmed;
    Found->StartPending = false;
    Found->ConfirmedAfterHold = Ledger.LastHold;
    // The hold that waits for an end is not answered if the run never started.
    Parts.Lists.requestListNow();
    return;
  }
  if (Reply.Outcome == order_outcome::OtherIncarnation) {
    Parts.Ends.onServerReplaced();
    return;
  }
  ++Ledger.Ports.counters().UnansweredOrders;
  Ledger.runAfter(Ledger.Options.OrderRetryDelay, [this, Run, Number] { repeatStop(Run, Number); });
}

void run_orders::stopUnknownRun(const run_key &Run) {
  server_run &Unknown = Ledger.Runs[Run];
  Unknown.FillsServer = true;
  Unknown.Phase = run_phase::Running;
  Unknown.StartPending = false;
  Unknown.Begun = true;
  Unknown.StartedAt = Ledger.now();
  stopRun(Run, Unknown, "unknown");
  Ledger.onCapacityChanged();
}

void run_orders::stopUnknownRuns(const std::vector<run_key> &Running) {
  for (const run_key &Run : Running)
    if (!Ledger.Runs.contains(Run))
      stopUnknownRun(Run);
}

void run_orders::updateStopsOverdue(time_point Now) {
  bool Overdue = Ledger.Runs.anyStopUnconfirmedSince(Now - Ledger.Options.StopConfirmTimeout);
  if (std::exchange(StopsOverdue, Overdue) != Overdue)
    Ledger.onCapacityChanged();
}

void run_orders::stopUnansweredStarts() {
  for (const auto &[Run, Ordered] : UnansweredStarts)
    if (Ledger.now() - Ordered < Ledger.Options.MaxOrderDelay && !Ledger.Runs.contains(Run))
      stopUnknownRun(Run);
}

void run_orders::forgetOldStarts(time_point Now) {
  std::erase_if(UnansweredStarts,
                [&](const auto &Start) { return Now - Start.second > Ledger.Options.MaxOrderDelay; });
}

} // namespace yuccaplank::dispatch
