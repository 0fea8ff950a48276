#include "yuccaplank/dispatch/server_ledger.hpp"
#include "lease_clock.hpp"
#include "loss_history.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "run_limits.hpp"
#include "run_list_refresh.hpp"
#include "run_table.hpp"
#include "server_health.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::log;
using runtime::log_level;
using runtime::time_point;

enum class ownership : std::uint8_t {
  /// Another VM or no VM owns the server.
  None,
  /// A claim was sent to raise the fence and is not accepted yet.
  Claiming,
  /// The claim was accepted; coordinators may still claim the runs that it found.
  Adopting,
  Owned,
};

constexpr unsigned MaxTokenStepDoublings = 16;
// With less time to arrive, most start orders would be rejected by the server.
constexpr auto MinArrivalLimit = std::chrono::milliseconds(20);

class server_ledger_impl final : public server_ledger {
public:
  server_ledger_impl(runtime::executor &Executor, ledger_ports &Ports, server_entry EntryIn,
                     ledger_options Options)
      : Executor(Executor), Ports(Ports), Entry(std::move(EntryIn)), Options(Options),
        Health(Options.FailuresToQuarantine, Options.InitialQuarantine, Options.MaxQuarantine),
        Clock(Options.ClockDrift, Options.ClockError), Limits(Options) {}
  server_ledger_impl(const server_ledger_impl &) = delete;
  server_ledger_impl &operator=(const server_ledger_impl &) = delete;
  ~server_ledger_impl() override = default;

  void claim() override {
    if (Ownership != ownership::None || now() < ReclaimAfter)
      return;
    Ownership = ownership::Claiming;
    sendClaim();
  }

  void onClaimedElsewhere(std::uint64_t OtherToken) override {
    if (OtherToken < Token) {
      // If the server has accepted that earlier claim, it has lost the fence of this one.
      if (Ownership == ownership::Owned)
        requestRunList();
      return;
    }
    HighestKnownToken = std::max(HighestKnownToken, OtherToken);
    ReclaimAfter = now() + Options.ReclaimDelayInContact;
    release();
  }

  void requestRunList() override {
    ListRefresh.request(now());
    Ports.onCapacityChanged(Entry.Target.Id);
    sendHoldIfNeeded();
  }

  void release() override {
    if (Ownership == ownership::None)
      return;
    Ownership = ownership::None;
    OwnershipLifetime.renew();
    sendYields();
    Runs.clear();
    AwaitedHold = 0;
    ProbeScheduled = false;
    ListRequested = false;
    ListRefresh.reset();
    RefusesConnections = false;
    StopsOverdue = false;
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  void update(const server_entry &Updated) override {
    bool Returned = std::exchange(Delisted, false);
    bool Changed = Returned || Updated.Draining != Entry.Draining ||
                   Updated.Target.Address != Entry.Target.Address ||
                   Updated.IncarnationStartMs != Entry.IncarnationStartMs || Updated.Rack != Entry.Rack ||
                   !areEqual(Updated.Capacity, Entry.Capacity);
    Entry = Updated;
    if (Changed)
      Ports.onCapacityChanged(Entry.Target.Id);
    // The server may have restarted since its latest list.
    if (Ownership == ownership::Owned && !entryDescribesIncarnation())
      requestRunList();
  }

  void setEvacuated(bool IsEvacuated) override {
    if (std::exchange(Evacuated, IsEvacuated) != IsEvacuated)
      Ports.onCapacityChanged(Entry.Target.Id);
  }

  void delist() override {
    if (std::exchange(Delisted, true))
      return;
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  [[nodiscard]] bool mayBeRemoved() const override { return Delisted && Runs.empty(); }

  void start(const std::string &Coordinator, const schema::start_task &Request) override {
    run_key Run = toRunKey(Request.task());
    if (fenceMayBeLost())
      requestRunList();
    if (const char *Refusal = startRefusalReason(Request)) {
      refuse(Coordinator, Run, Refusal);
      return;
    }
    duration ArrivalLimit = Limits.startArrivalLimit(Ports.lastAnsweredHeartbeat(Coordinator), sinceBoot());
    if (ArrivalLimit < MinArrivalLimit) {
      refuse(Coordinator, Run, "contact_nearly_over");
      return;
    }
    duration Lease = std::min(ArrivalLimit, leaseLimit());
    if (Request.relayed())
      Lease = std::min(Lease, Options.RelayedRunLimit);
    if (Lease < MinArrivalLimit) {
      refuse(Coordinator, Run, "lease_nearly_over");
      return;
    }
    server_run &Started = Runs[Run];
    Started.Coordinator = Coordinator;
    Started.Relayed = Request.relayed();
    Started.Size = Request.size();
    Started.Alone = Request.alone();
    Started.EstimateMs = Request.estimate_ms();
    Started.OverdueRuns = Request.overdue_runs();
    Started.StartedAt = now();
    Limits.updateAllowedUntil(Started, Ports.lastAnsweredHeartbeat(Coordinator), sinceBoot());
    ++Ports.counters().Started;
    // The server rejects the order if it arrives after the coordinator may have given up the run.
    start_order Order{Run, Request.specification(), Token, Clock.extend(now(), Lease)};
    Ports.orders().start(Entry.Target, std::move(Order),
                         OwnershipLifetime.guard([this, Run, Sent = now()](const order_reply &Reply) {
                           onStartReply(Run, Sent, Reply);
                         }));
    runAfter(Ports.replyTimeout().value(), [this, Run] { onStartOverdue(Run); });
    sendHoldIfNeeded();
  }

  void stop(const std::string &Coordinator, const run_key &Run) override {
    server_run *Found = Runs.find(Run);
    if (Found && Found->Coordinator == Coordinator)
      stopRun(Run, *Found, "asked");
  }

  void adopt(const std::string &Coordinator, const schema::adopt_reply &Reply) override {
    if (Ownership != ownership::Adopting)
      return;
    for (const schema::adopted_run &Adopted : Reply.runs()) {
      server_run *Found = Runs.find(toRunKey(Adopted.task()));
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
      Run.StartedAt = now() - std::chrono::milliseconds(Adopted.age_ms());
    }
    if (!Runs.anyUnclaimed())
      endAdoption();
  }

  bool resendAdoption(const std::string &Coordinator) override {
    if (Ownership != ownership::Adopting)
      return false;
    Ports.send(Coordinator, AdoptRequest);
    return true;
  }

  void stopRunsOf(const std::string &Coordinator) override {
    for (auto &[Run, State] : Runs)
      if (State.Coordinator == Coordinator)
        stopRun(Run, State, "coordinator_lost");
  }

  void resume(const std::string &Coordinator, const schema::resume_session &Session) override {
    std::set<run_key> ExpectedRuns;
    for (const schema::counted_run &Run : Session.runs())
      ExpectedRuns.insert(toRunKey(Run.task()));
    for (auto &[Run, State] : Runs) {
      bool IsExpected = ExpectedRuns.contains(Run);
      // A run that was found at a takeover may be claimed late. Its coordinator then receives the run's end.
      if (State.Coordinator.empty() && IsExpected && Ownership == ownership::Owned)
        State.Coordinator = Coordinator;
      if (State.Coordinator == Coordinator && !IsExpected)
        stopRun(Run, State, "not_counted_on");
    }
  }

  [[nodiscard]] bool idle() const override { return Runs.empty(); }
  [[nodiscard]] bool containsRun(const run_key &Run) const override { return Runs.contains(Run); }
  [[nodiscard]] std::uint64_t highestToken() const override { return std::max(Token, HighestKnownToken); }
  [[nodiscard]] bool owned() const override { return Ownership == ownership::Owned; }
  [[nodiscard]] bool unowned() const override { return Ownership == ownership::None; }

  [[nodiscard]] schema::server_state state() const override {
    schema::server_state State;
    State.set_server(Entry.Target.Id);
    State.set_domain(Entry.Domain);
    State.set_pool(Entry.Pool);
    State.set_rack(Entry.Rack);
    *State.mutable_capacity() = Entry.Capacity;
    *State.mutable_used() = Runs.used(Entry.Capacity);
    State.set_slowness(static_cast<float>(Health.slowness()));
    State.set_usable(usable());
    State.set_removed(Ownership == ownership::None);
    State.set_task_limit(Health.onProbation() || Runs.anyAlone() ? 1 : 0);
    State.set_tasks(static_cast<std::uint32_t>(Runs.size()));
    State.set_token(Token);
    State.set_evacuated(Evacuated);
    return State;
  }

  void tick() override {
    time_point Now = now();
    std::erase_if(UnansweredStarts,
                  [&](const auto &Start) { return Now - Start.second > Options.MaxOrderDelay; });
    if (Ownership == ownership::None)
      return;
    endExpiredRuns(Now);
    stopOverdueRuns(Now);
    updateStopsOverdue(Now);
    refreshIdleList(Now);
    if (Health.endExpiredQuarantine(Now))
      Ports.onCapacityChanged(Entry.Target.Id);
  }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }

  void runAfter(duration Delay, std::function<void()> Function) {
    Executor.after(Delay, OwnershipLifetime.guard(std::move(Function)));
  }

  [[nodiscard]] bool usable() const {
    return Ownership == ownership::Owned && !ListRefresh.pending() && !Delisted && !Entry.Draining &&
           entryDescribesIncarnation() && !Evacuated && Responsive && !StopsOverdue && Health.usable();
  }

  // Another incarnation may have another capacity. The entry and the list of runs each may be the older one.
  [[nodiscard]] bool entryDescribesIncarnation() const {
    return Entry.IncarnationStartMs == 0 || IncarnationStartMs == 0 ||
           Entry.IncarnationStartMs == IncarnationStartMs;
  }

  // Whether the server may have restarted, and so lost its fence, while a VM out of contact may have claimed
  // it.
  [[nodiscard]] bool fenceMayBeLost() const {
    duration Wait = Runs.empty() ? duration::zero() : Options.HoldWait;
    return Ownership == ownership::Owned && ListRefresh.mayHaveRestarted(now(), Wait) &&
           Ports.anyOwnerOutOfContact();
  }

  const char *startRefusalReason(const schema::start_task &Request) const {
    if (Evacuated)
      return "domain_evacuated";
    if (!usable())
      return "server_unusable";
    if (Request.token() != Token)
      return "granted_under_another_token";
    if (!Runs.freeCapacity(Entry.Capacity).fits(Request.size()))
      return "no_room";
    if (Health.onProbation() && !Runs.empty())
      return "on_probation";
    if ((Request.alone() && !Runs.empty()) || Runs.anyAlone())
      return "not_alone";
    return Runs.containsTask(toRunKey(Request.task()).Task) ? "task_already_here" : nullptr;
  }

  void refuse(const std::string &Coordinator, const run_key &Run, std::string_view Reason) {
    ++Ports.counters().Refused;
    log(log_level::Info, "start_refused",
        {{"run", format(Run)}, {"server", Entry.Target.Id}, {"reason", std::string(Reason)}});
    report(Coordinator, makeTaskEvent(Run, schema::RUN_NOT_STARTED, Entry.Target.Id, Reason));
  }

  void report(const std::string &Coordinator, schema::dispatch_message Event) {
    if (!Coordinator.empty())
      Ports.send(Coordinator, std::move(Event));
  }

  // Removes a run that has certainly ended or never started. Loss tells what the run was lost with.
  void endRun(const run_key &Run, schema::run_event Event, std::string_view Reason,
              schema::server_loss Loss = schema::LOSS_NONE) {
    server_run *Found = Runs.find(Run);
    if (!Found)
      return;
    std::string Coordinator = Found->Coordinator;
    if (Event == schema::RUN_GONE && Found->OnFormerIncarnation)
      Loss = schema::LOSS_CRASHED;
    schema::dispatch_message Message = makeTaskEvent(Run, Event, Entry.Target.Id, Reason, Loss);
    Message.mutable_event()->set_overdue(Event == schema::RUN_GONE && Found->Overdue);
    Runs.erase(Run);
    if (Event != schema::RUN_DONE)
      log(log_level::Info, "run_ended",
          {{"run", format(Run)},
           {"server", Entry.Target.Id},
           {"end", schema::run_event_Name(Event)},
           {"reason", std::string(Reason)}});
    report(Coordinator, std::move(Message));
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  // Tells all coordinators before the runs are reported as gone, so that none places their tasks again first.
  void announceLoss(schema::server_loss Loss, const std::vector<run_key> &LostRuns) {
    ++(Loss == schema::LOSS_CRASHED ? Ports.counters().ServersCrashed : Ports.counters().ServersSilent);
    log(log_level::Warning, "server_lost",
        {{"server", Entry.Target.Id},
         {"evidence", schema::server_loss_Name(Loss)},
         {"runs", formatRuns(LostRuns)}});
    Ports.broadcast(makeLostServer(Entry.Target.Id, IncarnationStartMs, Loss, LostRuns));
  }

  [[nodiscard]] time_point sinceBoot() const { return Executor.clock().sinceBoot(); }

  // Returns how far every run allows to extend the lease; nothing if it must not be extended.
  std::optional<duration> allowedLease() {
    for (auto &[Run, State] : Runs)
      Limits.updateAllowedUntil(State, Ports.lastAnsweredHeartbeat(State.Coordinator), sinceBoot());
    return Limits.leaseDuration(Runs.allowedUntil(), sinceBoot());
  }

  // Longest lease that an order may give without prolonging a run beyond its limit.
  duration leaseLimit() { return std::max(allowedLease().value_or(duration::zero()), Clock.given(now())); }

  // Extends the lease of all runs as far as every coordinator allows, and returns its end on the server's
  // clock.
  std::optional<std::int64_t> extendLease() {
    auto Lease = allowedLease();
    if (!Lease)
      return std::nullopt;
    return Clock.extend(now(), *Lease);
  }

  // Takeover.

  void sendClaim() {
    // Each claim has its own token so that orders under an earlier claim can be distinguished.
    Token = Ports.fencingToken(std::max(HighestKnownToken, Token));
    hold_order Order;
    Order.FencingToken = Token;
    Ports.orders().hold(Entry.Target, Order,
                        OwnershipLifetime.guard([this](const hold_reply &Reply) { onClaimReply(Reply); }));
  }

  void onClaimReply(const hold_reply &Reply) {
    if (Reply.Outcome == order_outcome::Fenced) {
      log(log_level::Info, "claim_fenced",
          {{"server", Entry.Target.Id}, {"token", static_cast<std::int64_t>(Token)}});
      // The server does not report its fence. Doubling the step reaches it quickly even if all VMs have lost
      // their terms.
      HighestKnownToken =
          Token + (std::uint64_t{1} << (TermShift + std::min(FencedClaims++, MaxTokenStepDoublings)));
      runAfter(Options.FencedClaimDelay, [this] { sendClaim(); });
      return;
    }
    if (Reply.Outcome != order_outcome::Accepted) {
      log(log_level::Warning, "claim_unanswered",
          {{"server", Entry.Target.Id}, {"outcome", std::string(orderOutcomeName(Reply.Outcome))}});
      runAfter(Options.OrderRetryDelay * 3, [this] { sendClaim(); });
      return;
    }
    log(log_level::Info, "server_claimed",
        {{"server", Entry.Target.Id},
         {"token", static_cast<std::int64_t>(Token)},
         {"running", static_cast<std::int64_t>(Reply.Running.size())},
         {"ended", static_cast<std::int64_t>(Reply.Ended.size())}});
    Clock.setServerClock(now(), Reply.ClockMs);
    ListRefresh.onList(now());
    IncarnationStartMs = Reply.IncarnationStartMs;
    LatestListMs = Reply.ClockMs.value_or(0);
    FencedClaims = 0;
    Responsive = true;
    LastObservedEnd = 0;
    LastAcknowledgedEnd = 0;
    for (const listed_end &End : Reply.Ended)
      LastObservedEnd = std::max(LastObservedEnd, End.Number);
    beginAdoption(Reply);
  }

  void beginAdoption(const hold_reply &Reply) {
    Ownership = ownership::Adopting;
    Clock.onClaimed();
    Clock.onLeaseGranted(now(), Options.LeaseDuration);
    AdoptRequest = makeAdoptRequest(Entry.Target.Id, Token, Reply);
    for (const run_key &Run : Reply.Running) {
      server_run &State = Runs[Run];
      State.Unclaimed = true;
      State.Phase = run_phase::Running;
      State.StartPending = false;
      State.StartedAt = now();
      State.ConfirmedAfterHold = LastHold;
    }
    Ports.broadcast(AdoptRequest);
    if (Runs.empty()) {
      endAdoption();
      return;
    }
    runAfter(Options.AdoptionTimeout, [this] { endAdoption(); });
  }

  void endAdoption() {
    if (Ownership != ownership::Adopting)
      return;
    Ownership = ownership::Owned;
    for (auto &[Run, State] : Runs)
      if (State.Unclaimed) {
        State.FillsServer = true;
        stopRun(Run, State, "unclaimed");
      }
    sendHoldIfNeeded();
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  void sendYields() {
    for (const std::string &Coordinator : Runs.coordinators())
      Ports.send(Coordinator, makeYield(Entry.Target.Id, Token));
  }

  void loseOwnership() {
    ReclaimAfter = now() + Options.ReclaimDelay;
    HighestKnownToken = std::max(HighestKnownToken, Token);
    log(log_level::Warning, "server_fenced_off",
        {{"server", Entry.Target.Id}, {"token", static_cast<std::int64_t>(Token)}});
    release();
  }

  // Starts.

  // Processes what all replies to starts and stops have in common. Returns the run that the reply refers to,
  // or null if the run or this VM's ownership has ended.
  server_run *processOrderReply(const run_key &Run, time_point Sent, const order_reply &Reply) {
    if (Reply.Outcome != order_outcome::NoAnswer && !isUndelivered(Reply.Outcome))
      Ports.replyTimeout().onReply(now() - Sent);
    Clock.setServerClock(now(), Reply.ClockMs);
    RefusesConnections |= Reply.Outcome == order_outcome::ConnectionRefused;
    if (Reply.Outcome == order_outcome::Fenced) {
      loseOwnership();
      return nullptr;
    }
    return Runs.find(Run);
  }

  void onStartReply(const run_key &Run, time_point Sent, const order_reply &Reply) {
    server_run *Found = processOrderReply(Run, Sent, Reply);
    if (!Found)
      return;
    server_run &State = *Found;
    if (Reply.Outcome == order_outcome::Accepted) {
      if (!State.SuspectedAfterHold)
        Ports.replyTimeout().recordOutcome(false);
      confirmStart(State);
      return;
    }
    if (Reply.Outcome == order_outcome::NoAnswer) {
      ++Ports.counters().UnansweredOrders;
      if (State.StartPending)
        stopUnansweredStart(Run, State);
      return;
    }
    if (Reply.Outcome == order_outcome::OtherIncarnation) {
      endRun(Run, schema::RUN_NOT_STARTED, orderOutcomeName(Reply.Outcome));
      onServerReplaced();
      return;
    }
    onStartRefused(Reply.Outcome);
    endRun(Run, schema::RUN_NOT_STARTED, orderOutcomeName(Reply.Outcome));
  }

  // Called when the server has certainly carried out the start order. A stop that is under way continues.
  void confirmStart(server_run &State) const {
    State.StartPending = false;
    State.ConfirmedAfterHold = LastHold;
    if (State.Phase == run_phase::Starting)
      State.Phase = run_phase::Running;
  }

  // Without a reply, the server's list tells whether the order was carried out. Stopping the run at once
  // would waste the work of those of which only the reply was lost or late.
  void onStartOverdue(const run_key &Run) {
    server_run *Found = Runs.find(Run);
    if (!Found || Found->Phase != run_phase::Starting)
      return;
    ++Ports.counters().SuspectedStarts;
    Ports.replyTimeout().recordOutcome(true);
    Found->SuspectedAfterHold = LastHold;
    requestListNow();
  }

  // A start that is not in a later list may still be carried out, unless a stop voids it.
  void resolveSuspectedStarts(std::uint64_t Hold, const std::vector<run_key> &Running) {
    for (auto &[Run, State] : Runs) {
      if (State.Phase != run_phase::Starting || !State.SuspectedAfterHold ||
          *State.SuspectedAfterHold >= Hold)
        continue;
      if (std::ranges::find(Running, Run) == Running.end()) {
        stopUnansweredStart(Run, State);
        continue;
      }
      ++Ports.counters().ConfirmedStarts;
      confirmStart(State);
    }
  }

  void stopUnansweredStart(const run_key &Run, server_run &State) {
    UnansweredStarts[Run] = now();
    stopRun(Run, State, "start_unanswered");
  }

  void onStartRefused(order_outcome Outcome) {
    requestRunListIfUndelivered(Outcome);
    sendHoldIfNeeded();
    if (Outcome == order_outcome::Unhealthy || isUndelivered(Outcome))
      Health.onFailure(now());
  }

  // Stops. They are repeated until answered, because an unanswered start may be carried out much later.

  void stopRun(const run_key &Run, server_run &State, const char *Reason) {
    if (State.Phase == run_phase::Stopping || State.Phase == run_phase::StopConfirmed)
      return;
    Limits.limitStoppedRun(State, Ports.lastAnsweredHeartbeat(State.Coordinator), sinceBoot());
    State.Phase = run_phase::Stopping;
    State.StopReason = Reason;
    State.StoppedAt = now();
    State.ConfirmedAfterHold.reset();
    log(log_level::Info, "run_stop",
        {{"run", format(Run)}, {"server", Entry.Target.Id}, {"reason", std::string(Reason)}});
    sendStop(Run, State);
  }

  void sendStop(const run_key &Run, server_run &State) {
    ++Ports.counters().Stops;
    std::uint32_t Number = ++State.Stops;
    Ports.orders().stop(Entry.Target, Run, Token,
                        OwnershipLifetime.guard([this, Run, Number, Sent = now()](const order_reply &Reply) {
                          onStopReply(Run, Number, Sent, Reply);
                        }));
    // A stop is idempotent, so it is sent again without waiting until its connection is given up.
    if (Responsive)
      runAfter(Ports.replyTimeout().value(), [this, Run, Number] { repeatStop(Run, Number); });
    sendHoldIfNeeded();
  }

  // Only the latest stop of a run is repeated, so that repeats do not multiply.
  void repeatStop(const run_key &Run, std::uint32_t Number) {
    server_run *Found = Runs.find(Run);
    if (Found && Found->Phase == run_phase::Stopping && Found->Stops == Number)
      sendStop(Run, *Found);
  }

  void onStopReply(const run_key &Run, std::uint32_t Number, time_point Sent, const order_reply &Reply) {
    server_run *Found = processOrderReply(Run, Sent, Reply);
    if (!Found)
      return;
    if (Reply.Outcome == order_outcome::Accepted || Reply.Outcome == order_outcome::Superseded) {
      Found->Phase = run_phase::StopConfirmed;
      Found->StartPending = false;
      Found->ConfirmedAfterHold = LastHold;
      // The hold that waits for an end is not answered if the run never started.
      requestListNow();
      return;
    }
    if (Reply.Outcome == order_outcome::OtherIncarnation) {
      onServerReplaced();
      return;
    }
    ++Ports.counters().UnansweredOrders;
    runAfter(Options.OrderRetryDelay, [this, Run, Number] { repeatStop(Run, Number); });
  }

  // Holds renew the lease, report ended runs and acknowledge these reports.

  void sendHoldIfNeeded() {
    if (AwaitedHold != 0 || ProbeScheduled || Ownership != ownership::Owned)
      return;
    if (Runs.empty() && LastAcknowledgedEnd >= LastObservedEnd && !ListRefresh.pending())
      return;
    hold_order Order;
    Order.FencingToken = Token;
    Order.Observed = LastObservedEnd;
    if (!Runs.empty()) {
      Order.Wait = Ports.replyTimeout().repliesGetLost() ? Options.ShortHoldWait : Options.HoldWait;
      // The lease of an unresponsive server is not extended, so that the end of its runs can be computed.
      if (Responsive)
        Order.LeaseEndMs = extendLease();
    }
    awaitHold(Order);
  }

  // Only one hold is awaited at a time. When its reply is overdue, the next one is sent beside it, so that a
  // lost reply does not delay the reports of all ends.
  void awaitHold(const hold_order &Order) {
    AwaitedHold = sendHold(Order);
    runAfter(Order.Wait + Ports.replyTimeout().value(), [this, Hold = AwaitedHold] {
      if (AwaitedHold != Hold || !Responsive)
        return;
      Ports.replyTimeout().recordOutcome(true);
      AwaitedHold = 0;
      sendHoldIfNeeded();
    });
  }

  // Requests a list that is not delayed until a run ends, and repeats this while runs wait for one.
  void requestListNow() {
    if (!Responsive || Ownership != ownership::Owned || std::exchange(ListRequested, true))
      return;
    sendHold({Token, extendLease(), LastObservedEnd, {}});
    runAfter(Ports.replyTimeout().value(), [this] {
      ListRequested = false;
      if (Runs.anyAwaitsList())
        requestListNow();
    });
  }

  // Returns the number of the hold.
  std::uint64_t sendHold(const hold_order &Order) {
    std::uint64_t Hold = ++LastHold;
    ++Ports.counters().Holds;
    Ports.orders().hold(Entry.Target, Order,
                        OwnershipLifetime.guard([this, Hold, Sent = now(), Order](const hold_reply &Reply) {
                          onHoldReply(Hold, Sent, Order, Reply);
                        }));
    return Hold;
  }

  void onHoldReply(std::uint64_t Hold, time_point Sent, const hold_order &Order, const hold_reply &Reply) {
    if (AwaitedHold == Hold) {
      AwaitedHold = 0;
      Ports.replyTimeout().recordOutcome(Reply.Outcome == order_outcome::NoAnswer);
    }
    if (Reply.Outcome == order_outcome::Fenced) {
      loseOwnership();
      return;
    }
    if (Reply.Outcome == order_outcome::OtherIncarnation) {
      onServerReplaced();
      return;
    }
    if (Reply.Outcome != order_outcome::Accepted) {
      // A hold that was sent later has been answered, so the server is responsive.
      if (Hold < LatestAnsweredHold)
        sendHoldIfNeeded();
      else
        onHoldFailed(Reply.Outcome);
      return;
    }
    LatestAnsweredHold = std::max(LatestAnsweredHold, Hold);
    if (isOutdated(Reply)) {
      sendHoldIfNeeded();
      return;
    }
    Clock.setServerClock(now(), Reply.ClockMs);
    UnansweredHolds = 0;
    RefusesConnections = false;
    setResponsive(true);
    if (Reply.IncarnationStartMs != IncarnationStartMs) {
      onNewIncarnation(Reply);
    } else {
      LatestListMs = Reply.ClockMs.value_or(LatestListMs);
      LastAcknowledgedEnd = std::max(LastAcknowledgedEnd, Order.Observed);
    }
    for (const listed_end &End : Reply.Ended)
      onListedEnd(End);
    endMissingRuns(Hold, Reply.Running);
    resolveSuspectedStarts(Hold, Reply.Running);
    stopUnknownRuns(Reply.Running);
    if (ListRefresh.onList(Sent))
      Ports.onCapacityChanged(Entry.Target.Id);
    sendHoldIfNeeded();
  }

  // Replies on different connections may overtake each other. A run that has ended since must not be taken
  // for an unknown one.
  [[nodiscard]] bool isOutdated(const hold_reply &Reply) const {
    return Reply.IncarnationStartMs == IncarnationStartMs && Reply.ClockMs && *Reply.ClockMs < LatestListMs;
  }

  // If an order could not be sent, the server may have restarted and lost its fence.
  void requestRunListIfUndelivered(order_outcome Outcome) {
    if (isUndelivered(Outcome))
      ListRefresh.request(now());
  }

  void onHoldFailed(order_outcome Outcome) {
    ++Ports.counters().UnansweredOrders;
    RefusesConnections |= Outcome == order_outcome::ConnectionRefused;
    requestRunListIfUndelivered(Outcome);
    // A single lost or late reply is no evidence that the server is unresponsive.
    if (Responsive && ++UnansweredHolds < Options.UnansweredHoldLimit) {
      sendHoldIfNeeded();
      return;
    }
    if (Responsive)
      log(log_level::Warning, "server_silent",
          {{"server", Entry.Target.Id},
           {"outcome", std::string(orderOutcomeName(Outcome))},
           {"runs", static_cast<std::int64_t>(Runs.size())},
           {"lease_left_ms", runtime::toMs(Clock.expiresAt() - now())}});
    setResponsive(false);
    if (std::exchange(ProbeScheduled, true))
      return;
    runAfter(Options.OrderRetryDelay, [this] {
      ProbeScheduled = false;
      if (AwaitedHold == 0)
        probeUnresponsiveServer();
    });
  }

  // An unresponsive server is probed even when it has no runs, because only a reply makes it usable again.
  void probeUnresponsiveServer() {
    if (!Runs.empty() || Delisted || Ownership != ownership::Owned) {
      sendHoldIfNeeded();
      return;
    }
    AwaitedHold = sendHold({Token, std::nullopt, LastObservedEnd, {}});
  }

  // Servers with runs are asked for their lists all the time. While another owner is out of contact, the list
  // is requested before each start instead: a hold that shows a claim of that owner would lead to a
  // counterclaim, and the two would keep taking the server from each other.
  void refreshIdleList(time_point Now) {
    bool IsAsked =
        AwaitedHold != 0 || ProbeScheduled || Delisted || !Responsive || Ports.anyOwnerOutOfContact();
    if (Ownership == ownership::Owned && Runs.empty() && !IsAsked &&
        ListRefresh.age(Now) >= Options.IdleListInterval)
      awaitHold({Token, std::nullopt, LastObservedEnd, {}});
  }

  void setResponsive(bool IsResponsive) {
    if (std::exchange(Responsive, IsResponsive) != IsResponsive)
      Ports.onCapacityChanged(Entry.Target.Id);
  }

  void onListedEnd(const listed_end &End) {
    if (End.Number <= LastObservedEnd)
      return;
    LastObservedEnd = End.Number;
    server_run *Found = Runs.find(End.Run);
    if (!Found)
      return;
    recordRunEnd(End.End, *Found);
    std::string Reason = Found->StopReason.empty() ? std::string(runEndName(End.End)) : Found->StopReason;
    endRun(End.Run, toRunEvent(End.End), Reason);
  }

  void recordRunEnd(run_end End, const server_run &Run) {
    if (End == run_end::Done) {
      ++Ports.counters().Done;
      Health.onDone(runtime::toMs(now() - Run.StartedAt), Run.EstimateMs);
    } else if (End == run_end::Failed) {
      ++Ports.counters().Failed;
      if (Health.onFailure(now()))
        logQuarantine("failures");
    } else {
      ++Ports.counters().Gone;
    }
  }

  void logQuarantine(const char *Reason) {
    log(log_level::Warning, "server_quarantined",
        {{"server", Entry.Target.Id},
         {"reason", std::string(Reason)},
         {"times", std::int64_t{Health.quarantines()}}});
  }

  void endMissingRuns(std::uint64_t Hold, const std::vector<run_key> &Running) {
    for (const run_key &Run : Runs.missingFrom(Running, Hold))
      endRun(Run, schema::RUN_GONE, "not_listed");
  }

  // The runs of the former incarnation ended with it. The new incarnation knows neither its fence nor its
  // stops, and so may have carried out orders that were in flight.
  void onNewIncarnation(const hold_reply &Reply) {
    log(log_level::Warning, "server_reborn",
        {{"server", Entry.Target.Id},
         {"born", Reply.IncarnationStartMs},
         {"runs", static_cast<std::int64_t>(Runs.size())},
         {"running", static_cast<std::int64_t>(Reply.Running.size())}});
    for (auto &[Run, State] : Runs)
      State.OnFormerIncarnation = std::ranges::find(Reply.Running, Run) == Reply.Running.end();
    if (!Runs.empty())
      announceLoss(schema::LOSS_CRASHED, Runs.keys());
    IncarnationStartMs = Reply.IncarnationStartMs;
    LatestListMs = Reply.ClockMs.value_or(0);
    LastObservedEnd = 0;
    LastAcknowledgedEnd = 0;
    for (const auto &[Run, Ordered] : UnansweredStarts)
      if (now() - Ordered < Options.MaxOrderDelay && !Runs.contains(Run))
        stopUnknownRun(Run);
  }

  // Another server has the address, so this one has ended.
  void onServerReplaced() {
    log(log_level::Warning, "server_replaced",
        {{"server", Entry.Target.Id}, {"runs", static_cast<std::int64_t>(Runs.size())}});
    for (const run_key &Run : Runs.keys())
      endRun(Run, schema::RUN_GONE, "server_replaced");
    delist();
  }

  // Stops a run that was not ordered here under the current token, such as one that a new incarnation started
  // by a late order of a former owner.
  void stopUnknownRun(const run_key &Run) {
    server_run &Unknown = Runs[Run];
    Unknown.FillsServer = true;
    Unknown.Phase = run_phase::Running;
    Unknown.StartPending = false;
    Unknown.StartedAt = now();
    stopRun(Run, Unknown, "unknown");
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  void stopUnknownRuns(const std::vector<run_key> &Running) {
    for (const run_key &Run : Running)
      if (!Runs.contains(Run))
        stopUnknownRun(Run);
  }

  // Expired leases and overdue runs.

  void updateStopsOverdue(time_point Now) {
    bool Overdue = Runs.anyStopUnconfirmedSince(Now - Options.StopConfirmTimeout);
    if (std::exchange(StopsOverdue, Overdue) != Overdue)
      Ports.onCapacityChanged(Entry.Target.Id);
  }

  void endExpiredRuns(time_point Now) {
    if ((Responsive && !Delisted) || Now < Clock.expiresAt())
      return;
    std::vector<run_key> LostRuns = Runs.endingWithLease(Delisted);
    if (LostRuns.empty())
      return;
    schema::server_loss Loss = lossWithoutReply();
    if (Loss != schema::LOSS_NONE)
      announceLoss(Loss, LostRuns);
    for (const run_key &Run : LostRuns)
      endRun(Run, schema::RUN_GONE, "lease_over", Loss);
  }

  // A server that drains ends all runs when it leaves as planned.
  [[nodiscard]] schema::server_loss lossWithoutReply() const {
    if (Responsive || Entry.Draining)
      return schema::LOSS_NONE;
    return RefusesConnections ? schema::LOSS_CRASHED : schema::LOSS_SILENT;
  }

  void stopOverdueRuns(time_point Now) {
    // Nothing is known of the runs of an unresponsive server.
    if (!Responsive)
      return;
    for (auto &[Run, State] : Runs) {
      if (State.Phase != run_phase::Running || State.Unclaimed ||
          Now - State.StartedAt < Limits.overdueLimit(State, Health.slowness()))
        continue;
      ++Ports.counters().Overdue;
      State.Overdue = true;
      // A task that was overdue elsewhere, too, takes longer than declared; the server is not to blame.
      if (State.OverdueRuns == 0 && Health.onFailure(Now))
        logQuarantine("overdue");
      stopRun(Run, State, "overdue");
      Ports.onCapacityChanged(Entry.Target.Id);
    }
  }

  runtime::executor &Executor;
  ledger_ports &Ports;
  server_entry Entry;
  ledger_options Options;
  server_health Health;
  lease_clock Clock;
  run_limits Limits;
  ownership Ownership = ownership::None;
  std::uint64_t Token = 0;
  unsigned FencedClaims = 0;
  // New claims use a higher token than this one. Claims of other VMs and rejected claims of this VM raise it.
  std::uint64_t HighestKnownToken = 0;
  // Asks coordinators to claim the runs that the latest claim found.
  schema::dispatch_message AdoptRequest;
  run_table Runs;
  // Recent unanswered starts that a new incarnation may still carry out, with the time when each was found
  // unanswered.
  std::map<run_key, time_point> UnansweredStarts;
  std::int64_t IncarnationStartMs = 0;
  // Clock of the server in its newest list.
  std::int64_t LatestListMs = 0;
  std::uint64_t LastObservedEnd = 0;
  // Number of the latest end whose acknowledgement the server has certainly received.
  std::uint64_t LastAcknowledgedEnd = 0;
  // Earliest time at which this VM may claim the server again.
  time_point ReclaimAfter{};
  // Number of the hold whose reply is awaited; 0 if there is none.
  std::uint64_t AwaitedHold = 0;
  std::uint64_t LastHold = 0;
  std::uint64_t LatestAnsweredHold = 0;
  // Whether a hold to an unresponsive server is scheduled.
  bool ProbeScheduled = false;
  // Whether a list was requested within the last reply timeout that was not to wait for an end.
  bool ListRequested = false;
  run_list_refresh ListRefresh;
  std::uint32_t UnansweredHolds = 0;
  bool Responsive = true;
  // Whether a connection was refused since the latest reply to a hold.
  bool RefusesConnections = false;
  bool Delisted = false;
  bool Evacuated = false;
  // Whether a stop has been unconfirmed for so long that the lease may end before it is.
  bool StopsOverdue = false;
  // Drops callbacks of calls that were made before the server was released.
  runtime::lifetime OwnershipLifetime;
};

} // namespace

std::unique_ptr<server_ledger> makeServerLedger(runtime::executor &Executor, ledger_ports &Ports,
                                                server_entry Entry, ledger_options Options) {
  return std::make_unique<server_ledger_impl>(Executor, Ports, std::move(Entry), Options);
}

} // namespace yuccaplank::dispatch
