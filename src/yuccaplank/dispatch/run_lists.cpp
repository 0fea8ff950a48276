#include "run_lists.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "run_ends.hpp"
#include "run_orders.hpp"
#include "server_claims.hpp"
#include "server_watch.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

void run_lists::requestRunList() {
  Ledger.ListRefresh.request(Ledger.now());
  Ledger.onCapacityChanged();
  sendHoldIfNeeded();
}

void run_lists::sendHoldIfNeeded() {
  if (AwaitedHold != 0 || ProbeScheduled || Ledger.Ownership != ownership::Owned)
    return;
  if (Ledger.Runs.empty() && LastAcknowledgedEnd >= LastObservedEnd && !Ledger.ListRefresh.pending())
    return;
  hold_order Order;
  Order.FencingToken = Ledger.Token;
  Order.Observed = LastObservedEnd;
  if (!Ledger.Runs.empty()) {
    Order.Wait =
        Ledger.Ports.replyTimeout().repliesGetLost() ? Ledger.Options.ShortHoldWait : Ledger.Options.HoldWait;
    // The lease of an unresponsive server is not extended, so that the end of its runs can be computed.
    if (Ledger.Responsive)
      Order.LeaseEndMs = Ledger.extendLease();
  }
  awaitHold(Order);
}

void run_lists::awaitHold(const hold_order &Order) {
  AwaitedHold = sendHold(Order);
  Ledger.runAfter(Order.Wait + Ledger.Ports.replyTimeout().value(), [this, Hold = AwaitedHold] {
    if (AwaitedHold != Hold || !Ledger.Responsive)
      return;
    Ledger.Ports.replyTimeout().recordOutcome(true);
    AwaitedHold = 0;
    sendHoldIfNeeded();
  });
}

void run_lists::requestListNow() {
  if (!Ledger.Responsive || Ledger.Ownership != ownership::Owned || std::exchange(ListRequested, true))
    return;
  sendHold({Ledger.Token, Ledger.extendLease(), LastObservedEnd, {}});
  Ledger.runAfter(Ledger.Ports.replyTimeout().value(), [this] {
    ListRequested = false;
    if (Ledger.Runs.anyAwaitsList())
      requestListNow();
  });
}

std::uint64_t run_lists::sendHold(const hold_order &Order) {
  std::uint64_t Hold = ++Ledger.LastHold;
  ++Ledger.Ports.counters().Holds;
  Ledger.Ports.orders().hold(
      Ledger.Entry.Target, Order,
      Ledger.OwnershipLifetime.guard([this, Hold, Sent = Ledger.now(), Order](const hold_reply &Reply) {
        onHoldReply(Hold, Sent, Order, Reply);
      }));
  return Hold;
}

void run_lists::onHoldReply(std::uint64_t Hold, time_point Sent, const hold_order &Order,
                            const hold_reply &Reply) {
  if (AwaitedHold == Hold) {
    AwaitedHold = 0;
    Ledger.Ports.replyTimeout().recordOutcome(Reply.Outcome == order_outcome::NoAnswer);
  }
  if (Reply.Outcome == order_outcome::Fenced) {
    Parts.Claims.loseOwnership();
    return;
  }
  if (Reply.Outcome != order_outcome::Accepted) {
    // A hold that was sent later has been answered, so the server is there and responsive.
    if (Hold < LatestAnsweredHold)
      sendHoldIfNeeded();
    else if (Reply.Outcome == order_outcome::OtherIncarnation)
      Parts.Ends.onServerReplaced();
    else
      onHoldFailed(Reply.Outcome);
    return;
  }
  LatestAnsweredHold = std::max(LatestAnsweredHold, Hold);
  if (isOutdated(Hold, Reply)) {
    sendHoldIfNeeded();
    return;
  }
  Ledger.Clock.setServerClock(Ledger.now(), Reply.ClockMs);
  UnansweredHolds = 0;
  if (!Ledger.Responsive)
    log(log_level::Info, "server_back",
        {{"server", Ledger.Entry.Target.Id},
         {"born", Reply.IncarnationStartMs},
         {"former_born", Ledger.IncarnationStartMs},
         {"clock_ms", Reply.ClockMs.value_or(0)}});
  bool WasDown = !Ledger.Responsive && Ledger.RefusesConnections;
  Ledger.RefusesConnections = false;
  if (WasDown || Reply.IncarnationStartMs != Ledger.IncarnationStartMs)
    Parts.Watch.recordReturn();
  Ledger.setResponsive(true);
  if (Reply.IncarnationStartMs != Ledger.IncarnationStartMs) {
    onNewIncarnation(Reply);
  } else {
    LatestListMs = Reply.ClockMs.value_or(LatestListMs);
    LastAcknowledgedEnd = std::max(LastAcknowledgedEnd, Order.Observed);
  }
  Ledger.Runs.confirmBegun(Reply.Running);
  Ledger.onReply(Reply);
  for (const listed_end &End : Reply.Ended)
    onListedEnd(End);
  Parts.Ends.endMissingRuns(Hold, Reply.Running);
  Parts.Orders.resolveSuspectedStarts(Hold, Reply.Running);
  Parts.Orders.stopUnknownRuns(Reply.Running);
  if (Ledger.ListRefresh.onList(Sent))
    Ledger.onCapacityChanged();
  sendHoldIfNeeded();
}

bool run_lists::isOutdated(std::uint64_t Hold, const hold_reply &Reply) const {
  // A hold that was sent later has been answered, so the other incarnation is the former one. If that should
  // be wrong, the next list tells.
  if (Reply.IncarnationStartMs != Ledger.IncarnationStartMs)
    return Hold < LatestAnsweredHold;
  return Reply.ClockMs && *Reply.ClockMs < LatestListMs;
}

void run_lists::onHoldFailed(order_outcome Outcome) {
  ++Ledger.Ports.counters().UnansweredOrders;
  Ledger.RefusesConnections |= Outcome == order_outcome::ConnectionRefused;
  Ledger.requestRunListIfUndelivered(Outcome);
  // A single lost or late reply is no evidence that the server is unresponsive.
  if (Ledger.Responsive && ++UnansweredHolds < Ledger.Options.UnansweredHoldLimit) {
    sendHoldIfNeeded();
    return;
  }
  if (Ledger.Responsive)
    log(log_level::Warning, "server_silent",
        {{"server", Ledger.Entry.Target.Id},
         {"outcome", std::string(orderOutcomeName(Outcome))},
         {"runs", static_cast<std::int64_t>(Ledger.Runs.size())},
         {"lease_left_ms", runtime::toMs(Ledger.Clock.expiresAt() - Ledger.now())}});
  Ledger.setResponsive(false);
  if (std::exchange(ProbeScheduled, true))
    return;
  Ledger.runAfter(Ledger.Options.OrderRetryDelay, [this] {
    ProbeScheduled = false;
    if (AwaitedHold == 0)
      probeUnresponsiveServer();
  });
}

void run_lists::probeUnresponsiveServer() {
  if (!Ledger.Runs.empty() || Ledger.Delisted || Ledger.Ownership != ownership::Owned) {
    sendHoldIfNeeded();
    return;
  }
  AwaitedHold = sendHold({Ledger.Token, std::nullopt, LastObservedEnd, {}});
}

void run_lists::refreshIdleList(time_point Now) {
  bool IsAsked = AwaitedHold != 0 || ProbeScheduled || Ledger.Delisted || !Ledger.Responsive ||
                 Ledger.Ports.anyOwnerOutOfContact();
  if (Ledger.Ownership == ownership::Owned && Ledger.Runs.empty() && !IsAsked &&
      Ledger.ListRefresh.age(Now) >= Ledger.Options.IdleListInterval)
    awaitHold({Ledger.Token, std::nullopt, LastObservedEnd, {}});
}

void run_lists::onListedEnd(const listed_end &End) {
  if (End.Number <= LastObservedEnd)
    return;
  LastObservedEnd = End.Number;
  server_run *Found = Ledger.Runs.find(End.Run);
  if (!Found)
    return;
  Parts.Watch.recordRunEnd(End.Run, End.End, *Found);
  std::string Reason = Found->StopReason.empty() ? std::string(runEndName(End.End)) : Found->StopReason;
  Parts.Ends.endRun(End.Run, toRunEvent(End.End), Reason);
}

void run_lists::onNewIncarnation(const hold_reply &Reply) {
  log(log_level::Warning, "server_reborn",
      {{"server", Ledger.Entry.Target.Id},
       {"born", Reply.IncarnationStartMs},
       {"runs", static_cast<std::int64_t>(Ledger.Runs.size())},
       {"running", static_cast<std::int64_t>(Reply.Running.size())}});
  std::vector<run_key> LostRuns;
  for (auto &[Run, State] : Ledger.Runs) {
    State.OnFormerIncarnation = std::ranges::find(Reply.Running, Run) == Reply.Running.end();
    if (State.OnFormerIncarnation)
      LostRuns.push_back(Run);
  }
  if (!LostRuns.empty())
    Parts.Ends.announceLoss(Parts.Ends.lossWithRestart(), LostRuns);
  Ledger.setIncarnation(Reply.IncarnationStartMs);
  LatestListMs = Reply.ClockMs.value_or(0);
  LastObservedEnd = 0;
  LastAcknowledgedEnd = 0;
  Parts.Orders.stopUnansweredStarts();
}

void run_lists::onClaimed(const hold_reply &Reply) {
  Ledger.ListRefresh.onList(Ledger.now());
  Ledger.setIncarnation(Reply.IncarnationStartMs);
  LatestListMs = Reply.ClockMs.value_or(0);
  Ledger.Responsive = true;
  LastObservedEnd = 0;
  LastAcknowledgedEnd = 0;
  for (const listed_end &End : Reply.Ended)
    LastObservedEnd = std::max(LastObservedEnd, End.Number);
}

void run_lists::reset() {
  AwaitedHold = 0;
  ProbeScheduled = false;
  ListRequested = false;
  Ledger.ListRefresh.reset();
  Ledger.RefusesConnections = false;
}

} // namespace yuccaplank::dispatch
