#include "yuccaplank/dispatch/server_ledger.hpp"
#include "lease_clock.hpp"
#include "owner_messages.hpp"
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
  /// Another VM's, or nobody's.
  None,
  /// The fence is being raised.
  Claiming,
  /// Waiting for coordinators to claim what runs there.
  Adopting,
  Owned,
};

constexpr unsigned MaxFencedSteps = 16;
// A start order with less time would mostly be refused.
constexpr auto ShortestStartTime = std::chrono::milliseconds(20);

class server_ledger_impl final : public server_ledger {
public:
  server_ledger_impl(runtime::executor &Executor, ledger_ports &Ports, server_entry EntryIn,
                     ledger_options Options)
      : Executor(Executor), Ports(Ports), Entry(std::move(EntryIn)), Options(Options),
        Health(Options.FailuresToQuarantine, Options.FirstQuarantine, Options.LongestQuarantine),
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

  void onClaimedElsewhere(std::uint64_t ItsToken) override {
    if (ItsToken < Token) {
      // A server that has taken an earlier claim has forgotten this one.
      if (Ownership == ownership::Owned)
        requestRunList();
      return;
    }
    HighestToken = std::max(HighestToken, ItsToken);
    ReclaimAfter = now() + Options.ReclaimDelayInContact;
    release();
  }

  void requestRunList() override {
    ListRefresh.request(now());
    Ports.onCapacityChanged(Entry.Target.Id);
    keepHolding();
  }

  void release() override {
    if (Ownership == ownership::None)
      return;
    Ownership = ownership::None;
    OwnershipLifetime.renew();
    yieldRuns();
    Runs.clear();
    HoldPending = false;
    ListRefresh.reset();
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  void update(const server_entry &Updated) override {
    bool Returned = std::exchange(Delisted, false);
    bool Changed = Returned || Updated.Draining != Entry.Draining ||
                   Updated.Capacity.cpu() != Entry.Capacity.cpu() ||
                   Updated.Target.Address != Entry.Target.Address;
    Entry = Updated;
    if (Changed)
      Ports.onCapacityChanged(Entry.Target.Id);
  }

  void delist() override {
    if (std::exchange(Delisted, true))
      return;
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  [[nodiscard]] bool finished() const override { return Delisted && Runs.empty(); }

  void start(const std::string &Coordinator, const schema::start_task &Request) override {
    run_key Run = toRunKey(Request.task());
    if (fenceMayBeLost())
      requestRunList();
    if (const char *Refusal = refusalOf(Request)) {
      refuse(Coordinator, Run, Refusal);
      return;
    }
    duration StartTime = Limits.timeToStart(Ports.answeredAt(Coordinator), sinceBoot());
    if (StartTime < ShortestStartTime) {
      refuse(Coordinator, Run, "contact_nearly_over");
      return;
    }
    server_run &Started = Runs[Run];
    Started.Coordinator = Coordinator;
    Started.Relayed = Request.relayed();
    Started.Size = Request.size();
    Started.EstimateMs = Request.estimate_ms();
    Started.StartedAt = now();
    ++Ports.counters().Started;
    // The server refuses the order when it arrives after its coordinator may have given it up.
    start_order Order{Run, Request.specification(), Token, Clock.extend(now(), StartTime)};
    Ports.orders().start(
        Entry.Target, std::move(Order),
        OwnershipLifetime.guard([this, Run](const order_reply &Reply) { onStartReply(Run, Reply); }));
    keepHolding();
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
      Run.EstimateMs = Adopted.estimate_ms();
      Run.StartedAt = now() - std::chrono::milliseconds(Adopted.age_ms());
    }
    if (!Runs.anyUnclaimed())
      endAdoption();
  }

  bool resendAdoption(const std::string &Coordinator) override {
    if (Ownership != ownership::Adopting)
      return false;
    Ports.send(Coordinator, Adoption);
    return true;
  }

  void stopRunsOf(const std::string &Coordinator) override {
    for (auto &[Run, State] : Runs)
      if (State.Coordinator == Coordinator)
        stopRun(Run, State, "coordinator_lost");
  }

  void resume(const std::string &Coordinator, const schema::resume_session &Session) override {
    std::set<run_key> Counted;
    for (const schema::counted_run &Run : Session.runs())
      Counted.insert(toRunKey(Run.task()));
    for (auto &[Run, State] : Runs) {
      bool IsCounted = Counted.contains(Run);
      // The end of a run that was found at a take-over is told to the coordinator that asks for it late.
      if (State.Coordinator.empty() && IsCounted && Ownership == ownership::Owned)
        State.Coordinator = Coordinator;
      if (State.Coordinator == Coordinator && !IsCounted)
        stopRun(Run, State, "not_counted_on");
    }
  }

  [[nodiscard]] bool idle() const override { return Runs.empty(); }
  [[nodiscard]] bool holds(const run_key &Run) const override { return Runs.contains(Run); }
  [[nodiscard]] std::uint64_t token() const override { return std::max(Token, HighestToken); }
  [[nodiscard]] bool owned() const override { return Ownership == ownership::Owned; }
  [[nodiscard]] bool unowned() const override { return Ownership == ownership::None; }

  [[nodiscard]] schema::server_state state() const override {
    schema::server_state State;
    State.set_server(Entry.Target.Id);
    State.set_domain(Entry.Domain);
    State.set_pool(Entry.Pool);
    *State.mutable_capacity() = Entry.Capacity;
    *State.mutable_used() = Runs.used();
    State.set_slowness(static_cast<float>(Health.slowness()));
    State.set_usable(usable());
    State.set_removed(Ownership == ownership::None);
    State.set_task_limit(Health.onProbation() ? 1 : 0);
    State.set_tasks(static_cast<std::uint32_t>(Runs.size()));
    State.set_token(Token);
    return State;
  }

  void tick() override {
    time_point Now = now();
    std::erase_if(OpenStarts, [&](const auto &Each) { return Now - Each.second > Options.LateOrderTime; });
    if (Ownership == ownership::None)
      return;
    endLapsedRuns(Now);
    stopOverdueRuns(Now);
    if (Health.quarantineOver(Now))
      Ports.onCapacityChanged(Entry.Target.Id);
  }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }

  void later(duration Delay, std::function<void()> Function) {
    Executor.after(Delay, OwnershipLifetime.guard(std::move(Function)));
  }

  [[nodiscard]] bool usable() const {
    return Ownership == ownership::Owned && !ListRefresh.pending() && !Delisted && !Entry.Draining &&
           Answering && Health.usable();
  }

  // A VM out of contact may have claimed the server after it was born again.
  [[nodiscard]] bool fenceMayBeLost() const {
    duration Wait = Runs.empty() ? duration::zero() : Options.HoldWait;
    return Ownership == ownership::Owned && ListRefresh.mayHaveRestarted(now(), Wait) && Ports.ownerMissing();
  }

  const char *refusalOf(const schema::start_task &Request) const {
    if (!usable())
      return "server_unusable";
    if (Request.token() != Token)
      return "granted_under_another_token";
    if (!Runs.freeCapacity(Entry.Capacity).fits(Request.size()))
      return "no_room";
    if (Health.onProbation() && !Runs.empty())
      return "on_probation";
    return Runs.containsTask(toRunKey(Request.task()).Task) ? "task_already_here" : nullptr;
  }

  void refuse(const std::string &Coordinator, const run_key &Run, std::string_view Reason) {
    ++Ports.counters().Refused;
    log(log_level::Info, "start_refused",
        {{"run", format(Run)}, {"server", Entry.Target.Id}, {"reason", std::string(Reason)}});
    report(Coordinator, Run, schema::RUN_NOT_STARTED, Reason);
  }

  void report(const std::string &Coordinator, const run_key &Run, schema::run_event Event,
              std::string_view Reason) {
    if (!Coordinator.empty())
      Ports.send(Coordinator, makeEvent(Run, Event, Entry.Target.Id, Reason));
  }

  // Removes a run of which is certain that it does not run.
  void endRun(const run_key &Run, schema::run_event Event, std::string_view Reason) {
    server_run *Found = Runs.find(Run);
    if (!Found)
      return;
    std::string Coordinator = Found->Coordinator;
    Runs.erase(Run);
    if (Event != schema::RUN_DONE)
      log(log_level::Info, "run_ended",
          {{"run", format(Run)},
           {"server", Entry.Target.Id},
           {"end", schema::run_event_Name(Event)},
           {"reason", std::string(Reason)}});
    report(Coordinator, Run, Event, Reason);
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  [[nodiscard]] time_point sinceBoot() const { return Executor.clock().sinceBoot(); }

  // Lease for all runs, as long as each coordinator allows.
  std::optional<std::int64_t> extendLease() {
    for (auto &[Run, State] : Runs)
      Limits.note(State, Ports.answeredAt(State.Coordinator));
    auto Lease = Limits.lease(Runs.allowedUntil(), sinceBoot());
    if (!Lease)
      return std::nullopt;
    return Clock.extend(now(), *Lease);
  }

  // Take-over.

  void sendClaim() {
    // Each claim has a token of its own, so that orders under an earlier claim can be told apart.
    Token = Ports.fencingToken(std::max(HighestToken, Token));
    hold_order Order;
    Order.FencingToken = Token;
    Ports.orders().hold(Entry.Target, Order,
                        OwnershipLifetime.guard([this](const hold_reply &Reply) { onClaimReply(Reply); }));
  }

  void onClaimReply(const hold_reply &Reply) {
    if (Reply.Outcome == order_outcome::Fenced) {
      log(log_level::Info, "claim_fenced",
          {{"server", Entry.Target.Id}, {"token", static_cast<std::int64_t>(Token)}});
      // The server does not tell its fence; doubled steps reach it soon even if all VMs have forgotten their
      // terms.
      HighestToken = Token + (std::uint64_t{1} << (TermShift + std::min(FencedClaims++, MaxFencedSteps)));
      later(Options.FencedDelay, [this] { sendClaim(); });
      return;
    }
    if (Reply.Outcome != order_outcome::Accepted) {
      log(log_level::Warning, "claim_unanswered",
          {{"server", Entry.Target.Id}, {"outcome", std::string(orderOutcomeName(Reply.Outcome))}});
      later(Options.RepeatDelay * 3, [this] { sendClaim(); });
      return;
    }
    log(log_level::Info, "server_claimed",
        {{"server", Entry.Target.Id},
         {"token", static_cast<std::int64_t>(Token)},
         {"running", static_cast<std::int64_t>(Reply.Running.size())},
         {"ended", static_cast<std::int64_t>(Reply.Ended.size())}});
    Clock.note(now(), Reply.ClockMs);
    ListRefresh.onList(now());
    IncarnationStartMs = Reply.IncarnationStartMs;
    FencedClaims = 0;
    Answering = true;
    Observed = 0;
    AcknowledgedEnds = 0;
    for (const listed_end &End : Reply.Ended)
      Observed = std::max(Observed, End.Number);
    beginAdoption(Reply);
  }

  void beginAdoption(const hold_reply &Reply) {
    Ownership = ownership::Adopting;
    Clock.noteLease(now(), Options.Lease);
    Adoption = makeAdoption(Entry.Target.Id, Token, Reply);
    for (const run_key &Run : Reply.Running) {
      server_run &Found = Runs[Run];
      Found.Unclaimed = true;
      Found.Phase = run_phase::Running;
      Found.StartOpen = false;
      Found.StartedAt = now();
      Found.ConfirmedAt = now();
    }
    Ports.broadcast(Adoption);
    if (Runs.empty()) {
      endAdoption();
      return;
    }
    later(Options.AdoptionTime, [this] { endAdoption(); });
  }

  void endAdoption() {
    if (Ownership != ownership::Adopting)
      return;
    Ownership = ownership::Owned;
    for (auto &[Run, State] : Runs)
      if (State.Unclaimed) {
        // Its size is not known, so nothing else fits until it has ended.
        State.Size = Entry.Capacity;
        stopRun(Run, State, "unclaimed");
      }
    keepHolding();
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  void yieldRuns() {
    for (const std::string &Coordinator : Runs.coordinators())
      Ports.send(Coordinator, makeYield(Entry.Target.Id, Token));
  }

  void loseOwnership() {
    ReclaimAfter = now() + Options.ReclaimDelay;
    HighestToken = std::max(HighestToken, Token);
    log(log_level::Warning, "server_fenced_off",
        {{"server", Entry.Target.Id}, {"token", static_cast<std::int64_t>(Token)}});
    release();
  }

  // Starts.

  // The run that a reply is about; null when it is gone, or this VM's ownership with it.
  server_run *answeredRun(const run_key &Run, const order_reply &Reply) {
    Clock.note(now(), Reply.ClockMs);
    if (Reply.Outcome == order_outcome::Fenced) {
      loseOwnership();
      return nullptr;
    }
    return Runs.find(Run);
  }

  void onStartReply(const run_key &Run, const order_reply &Reply) {
    server_run *Found = answeredRun(Run, Reply);
    if (!Found)
      return;
    server_run &State = *Found;
    if (Reply.Outcome == order_outcome::Accepted) {
      State.StartOpen = false;
      State.ConfirmedAt = now();
      if (State.Phase == run_phase::Starting)
        State.Phase = run_phase::Running;
      return;
    }
    if (Reply.Outcome == order_outcome::NoAnswer) {
      ++Ports.counters().NoAnswers;
      OpenStarts[Run] = now();
      stopRun(Run, State, "start_unanswered");
      return;
    }
    if (Reply.Outcome == order_outcome::OtherIncarnation) {
      endRun(Run, schema::RUN_NOT_STARTED, orderOutcomeName(Reply.Outcome));
      onReplaced();
      return;
    }
    noteRefusal(Reply.Outcome);
    endRun(Run, schema::RUN_NOT_STARTED, orderOutcomeName(Reply.Outcome));
  }

  void noteRefusal(order_outcome Outcome) {
    noteNotSent(Outcome);
    keepHolding();
    if (Outcome == order_outcome::Unhealthy || Outcome == order_outcome::NotSent)
      Health.onFailure(now());
  }

  // Stops. They are repeated until answered, since a start without an answer may be carried out much later.

  void stopRun(const run_key &Run, server_run &State, const char *Reason) {
    if (State.Phase == run_phase::Stopping || State.Phase == run_phase::Voided)
      return;
    State.Phase = run_phase::Stopping;
    State.StopReason = Reason;
    State.ConfirmedAt.reset();
    log(log_level::Info, "run_stop",
        {{"run", format(Run)}, {"server", Entry.Target.Id}, {"reason", std::string(Reason)}});
    sendStop(Run);
  }

  void sendStop(const run_key &Run) {
    ++Ports.counters().Stops;
    Ports.orders().stop(
        Entry.Target, Run, Token,
        OwnershipLifetime.guard([this, Run](const order_reply &Reply) { onStopReply(Run, Reply); }));
    keepHolding();
  }

  void onStopReply(const run_key &Run, const order_reply &Reply) {
    server_run *Found = answeredRun(Run, Reply);
    if (!Found)
      return;
    if (Reply.Outcome == order_outcome::Accepted || Reply.Outcome == order_outcome::Superseded) {
      Found->Phase = run_phase::Voided;
      Found->StartOpen = false;
      Found->ConfirmedAt = now();
      keepHolding();
      return;
    }
    if (Reply.Outcome == order_outcome::OtherIncarnation) {
      onReplaced();
      return;
    }
    ++Ports.counters().NoAnswers;
    later(Options.RepeatDelay, [this, Run] {
      if (Runs.contains(Run))
        sendStop(Run);
    });
  }

  // Holds: renew the lease, learn of ends, acknowledge them.

  void keepHolding() {
    if (HoldPending || Ownership != ownership::Owned)
      return;
    if (Runs.empty() && AcknowledgedEnds >= Observed && !ListRefresh.pending())
      return;
    hold_order Order;
    Order.FencingToken = Token;
    Order.Observed = Observed;
    if (!Runs.empty()) {
      Order.Wait = Options.HoldWait;
      // A server that does not answer gets no longer lease, so that its runs have an end that can be
      // computed.
      if (Answering)
        Order.LeaseEndMs = extendLease();
    }
    sendHold(Order);
  }

  void sendHold(const hold_order &Order) {
    HoldPending = true;
    ++Ports.counters().Holds;
    Ports.orders().hold(Entry.Target, Order,
                        OwnershipLifetime.guard([this, Sent = now(), Order](const hold_reply &Reply) {
                          onHoldReply(Sent, Order, Reply);
                        }));
  }

  void onHoldReply(time_point Sent, const hold_order &Order, const hold_reply &Reply) {
    HoldPending = false;
    if (Reply.Outcome == order_outcome::Fenced) {
      loseOwnership();
      return;
    }
    if (Reply.Outcome == order_outcome::OtherIncarnation) {
      onReplaced();
      return;
    }
    if (Reply.Outcome != order_outcome::Accepted) {
      onHoldFailed(Reply.Outcome);
      return;
    }
    Clock.note(now(), Reply.ClockMs);
    UnansweredHolds = 0;
    setAnswering(true);
    if (Reply.IncarnationStartMs != IncarnationStartMs)
      onNewIncarnation(Reply);
    else
      AcknowledgedEnds = std::max(AcknowledgedEnds, Order.Observed);
    for (const listed_end &End : Reply.Ended)
      onEnd(End);
    endMissingRuns(Sent, Reply.Running);
    stopUnknownRuns(Reply.Running);
    if (ListRefresh.onList(Sent))
      Ports.onCapacityChanged(Entry.Target.Id);
    keepHolding();
  }

  // The server may have ended and been born again, and has forgotten its fence then.
  void noteNotSent(order_outcome Outcome) {
    if (Outcome == order_outcome::NotSent)
      ListRefresh.request(now());
  }

  void onHoldFailed(order_outcome Outcome) {
    ++Ports.counters().NoAnswers;
    noteNotSent(Outcome);
    // One reply that is lost or late says little of the server.
    if (Answering && ++UnansweredHolds < Options.HoldsToSilence) {
      keepHolding();
      return;
    }
    if (Answering)
      log(log_level::Warning, "server_silent",
          {{"server", Entry.Target.Id},
           {"outcome", std::string(orderOutcomeName(Outcome))},
           {"runs", static_cast<std::int64_t>(Runs.size())},
           {"lease_left_ms", runtime::toMs(Clock.overAt() - now())}});
    setAnswering(false);
    HoldPending = true;
    later(Options.RepeatDelay, [this] {
      HoldPending = false;
      probeWhileSilent();
    });
  }

  // A silent server is asked again also when nothing runs there, since only an answer makes it usable.
  void probeWhileSilent() {
    if (!Runs.empty() || Delisted || Ownership != ownership::Owned) {
      keepHolding();
      return;
    }
    sendHold({Token, std::nullopt, Observed, {}});
  }

  void setAnswering(bool IsAnswering) {
    if (std::exchange(Answering, IsAnswering) != IsAnswering)
      Ports.onCapacityChanged(Entry.Target.Id);
  }

  void onEnd(const listed_end &End) {
    if (End.Number <= Observed)
      return;
    Observed = End.Number;
    server_run *Found = Runs.find(End.Run);
    if (!Found)
      return;
    noteHealth(End.End, *Found);
    std::string Reason = Found->StopReason.empty() ? std::string(runEndName(End.End)) : Found->StopReason;
    endRun(End.Run, eventOf(End.End), Reason);
  }

  void noteHealth(run_end End, const server_run &Run) {
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

  void endMissingRuns(time_point Sent, const std::vector<run_key> &Running) {
    for (const run_key &Run : Runs.missingIn(Running, Sent))
      endRun(Run, schema::RUN_GONE, "not_listed");
  }

  // What the former incarnation ran is gone with it; orders that were under way may have been carried out by
  // the new one, which knows neither fencing tokens nor stops.
  void onNewIncarnation(const hold_reply &Reply) {
    log(log_level::Warning, "server_reborn",
        {{"server", Entry.Target.Id},
         {"born", Reply.IncarnationStartMs},
         {"runs", static_cast<std::int64_t>(Runs.size())},
         {"running", static_cast<std::int64_t>(Reply.Running.size())}});
    IncarnationStartMs = Reply.IncarnationStartMs;
    Observed = 0;
    AcknowledgedEnds = 0;
    for (const auto &[Run, Ordered] : OpenStarts)
      if (now() - Ordered < Options.LateOrderTime && !Runs.contains(Run))
        stopUnknownRun(Run);
  }

  // Another server is at the address: this one has ended.
  void onReplaced() {
    log(log_level::Warning, "server_replaced",
        {{"server", Entry.Target.Id}, {"runs", static_cast<std::int64_t>(Runs.size())}});
    for (const run_key &Run : Runs.keys())
      endRun(Run, schema::RUN_GONE, "server_replaced");
    delist();
  }

  // A run that nobody here has ordered under the current token, for example by an order of a former owner
  // that was carried out late by a new incarnation. Its size is not known, so nothing else fits until it has
  // ended.
  void stopUnknownRun(const run_key &Run) {
    server_run &Unknown = Runs[Run];
    Unknown.Size = Entry.Capacity;
    Unknown.Phase = run_phase::Running;
    Unknown.StartOpen = false;
    Unknown.StartedAt = now();
    stopRun(Run, Unknown, "unknown");
    Ports.onCapacityChanged(Entry.Target.Id);
  }

  void stopUnknownRuns(const std::vector<run_key> &Running) {
    for (const run_key &Run : Running)
      if (!Runs.contains(Run))
        stopUnknownRun(Run);
  }

  // Ends of time.

  void endLapsedRuns(time_point Now) {
    if ((Answering && !Delisted) || Now < Clock.overAt())
      return;
    for (const run_key &Run : Runs.lapsing(Delisted))
      endRun(Run, schema::RUN_GONE, "lease_over");
  }

  void stopOverdueRuns(time_point Now) {
    for (auto &[Run, State] : Runs) {
      if (State.Phase != run_phase::Running || State.Unclaimed)
        continue;
      double Expected = State.EstimateMs * std::exp(std::max(0.0, Health.slowness()));
      duration Limit = runtime::fromMs(Expected * Options.OverdueFactor) + Options.OverdueMargin;
      if (Now - State.StartedAt < Limit)
        continue;
      ++Ports.counters().Overdue;
      if (Health.onFailure(Now))
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
  // Of other VMs' claims, as far as known.
  std::uint64_t HighestToken = 0;
  // Asks coordinators for the runs found at the latest claim.
  schema::dispatch_message Adoption;
  run_table Runs;
  // Starts of late that were never answered and may still be carried out by a new incarnation.
  std::map<run_key, time_point> OpenStarts;
  std::int64_t IncarnationStartMs = 0;
  std::uint64_t Observed = 0;
  // Ends up to this one are known to be acknowledged at the server.
  std::uint64_t AcknowledgedEnds = 0;
  // When this VM may claim the server again.
  time_point ReclaimAfter{};
  bool HoldPending = false;
  run_list_refresh ListRefresh;
  std::uint32_t UnansweredHolds = 0;
  bool Answering = true;
  bool Delisted = false;
  // Callbacks of calls made before the server was released are dropped.
  runtime::lifetime OwnershipLifetime;
};

} // namespace

std::unique_ptr<server_ledger> makeServerLedger(runtime::executor &Executor, ledger_ports &Ports,
                                                server_entry Entry, ledger_options Options) {
  return std::make_unique<server_ledger_impl>(Executor, Ports, std::move(Entry), Options);
}

} // namespace yuccaplank::dispatch
