#include "server_claims.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "run_ends.hpp"
#include "run_lists.hpp"
#include "run_orders.hpp"
#include "server_watch.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

namespace {

constexpr unsigned MaxTokenStepDoublings = 16;

} // namespace

void server_claims::claim() {
  if (Ledger.Ownership != ownership::None || Ledger.now() < ReclaimAfter)
    return;
  Ledger.Ownership = ownership::Claiming;
  sendClaim();
}

void server_claims::onClaimedElsewhere(std::uint64_t OtherToken) {
  if (OtherToken < Ledger.Token) {
    // If the server has accepted that earlier claim, it has lost the fence of this one.
    if (Ledger.Ownership == ownership::Owned)
      Parts.Lists.requestRunList();
    return;
  }
  HighestKnownToken = std::max(HighestKnownToken, OtherToken);
  ReclaimAfter = Ledger.now() + Ledger.Options.ReclaimDelayInContact;
  release();
}

void server_claims::release() {
  if (Ledger.Ownership == ownership::None)
    return;
  Ledger.Ownership = ownership::None;
  Ledger.OwnershipLifetime.renew();
  Parts.Ends.onReleased();
  sendYields();
  Ledger.Runs.clear();
  Parts.Lists.reset();
  Parts.Orders.reset();
  Parts.Watch.reset();
  Ledger.onCapacityChanged();
}

void server_claims::sendClaim() {
  // Each claim has its own token so that orders under an earlier claim can be distinguished.
  Ledger.Token = Ledger.Ports.fencingToken(std::max(HighestKnownToken, Ledger.Token));
  hold_order Order;
  Order.FencingToken = Ledger.Token;
  Ledger.Ports.orders().hold(
      Ledger.Entry.Target, Order,
      Ledger.OwnershipLifetime.guard([this](const hold_reply &Reply) { onClaimReply(Reply); }));
}

void server_claims::onClaimReply(const hold_reply &Reply) {
  if (Reply.Outcome == order_outcome::Fenced) {
    log(log_level::Info, "claim_fenced",
        {{"server", Ledger.Entry.Target.Id}, {"token", static_cast<std::int64_t>(Ledger.Token)}});
    // The server does not report its fence. Doubling the step reaches it quickly even if all VMs have lost
    // their terms.
    HighestKnownToken =
        Ledger.Token + (std::uint64_t{1} << (TermShift + std::min(FencedClaims++, MaxTokenStepDoublings)));
    Ledger.runAfter(Ledger.Options.FencedClaimDelay, [this] { sendClaim(); });
    return;
  }
  if (Reply.Outcome != order_outcome::Accepted) {
    log(log_level::Warning, "claim_unanswered",
        {{"server", Ledger.Entry.Target.Id}, {"outcome", std::string(orderOutcomeName(Reply.Outcome))}});
    Ledger.runAfter(Ledger.Options.OrderRetryDelay * 3, [this] { sendClaim(); });
    return;
  }
  log(log_level::Info, "server_claimed",
      {{"server", Ledger.Entry.Target.Id},
       {"token", static_cast<std::int64_t>(Ledger.Token)},
       {"running", static_cast<std::int64_t>(Reply.Running.size())},
       {"ended", static_cast<std::int64_t>(Reply.Ended.size())}});
  Ledger.Clock.setServerClock(Ledger.now(), Reply.ClockMs);
  FencedClaims = 0;
  Ledger.onReply(Reply);
  Parts.Lists.onClaimed(Reply);
  beginAdoption(Reply);
}

void server_claims::beginAdoption(const hold_reply &Reply) {
  Ledger.Ownership = ownership::Adopting;
  Ledger.Clock.onClaimed();
  Ledger.Clock.onLeaseGranted(Ledger.now(), Ledger.Options.LeaseDuration);
  AdoptRequest = makeAdoptRequest(Ledger.Entry.Target.Id, Ledger.Token, Reply);
  for (const run_key &Run : Reply.Running) {
    server_run &State = Ledger.Runs[Run];
    State.Unclaimed = true;
    State.Phase = run_phase::Running;
    State.StartPending = false;
    State.Begun = true;
    State.StartedAt = Ledger.now();
    State.ConfirmedAfterHold = Ledger.LastHold;
  }
  Ledger.Ports.broadcast(AdoptRequest);
  if (Ledger.Runs.empty()) {
    endAdoption();
    return;
  }
  Ledger.runAfter(Ledger.Options.AdoptionTimeout, [this] { endAdoption(); });
}

void server_claims::endAdoption() {
  if (Ledger.Ownership != ownership::Adopting)
    return;
  Ledger.Ownership = ownership::Owned;
  for (auto &[Run, State] : Ledger.Runs)
    if (State.Unclaimed) {
      State.FillsServer = true;
      Parts.Orders.stopRun(Run, State, "unclaimed");
    }
  Parts.Lists.sendHoldIfNeeded();
  Ledger.onCapacityChanged();
}

void server_claims::sendYields() {
  for (const std::string &Coordinator : Ledger.Runs.coordinators())
    Ledger.Ports.send(Coordinator, makeYield(Ledger.Entry.Target.Id, Ledger.Token));
}

void server_claims::loseOwnership() {
  ReclaimAfter = Ledger.now() + Ledger.Options.ReclaimDelay;
  HighestKnownToken = std::max(HighestKnownToken, Ledger.Token);
  log(log_level::Warning, "server_fenced_off",
      {{"server", Ledger.Entry.Target.Id}, {"token", static_cast<std::int64_t>(Ledger.Token)}});
  release();
}

void server_claims::adopt(const std::string &Coordinator, const schema::adopt_reply &Reply) {
  if (Ledger.Ownership != ownership::Adopting)
    return;
  for (const schema::adopted_run &Adopted : Reply.runs()) {
    server_run *Found = Ledger.Runs.find(toRunKey(Adopted.task()));
    if (!Found || !Found->Unclaimed)
      continue;
    server_run &Run = *Found;
    Run.Unclaimed = false;
    Run.Coordinator = Coordinator;
    Run.Relayed = Adopted.relayed();
    Run.Size = Adopted.size();
    Run.Alone = Adopted.alone();
    Run.EstimateMs = Adopted.estimate_ms();
    Run.OverdueRuns = Adopted.overdue_runs();
    Run.FailedRuns = Adopted.failed_runs();
    Run.StartedAt = Ledger.now() - std::chrono::milliseconds(Adopted.age_ms());
  }
  if (!Ledger.Runs.anyUnclaimed())
    endAdoption();
}

bool server_claims::resendAdoption(const std::string &Coordinator) {
  if (Ledger.Ownership != ownership::Adopting)
    return false;
  Ledger.Ports.send(Coordinator, AdoptRequest);
  return true;
}

} // namespace yuccaplank::dispatch
