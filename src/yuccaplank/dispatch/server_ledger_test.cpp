#include "reply_timeout.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <deque>
#include <map>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr job_id Job(0x5c0e7a21d94b36f8);
run_key runOf(std::uint32_t Index, std::uint32_t Run = 1) { return {{Job, Index}, Run}; }

// Records orders; the test answers them.
struct recorded_orders final : server_orders {
  struct sent_start {
    start_order Order;
    std::function<void(order_reply)> Reply;
  };
  struct sent_stop {
    run_key Run;
    std::uint64_t Token = 0;
    std::function<void(order_reply)> Reply;
  };
  struct sent_hold {
    hold_order Order;
    std::function<void(hold_reply)> Reply;
  };
  std::deque<sent_start> Starts;
  std::deque<sent_stop> Stops;
  std::deque<sent_hold> Holds;

  void start(const server_target &, start_order Order, std::function<void(order_reply)> OnDone) override {
    Starts.push_back({std::move(Order), std::move(OnDone)});
  }
  void stop(const server_target &, const run_key &Run, std::uint64_t Token,
            std::function<void(order_reply)> OnDone) override {
    Stops.push_back({Run, Token, std::move(OnDone)});
  }
  void hold(const server_target &, const hold_order &Order, std::function<void(hold_reply)> OnDone) override {
    Holds.push_back({Order, std::move(OnDone)});
  }
};

struct owner final : ledger_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  recorded_orders Orders;
  std::vector<schema::task_event> Events;
  std::vector<schema::adopt_request> Adoptions;
  std::vector<schema::lost_server> Losses;
  // Start of the incarnation and clock in each reply of the server.
  std::vector<std::pair<std::int64_t, std::int64_t>> Replies;
  std::uint64_t LastToken = 0;
  ledger_counters Counters;
  std::size_t CapacityChanges = 0;
  // Clock of the server in its replies. Tests that let it stand still only look at differences to it.
  std::int64_t ServerClockMs = 1000;
  // Latest lease end in holds that were answered by advanceWithLists().
  std::int64_t AnsweredLeaseEndMs = 0;
  reply_timeout ReplyTimeout{milliseconds(30), milliseconds(100), milliseconds(250)};
  bool AnyOwnerOutOfContact = false;
  // The same for all coordinators; by default the value of this VM itself.
  std::optional<runtime::time_point> LastAnsweredHeartbeat = runtime::time_point::max();
  // Exceptions for single coordinators.
  std::map<std::string, std::optional<runtime::time_point>> Heartbeats;
  std::unique_ptr<server_ledger> Ledger = makeServerLedger(*Executor, *this, entry());

  static server_entry entry() {
    server_entry Entry;
    Entry.Target = {"s1", "10.0.0.1:80"};
    Entry.Capacity.set_cpu(64000);
    Entry.Capacity.set_memory_mb(1000);
    return Entry;
  }

  server_orders &orders() override { return Orders; }
  void send(const std::string &, schema::dispatch_message Message) override {
    if (Message.has_event())
      Events.push_back(Message.event());
  }
  void broadcast(const schema::dispatch_message &Message) override {
    if (Message.has_adopt())
      Adoptions.push_back(Message.adopt());
  }
  void announceLoss(schema::lost_server Lost) override { Losses.push_back(std::move(Lost)); }
  void onServerReplied(const std::string &, std::int64_t IncarnationStartMs, std::int64_t ClockMs) override {
    Replies.emplace_back(IncarnationStartMs, ClockMs);
  }
  void onCapacityChanged(const std::string &) override { ++CapacityChanges; }
  std::uint64_t fencingToken(std::uint64_t Above) override {
    return LastToken = std::max(LastToken, Above) + 1;
  }
  ledger_counters &counters() override { return Counters; }
  reply_timeout &replyTimeout() override { return ReplyTimeout; }
  [[nodiscard]] bool anyOwnerOutOfContact() const override { return AnyOwnerOutOfContact; }
  [[nodiscard]] std::optional<runtime::time_point>
  lastAnsweredHeartbeat(const std::string &Coordinator) const override {
    auto Found = Heartbeats.find(Coordinator);
    return Found == Heartbeats.end() ? LastAnsweredHeartbeat : Found->second;
  }

  [[nodiscard]] hold_reply makeListReply(std::vector<run_key> Running, std::vector<listed_end> Ended = {},
                                         std::int64_t IncarnationStartMs = 1) const {
    hold_reply Reply;
    Reply.Outcome = order_outcome::Accepted;
    Reply.ClockMs = ServerClockMs;
    Reply.IncarnationStartMs = IncarnationStartMs;
    Reply.Running = std::move(Running);
    Reply.Ended = std::move(Ended);
    return Reply;
  }
  void answerHold(const hold_reply &Reply) {
    auto Hold = std::move(Orders.Holds.front());
    Orders.Holds.pop_front();
    Hold.Reply(Reply);
  }
  // Answers the holds that are open now, in steps shorter than the time after which a hold is repeated.
  void advanceWithLists(milliseconds Time, const std::vector<run_key> &Running) {
    constexpr milliseconds Step{100};
    for (milliseconds Passed{}; Passed < Time; Passed += Step) {
      Executor->advance(Step);
      AnsweredLeaseEndMs = std::max(AnsweredLeaseEndMs, latestLeaseEndMs());
      for (std::size_t Count = Orders.Holds.size(); Count > 0; --Count)
        answerHold(makeListReply(Running));
    }
  }
  void answerStart(order_outcome Outcome) {
    auto Start = std::move(Orders.Starts.front());
    Orders.Starts.pop_front();
    Start.Reply({Outcome, 1000});
  }
  void answerStop(order_outcome Outcome) {
    auto Stop = std::move(Orders.Stops.front());
    Orders.Stops.pop_front();
    Stop.Reply({Outcome, 1000});
  }

  void claim(const std::vector<run_key> &Running = {}) {
    Ledger->claim();
    answerHold(makeListReply(Running));
  }
  void start(const run_key &Run, std::uint32_t Cpu = 30000, bool Alone = false,
             const std::string &Coordinator = "coordinator", bool Relayed = false,
             std::uint32_t FailedRuns = 0) const {
    schema::start_task Request;
    Request.set_failed_runs(FailedRuns);
    Request.set_relayed(Relayed);
    *Request.mutable_task() = toMessage(Run);
    Request.set_server("s1");
    Request.mutable_size()->set_cpu(Cpu);
    Request.set_estimate_ms(100);
    Request.set_alone(Alone);
    Request.set_token(Ledger->highestToken());
    Ledger->start(Coordinator, Request);
  }
  // Latest end of a lease that the orders of this owner have given, on the server's clock.
  [[nodiscard]] std::int64_t latestLeaseEndMs() const {
    std::int64_t Latest = 0;
    for (const recorded_orders::sent_start &Start : Orders.Starts)
      Latest = std::max(Latest, Start.Order.LeaseEndMs);
    for (const recorded_orders::sent_hold &Hold : Orders.Holds)
      Latest = std::max(Latest, Hold.Order.LeaseEndMs.value_or(0));
    return Latest;
  }
  [[nodiscard]] schema::run_event lastEvent() const {
    return Events.empty() ? schema::RUN_UNKNOWN : Events.back().event();
  }
};

// Guards against starts beyond the free capacity of a server, which does not check this itself. A placer's
// grants may rest on outdated capacity.
const test_case FreeCapacity("server ledger: free capacity", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.start(runOf(1));
  Owner.start(runOf(2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  if (auto When = section("when a run is being stopped, it still takes capacity")) {
    Owner.answerStart(order_outcome::Accepted);
    Owner.Ledger->stop("coordinator", runOf(0));
    Owner.answerStop(order_outcome::Accepted);
    Owner.start(runOf(3));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
    if (auto Then = section("until the server lists its end")) {
      Owner.answerHold(Owner.makeListReply({runOf(1)}, {{1, runOf(0), run_end::Stopped}}));
      Owner.start(runOf(4));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
    }
  }
});

// Guards against work that begins in an evacuated failure domain: by grants on the way, by orders that are
// repeated, or after a change of owner.
const test_case Evacuation("server ledger: an evacuated server", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  Owner.Ledger->setEvacuated(true);
  Owner.start(runOf(1));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  CPPUNIT_ASSERT_EQUAL(std::string("domain_evacuated"), Owner.Events.back().reason());
  CPPUNIT_ASSERT(Owner.Ledger->state().evacuated() && !Owner.Ledger->state().usable());
  if (auto Then = section("its run continues and ends by itself")) {
    CPPUNIT_ASSERT(Owner.Orders.Stops.empty());
    Owner.answerHold(Owner.makeListReply({}, {{1, runOf(0), run_end::Done}}));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_DONE, Owner.lastEvent());
  }
  if (auto When = section("when this VM loses and claims it again, nothing starts there")) {
    Owner.Ledger->release();
    Owner.Orders.Holds.clear();
    Owner.claim();
    Owner.start(runOf(2));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  }
  if (auto When = section("when the domain is taken back, it gets runs at once")) {
    Owner.Ledger->setEvacuated(false);
    Owner.start(runOf(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
});

// Guards against two concurrent runs of one task, when an unanswered start is carried out seconds later.
const test_case LateStart("server ledger: an unanswered start", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::NoAnswer);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
  CPPUNIT_ASSERT(Owner.Events.empty());
  if (auto When = section("when the stop is not answered either, it is repeated and the run is kept")) {
    Owner.answerStop(order_outcome::NoAnswer);
    Owner.Executor->advance(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
    CPPUNIT_ASSERT(Owner.Events.empty());
    CPPUNIT_ASSERT_EQUAL(30000U, Owner.Ledger->state().used().cpu());
  }
  if (auto When =
          section("when the stop is confirmed and a list requested later lacks the run, the run is gone")) {
    Owner.answerStop(order_outcome::Accepted);
    Owner.Executor->advance(milliseconds(1));
    // The first hold was sent before the stop was confirmed, so its list proves nothing.
    Owner.answerHold(Owner.makeListReply({}));
    CPPUNIT_ASSERT(Owner.Events.empty());
    Owner.answerHold(Owner.makeListReply({}));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
  }
});

// Guards against jobs that wait for a lost reply for longer than their tasks take, and against work that is
// thrown away because only the reply was lost.
const test_case OverdueReply("server ledger: the reply to a start is overdue", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  auto InitialTimeout = Owner.ReplyTimeout.value();
  std::size_t Holds = Owner.Orders.Holds.size();
  Owner.Executor->advance(std::chrono::duration_cast<milliseconds>(InitialTimeout));
  CPPUNIT_ASSERT_EQUAL(Holds + 1, Owner.Orders.Holds.size());
  CPPUNIT_ASSERT(Owner.Orders.Holds.back().Order.Wait == runtime::duration::zero());
  auto AnswerNewestHold = [&](const std::vector<run_key> &Running) {
    auto Hold = std::move(Owner.Orders.Holds.back());
    Owner.Orders.Holds.pop_back();
    Hold.Reply(Owner.makeListReply(Running));
  };
  if (auto When =
          section("when the list contains the run, it continues, also after the reply has timed out")) {
    AnswerNewestHold({runOf(0)});
    Owner.answerStart(order_outcome::NoAnswer);
    CPPUNIT_ASSERT(Owner.Orders.Stops.empty() && Owner.Events.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Owner.Counters.ConfirmedStarts);
  }
  if (auto When = section("when the list lacks the run, it is stopped at once, because it may start late")) {
    AnswerNewestHold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
    CPPUNIT_ASSERT(Owner.Events.empty());
    if (auto Then = section("and gone when a list that is requested after the stop lacks it")) {
      Owner.answerStop(order_outcome::Accepted);
      Owner.Executor->advance(milliseconds(100));
      AnswerNewestHold({});
      CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
    }
  }
  if (auto When = section("when the list is lost too, another one is requested")) {
    Owner.Executor->advance(std::chrono::duration_cast<milliseconds>(InitialTimeout));
    CPPUNIT_ASSERT(Owner.Orders.Holds.size() > Holds + 1);
  }
  if (auto When =
          section("when an older list arrives after a newer one, its runs are not taken for unknown")) {
    Owner.answerStart(order_outcome::Accepted);
    auto Newer = Owner.makeListReply({}, {{1, runOf(0), run_end::Done}});
    Newer.ClockMs = 1200;
    auto Hold = std::move(Owner.Orders.Holds.back());
    Owner.Orders.Holds.pop_back();
    Hold.Reply(Newer);
    CPPUNIT_ASSERT_EQUAL(schema::RUN_DONE, Owner.lastEvent());
    Owner.answerHold(Owner.makeListReply({runOf(0)}));
    CPPUNIT_ASSERT(Owner.Orders.Stops.empty());
    CPPUNIT_ASSERT_EQUAL(0U, Owner.Ledger->state().used().cpu());
  }
});

// Guards against ends that stay unknown for long because every lost reply hides them, against holds that are
// short for no reason, and against stops that wait until their connection is given up.
const test_case LostReplies("server ledger: replies get lost", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  ledger_options Options;
  if (auto Given = section("given one lost reply, holds wait as long as before")) {
    Owner.answerHold(hold_reply{});
    CPPUNIT_ASSERT(Owner.Orders.Holds.back().Order.Wait == Options.HoldWait);
  }
  if (auto Given = section("given several, holds wait for a shorter time, until replies arrive again")) {
    for (int Lost = 0; Lost < 3; ++Lost)
      Owner.ReplyTimeout.recordOutcome(true);
    Owner.answerHold(Owner.makeListReply({runOf(0)}));
    CPPUNIT_ASSERT(Owner.Orders.Holds.back().Order.Wait == Options.ShortHoldWait);
    for (int Answered = 0; Answered < 200; ++Answered)
      Owner.answerHold(Owner.makeListReply({runOf(0)}));
    CPPUNIT_ASSERT(Owner.Orders.Holds.back().Order.Wait == Options.HoldWait);
  }
  if (auto Given = section(
          "given a server that is unresponsive when a stop is sent, it is repeated once responsive")) {
    Owner.answerHold(hold_reply{});
    Owner.answerHold(hold_reply{});
    CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
    Owner.Ledger->stop("coordinator", runOf(0));
    Owner.Executor->advance(milliseconds(120));
    Owner.answerHold(Owner.makeListReply({runOf(0)}));
    Owner.answerStop(order_outcome::NoAnswer);
    Owner.Executor->advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
  }
  if (auto Given = section("given a stop without a reply, it is repeated after the learnt time")) {
    Owner.Ledger->stop("coordinator", runOf(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
    Owner.Executor->advance(std::chrono::duration_cast<milliseconds>(Owner.ReplyTimeout.value()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Stops.size());
    if (auto Then = section("once for each of these times, also when the earlier ones fail")) {
      Owner.answerStop(order_outcome::NoAnswer);
      Owner.Executor->advance(std::chrono::duration_cast<milliseconds>(Owner.ReplyTimeout.value()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Stops.size());
    }
    if (auto Then = section("until it is confirmed")) {
      Owner.answerStop(order_outcome::Accepted);
      Owner.Executor->advance(milliseconds(500));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
    }
  }
});

// Guards against runs that outlive their owner, and against retries of a task whose run may still exist. Both
// happen when the end of a lease is computed wrongly for an unresponsive server.
const test_case Leases("server ledger: an unresponsive server", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  auto NoReply = hold_reply{};
  Owner.answerHold(NoReply);
  // A single lost reply does not make the server unusable.
  CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  Owner.answerHold(NoReply);
  CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
  if (auto Then = section("its lease is not extended, and its runs are gone when the lease has expired")) {
    Owner.Executor->advance(milliseconds(150));
    CPPUNIT_ASSERT(!Owner.Orders.Holds.front().Order.LeaseEndMs.has_value());
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Events.empty());
    // The lease on a clock that is 2 % slow, and the error of its estimate.
    ledger_options Options;
    auto LeaseExpiry =
        std::chrono::duration_cast<runtime::duration>(Options.LeaseDuration * (1 + Options.ClockDrift)) +
        Options.ClockError;
    Owner.Executor->advance(LeaseExpiry - milliseconds(151));
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Events.empty());
    Owner.Executor->advance(milliseconds(1));
    Owner.Ledger->tick();
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
  }
  if (auto Then =
          section("when it answers before the lease expires, its run continues and the lease is extended")) {
    Owner.Executor->advance(milliseconds(150));
    Owner.answerHold(Owner.makeListReply({runOf(0)}));
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
    CPPUNIT_ASSERT(Owner.Orders.Holds.front().Order.LeaseEndMs.has_value());
    CPPUNIT_ASSERT(Owner.Events.empty());
  }
});

// Guards against runs and late starts for a coordinator that has given up this owner because one of the two
// lags. They have to end in time even if later messages from the coordinator are lost.
const test_case Coordinators("server ledger: a coordinator that no longer answers", [] {
  owner Owner;
  Owner.claim();
  auto Now = [&] { return Owner.Executor->clock().sinceBoot(); };
  Owner.LastAnsweredHeartbeat = Now();
  if (auto When = section("a start has to reach the server within 560 ms of the answered heartbeat")) {
    Owner.Executor->advance(milliseconds(300));
    Owner.start(runOf(0));
    // The server's clock was 1000 at the claim, and a slow one has advanced by 294 ms since.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000 + 294 + 260}, Owner.Orders.Starts.at(0).Order.LeaseEndMs);
  }
  if (auto When = section("shortly before these 560 ms end, nothing is started")) {
    Owner.Executor->advance(milliseconds(550));
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
    CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  }
  if (auto When = section("nothing is started while the coordinator is out of contact")) {
    Owner.LastAnsweredHeartbeat.reset();
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  }
  if (auto When = section("its runs end within 1 s of the answered heartbeat")) {
    Owner.start(runOf(0));
    Owner.answerStart(order_outcome::Accepted);
    Owner.advanceWithLists(milliseconds(500), {runOf(0)});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000 + 500}, Owner.Orders.Holds.at(0).Order.LeaseEndMs.value());
    if (auto Then = section("after 1 s the lease is not extended any more")) {
      Owner.advanceWithLists(milliseconds(500), {runOf(0)});
      CPPUNIT_ASSERT(!Owner.Orders.Holds.at(0).Order.LeaseEndMs);
    }
    if (auto Then = section("when it answers again, the lease is extended")) {
      Owner.LastAnsweredHeartbeat = Now();
      Owner.Executor->advance(milliseconds(50));
      Owner.answerHold(Owner.makeListReply({runOf(0)}));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{1000 + 900}, Owner.Orders.Holds.at(0).Order.LeaseEndMs.value());
    }
  }
});

// Guards against a run of a job that its caller has sent again. Whatever prolongs a lease prolongs all runs
// of the server, so while the end of one run is not known, nothing may prolong the lease beyond the time at
// which that run has to be over.
const test_case RunThatHasToEnd("server ledger: a run that has to end", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0), 10000);
  Owner.answerStart(order_outcome::Accepted);
  // The server's clock runs on, so that lease ends of different times can be compared.
  auto AdvanceWithLists = [&](int Ms, const std::vector<run_key> &Running) {
    for (int Passed = 0; Passed < Ms; Passed += 100) {
      Owner.ServerClockMs += 100;
      Owner.advanceWithLists(milliseconds(100), Running);
    }
  };
  AdvanceWithLists(300, {runOf(0)});
  const std::int64_t RunLimitMs = runtime::toMs(ledger_options().RunLimit);
  std::int64_t LimitMs = Owner.ServerClockMs + RunLimitMs;
  if (auto Given = section("given a stop that stays unanswered")) {
    Owner.Ledger->stop("coordinator", runOf(0));
    if (auto Then = section("holds do not prolong its lease beyond the run's limit")) {
      AdvanceWithLists(2000, {runOf(0)});
      CPPUNIT_ASSERT(Owner.AnsweredLeaseEndMs <= LimitMs);
    }
    if (auto Then =
            section("a start does not either, and as the limit approaches, the server gets no others")) {
      AdvanceWithLists(500, {runOf(0)});
      Owner.start(runOf(1), 10000);
      CPPUNIT_ASSERT(Owner.latestLeaseEndMs() <= LimitMs);
      AdvanceWithLists(400, {runOf(0)});
      std::size_t CapacityChanges = Owner.CapacityChanges;
      Owner.Ledger->tick();
      CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
      CPPUNIT_ASSERT_EQUAL(CapacityChanges + 1, Owner.CapacityChanges);
      Owner.start(runOf(2), 10000);
      CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
      CPPUNIT_ASSERT(Owner.latestLeaseEndMs() <= LimitMs);
    }
    if (auto Then = section("when the run's end is listed, the server is used as before")) {
      AdvanceWithLists(900, {runOf(0)});
      Owner.answerHold(Owner.makeListReply({}, {{1, runOf(0), run_end::Stopped}}));
      Owner.Ledger->tick();
      CPPUNIT_ASSERT(Owner.Ledger->state().usable());
      Owner.start(runOf(1), 10000);
      CPPUNIT_ASSERT(Owner.latestLeaseEndMs() > LimitMs);
    }
    if (auto Then = section("when its caller's request is withdrawn later, the earlier limit stays")) {
      AdvanceWithLists(500, {runOf(0)});
      Owner.Ledger->stop("coordinator", runOf(0));
      AdvanceWithLists(2000, {runOf(0)});
      CPPUNIT_ASSERT(Owner.AnsweredLeaseEndMs <= LimitMs);
    }
  }
  if (auto Given = section("given a run that this owner has stopped as overdue")) {
    AdvanceWithLists(500, {runOf(0)});
    Owner.Ledger->tick();
    LimitMs = Owner.ServerClockMs + RunLimitMs;
    AdvanceWithLists(2000, {runOf(0)});
    CPPUNIT_ASSERT(Owner.AnsweredLeaseEndMs <= LimitMs);
  }
  if (auto Given = section("given a run whose coordinator is lost, starts of another do not prolong it")) {
    Owner.Heartbeats["lost"] = Owner.Executor->clock().sinceBoot();
    Owner.start(runOf(5), 10000, false, "lost");
    Owner.answerStart(order_outcome::Accepted);
    LimitMs = Owner.ServerClockMs + RunLimitMs;
    AdvanceWithLists(500, {runOf(0), runOf(5)});
    Owner.Heartbeats["lost"] = std::nullopt;
    Owner.Ledger->stopRunsOf("lost");
    for (std::uint32_t Index = 10; Index < 30; ++Index) {
      Owner.start(runOf(Index), 1000);
      CPPUNIT_ASSERT(Owner.latestLeaseEndMs() <= LimitMs);
      AdvanceWithLists(100, {runOf(0), runOf(5)});
    }
    CPPUNIT_ASSERT(Owner.AnsweredLeaseEndMs <= LimitMs);
  }
});

// Guards against a run that its relaying VM can no longer stop: that VM is noticed to be lost after a contact
// lease only, so the lease of the run has to be shorter than that of a run of this VM's own callers.
const test_case OwnRelayedRun("server ledger: a run that another VM relays to this one", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0), 10000, false, "coordinator", true);
  auto Limit = Owner.ServerClockMs + runtime::toMs(ledger_options().RelayedRunLimit);
  CPPUNIT_ASSERT(static_cast<double>(Owner.latestLeaseEndMs()) <= Limit);
  Owner.answerStart(order_outcome::Accepted);
  Owner.advanceWithLists(milliseconds(100), {runOf(0)});
  CPPUNIT_ASSERT(static_cast<double>(Owner.latestLeaseEndMs()) <= Limit);
});

// Guards against a run that a former owner had to end and that a new owner prolongs.
const test_case UnclaimedRunLease("server ledger: a run that no coordinator claims after a takeover", [] {
  owner Owner;
  Owner.claim({runOf(0), runOf(1)});
  schema::adopt_reply Reply;
  *Reply.add_runs()->mutable_task() = toMessage(runOf(1));
  Owner.Ledger->adopt("coordinator", Reply);
  Owner.advanceWithLists(milliseconds(300), {runOf(0), runOf(1)});
  Owner.start(runOf(2), 0);
  Owner.advanceWithLists(milliseconds(500), {runOf(0), runOf(1)});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Owner.AnsweredLeaseEndMs);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Owner.latestLeaseEndMs());
});

// Guards against reporting a run as gone too early after a takeover, when the former owner has given it a
// longer lease than this owner may give.
const test_case FormerLease("server ledger: a lease given by a former owner", [] {
  owner Owner;
  Owner.claim({runOf(0)});
  schema::adopt_reply Reply;
  *Reply.add_runs()->mutable_task() = toMessage(runOf(0));
  Owner.LastAnsweredHeartbeat = Owner.Executor->clock().sinceBoot() - milliseconds(900);
  Owner.Ledger->adopt("coordinator", Reply);
  hold_reply NoAnswer;
  for (int Hold = 0; Hold < 3; ++Hold)
    if (!Owner.Orders.Holds.empty())
      Owner.answerHold(NoAnswer);
  Owner.Executor->advance(milliseconds(800));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(Owner.Events.empty());
  Owner.Executor->advance(milliseconds(200));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
});

// Guards against runs of a dead owner that continue beside their replacements, and against the loss of runs
// that can continue. Both depend on which runs the coordinators claim after a takeover.
const test_case Takeover("server ledger: takeover", [] {
  owner Owner;
  Owner.claim({runOf(0), runOf(1)});
  CPPUNIT_ASSERT_EQUAL(2, Owner.Adoptions.at(0).running_size());
  CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
  CPPUNIT_ASSERT(Owner.Orders.Holds.empty());
  schema::adopt_reply Reply;
  schema::adopted_run &Adopted = *Reply.add_runs();
  *Adopted.mutable_task() = toMessage(runOf(0));
  Adopted.mutable_size()->set_cpu(30000);
  Owner.Ledger->adopt("coordinator", Reply);
  Owner.Executor->advance(milliseconds(260));
  if (auto Then = section(
          "a run that no coordinator claims is stopped and occupies the whole server until it has ended")) {
    CPPUNIT_ASSERT(runOf(1) == Owner.Orders.Stops.at(0).Run);
    Owner.start(runOf(2), 1000);
    CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  }
  if (auto Then = section("a claimed run is kept and its end is reported to its coordinator")) {
    Owner.answerHold(
        Owner.makeListReply({}, {{1, runOf(1), run_end::Stopped}, {2, runOf(0), run_end::Done}}));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_DONE, Owner.lastEvent());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Events.size());
  }
  if (auto Then = section("a start under the grant of another claim is refused")) {
    schema::start_task Stale;
    *Stale.mutable_task() = toMessage(runOf(5));
    Stale.set_token(Owner.Ledger->highestToken() - 1);
    Owner.answerHold(Owner.makeListReply({runOf(0)}, {{1, runOf(1), run_end::Stopped}}));
    Owner.Ledger->start("coordinator", Stale);
    CPPUNIT_ASSERT_EQUAL(std::string("granted_under_another_token"), Owner.Events.back().reason());
  }
  if (auto Then = section("another VM's claim ends the ownership only if it has a higher token")) {
    Owner.Ledger->onClaimedElsewhere(Owner.Ledger->highestToken() - 1);
    CPPUNIT_ASSERT(!Owner.Ledger->unowned());
    Owner.Ledger->onClaimedElsewhere(Owner.Ledger->highestToken() + 1);
    CPPUNIT_ASSERT(Owner.Ledger->unowned());
  }
});

// Guards against starts beyond a server's free capacity when a restarted server has lost the fence of this
// VM's claim and another VM has sent it orders under an earlier claim.
const test_case EarlierClaim("server ledger: another VM has ordered runs under an earlier claim", [] {
  owner Owner;
  Owner.claim();
  Owner.Ledger->onClaimedElsewhere(Owner.Ledger->highestToken() - 1);
  Owner.start(runOf(0));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  Owner.answerHold(Owner.makeListReply({runOf(7)}, {}, 2));
  if (auto When = section("nothing is started while the other VM's run continues")) {
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  }
  if (auto When = section("when that run has ended, the server is used again")) {
    Owner.answerStop(order_outcome::Accepted);
    Owner.answerHold(Owner.makeListReply({}, {{1, runOf(7), run_end::Stopped}}, 2));
    Owner.start(runOf(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
});

// Guards against starts beyond a server's free capacity, when a restarted server may have lost its fence and
// another possible owner is out of contact and cannot report its claim.
const test_case MissingOwner("server ledger: another VM that may own the server is out of contact", [] {
  owner Owner;
  Owner.claim();
  Owner.AnyOwnerOutOfContact = true;
  Owner.Executor->advance(milliseconds(200));
  Owner.start(runOf(0));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  if (auto When = section("an idle server is used after its list shows no runs")) {
    Owner.answerHold(Owner.makeListReply({}));
    Owner.start(runOf(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
    if (auto Then =
            section("and immediately while it has runs, because its holds return lists continuously")) {
      Owner.Executor->advance(milliseconds(200));
      Owner.start(runOf(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
    }
    if (auto Then = section("unless its reply is overdue")) {
      Owner.Executor->advance(milliseconds(260));
      Owner.start(runOf(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
    }
  }
});

// Guards against starts beyond a server's free capacity after an order could not be sent, because the server
// may have restarted and lost its fence.
const test_case NotSent("server ledger: an order that could not be sent", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.Executor->advance(milliseconds(1));
  Owner.answerStart(order_outcome::NotSent);
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  if (auto When = section("a list that was requested before the failure does not make the server usable"))
    Owner.answerHold(Owner.makeListReply({}));
  Owner.start(runOf(1));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  if (auto When = section("a list that was requested after the failure does")) {
    Owner.answerHold(Owner.makeListReply({}));
    Owner.answerHold(Owner.makeListReply({}));
    Owner.start(runOf(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
});

// Guards against reporting a run as gone that a new incarnation of the server has started, and against starts
// beyond the server's free capacity beside unknown runs.
const test_case Restart("server ledger: a server restarted as a new incarnation", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  Owner.start(runOf(1));
  Owner.answerStart(order_outcome::Accepted);
  Owner.Executor->advance(milliseconds(1));
  Owner.answerHold(Owner.makeListReply({runOf(0), runOf(1)}));
  if (auto When = section("when it lists one of two runs, the other is gone")) {
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.makeListReply({runOf(1)}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Events.size());
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
    CPPUNIT_ASSERT(Owner.Ledger->containsRun(runOf(1)));
    CPPUNIT_ASSERT_EQUAL(1, Owner.Losses.at(0).runs_size());
    CPPUNIT_ASSERT(runOf(0) == toRunKey(Owner.Losses.at(0).runs(0)));
  }
  if (auto When = section(
          "when it lists a run that was not ordered here, that run is stopped and fills the server")) {
    Owner.answerHold(Owner.makeListReply({runOf(0), runOf(1), runOf(7)}, {}, 2));
    CPPUNIT_ASSERT(runOf(7) == Owner.Orders.Stops.at(0).Run);
    CPPUNIT_ASSERT(Owner.Ledger->state().used().cpu() >= 64000);
  }
});

// Guards against a server that fails or hangs all its tasks and, because its runs end fast, receives more and
// more of them.
const test_case Quarantine("server ledger: quarantine", [] {
  owner Owner;
  Owner.claim();
  for (std::uint32_t Index = 0; Index < 3; ++Index) {
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
    Owner.start(runOf(Index));
    Owner.answerStart(order_outcome::Accepted);
    Owner.answerHold(Owner.makeListReply({}, {{Index + 1, runOf(Index), run_end::Failed}}));
    // The end is acknowledged.
    Owner.answerHold(Owner.makeListReply({}));
  }
  CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
  if (auto When = section("when the quarantine has expired, it gets one task at a time")) {
    Owner.Executor->advance(milliseconds(1001));
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
    CPPUNIT_ASSERT_EQUAL(1U, Owner.Ledger->state().task_limit());
    Owner.start(runOf(10));
    Owner.start(runOf(11));
    CPPUNIT_ASSERT_EQUAL(std::string("on_probation"), Owner.Events.back().reason());
    if (auto Then = section("until one task is done")) {
      Owner.answerStart(order_outcome::Accepted);
      Owner.answerHold(Owner.makeListReply({}, {{4, runOf(10), run_end::Done}}));
      CPPUNIT_ASSERT_EQUAL(0U, Owner.Ledger->state().task_limit());
    }
  }
});

// Guards against tasks that make no progress and would block their job until its deadline.
const test_case Overdue("server ledger: a task without progress", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  // Five times the declared 100 ms plus 200 ms.
  Owner.Executor->advance(milliseconds(690));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(Owner.Orders.Stops.empty());
  Owner.Executor->advance(milliseconds(20));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(runOf(0) == Owner.Orders.Stops.at(0).Run);
});

// Guards against a server that hangs or turns slow and gets work until its first runs are overdue.
const test_case LongRuns("server ledger: runs in progress take much longer than declared", [] {
  owner Owner;
  Owner.claim();
  std::vector<run_key> Running;
  for (std::uint64_t Job = 1; Job <= 3; ++Job) {
    Running.push_back({{job_id(Job), 0}, 1});
    Owner.start(Running.back(), 10000);
    Owner.answerStart(order_outcome::Accepted);
  }
  // More than twice the declared 100 ms plus 50 ms.
  Owner.advanceWithLists(milliseconds(300), Running);
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  CPPUNIT_ASSERT(Owner.Ledger->state().overdue_slowness() > 1);
  CPPUNIT_ASSERT(Owner.Orders.Stops.empty());
  if (auto When = section("when they are done, the server is as before")) {
    Owner.answerHold(Owner.makeListReply(
        {},
        {{1, Running[0], run_end::Done}, {2, Running[1], run_end::Done}, {3, Running[2], run_end::Done}}));
    CPPUNIT_ASSERT_EQUAL(0.0F, Owner.Ledger->state().overdue_slowness());
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  }
  if (auto When = section("at three times the declared time plus 100 ms they are stopped")) {
    Owner.advanceWithLists(milliseconds(100), Running);
    Owner.Ledger->tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Owner.Orders.Stops.size());
    CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
  }
});

// Guards against the quarantine of a server by a task that fails on every server.
const test_case FailedElsewhere("server ledger: failures of tasks that failed elsewhere", [] {
  owner Owner;
  Owner.claim();
  for (std::uint32_t Index = 0; Index < 5; ++Index) {
    Owner.start({{job_id(Index + 1), 0}, 2}, 30000, false, "coordinator", false, 1);
    Owner.answerStart(order_outcome::Accepted);
    Owner.answerHold(Owner.makeListReply({}, {{Index + 1, {{job_id(Index + 1), 0}, 2}, run_end::Failed}}));
    Owner.answerHold(Owner.makeListReply({}));
  }
  CPPUNIT_ASSERT(Owner.Ledger->state().usable());
});

// Guards against a crash that nobody counts: a server that crashed and one that is cut off look alike to an
// owner that only waits for the end of the lease.
const test_case Loss("server ledger: a server is lost with its runs", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  Owner.answerHold(Owner.makeListReply({runOf(0)}));
  auto FailHolds = [&](order_outcome Outcome) {
    hold_reply Reply;
    Reply.Outcome = Outcome;
    for (int Step = 0; Step < 12; ++Step) {
      Owner.Executor->advance(milliseconds(100));
      while (!Owner.Orders.Holds.empty())
        Owner.answerHold(Reply);
      Owner.Ledger->tick();
    }
  };
  if (auto When = section("when its address refuses connections, it may have crashed")) {
    FailHolds(order_outcome::ConnectionRefused);
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_REFUSED, Owner.Losses.at(0).loss());
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_REFUSED, Owner.Events.back().loss());
  }
  if (auto When = section("when it does not reply, it may be cut off")) {
    FailHolds(order_outcome::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_SILENT, Owner.Losses.at(0).loss());
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_SILENT, Owner.Events.back().loss());
  }
  if (auto When = section("when it has restarted, its former incarnation has crashed")) {
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.makeListReply({}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_RESTARTED, Owner.Losses.at(0).loss());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, Owner.Losses.at(0).incarnation_start_ms());
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_RESTARTED, Owner.Events.back().loss());
  }
  if (auto When = section("when another server replies at its address, it has crashed")) {
    hold_reply Reply;
    Reply.Outcome = order_outcome::OtherIncarnation;
    Owner.answerHold(Reply);
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_RESTARTED, Owner.Losses.at(0).loss());
    CPPUNIT_ASSERT_EQUAL(1, Owner.Losses.at(0).runs_size());
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_RESTARTED, Owner.Events.back().loss());
  }
  if (auto When = section("when another VM claims it before the lease is over, it may have crashed, too")) {
    hold_reply Refused;
    Refused.Outcome = order_outcome::ConnectionRefused;
    for (int Step = 0; Step < 3; ++Step) {
      Owner.Executor->advance(milliseconds(100));
      while (!Owner.Orders.Holds.empty())
        Owner.answerHold(Refused);
    }
    CPPUNIT_ASSERT(Owner.Losses.empty());
    Owner.Ledger->onClaimedElsewhere(Owner.Ledger->highestToken() + 1);
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_REFUSED, Owner.Losses.at(0).loss());
  }
  if (auto When = section("when it leaves as planned, nothing is lost with it")) {
    server_entry Draining = owner::entry();
    Draining.Draining = true;
    Owner.Ledger->update(Draining);
    FailHolds(order_outcome::ConnectionRefused);
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_NONE, Owner.Events.back().loss());
    CPPUNIT_ASSERT(Owner.Losses.empty());
  }
  if (auto When = section("nor when it is back at once after it has left as planned")) {
    server_entry Draining = owner::entry();
    Draining.Draining = true;
    Owner.Ledger->update(Draining);
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.makeListReply({}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_NONE, Owner.Events.back().loss());
    CPPUNIT_ASSERT(Owner.Losses.empty());
  }
  if (auto When = section("nor when the entry of its next incarnation is seen before that replies")) {
    server_entry Entry = owner::entry();
    Entry.Draining = true;
    Entry.IncarnationStartMs = 1;
    Owner.Ledger->update(Entry);
    Entry.Draining = false;
    Entry.IncarnationStartMs = 2;
    Owner.Ledger->update(Entry);
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.makeListReply({}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
    CPPUNIT_ASSERT(Owner.Losses.empty());
    if (auto Then = section("but a crash of that one counts")) {
      Owner.start(runOf(1));
      Owner.answerStart(order_outcome::Accepted);
      Owner.Executor->advance(milliseconds(1));
      Owner.answerHold(Owner.makeListReply({}, {}, 3));
      CPPUNIT_ASSERT_EQUAL(schema::LOSS_RESTARTED, Owner.Losses.at(0).loss());
    }
  }
  if (auto When = section("when another server replies after its runs were lost, that tells of the crash")) {
    FailHolds(order_outcome::ConnectionRefused);
    Owner.Executor->advance(milliseconds(100));
    hold_reply Reply;
    Reply.Outcome = order_outcome::OtherIncarnation;
    Owner.answerHold(Reply);
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_RESTARTED, Owner.Losses.back().loss());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, Owner.Losses.back().incarnation_start_ms());
    Owner.Losses.resize(1);
  }
  CPPUNIT_ASSERT(Owner.Losses.size() <= 1);
});

// Guards against a crash that did not happen: a delayed reply of the former incarnation looks like a restart
// of the one that runs now.
const test_case LateReply("server ledger: a reply of the former incarnation arrives after a restart", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.Executor->advance(std::chrono::duration_cast<milliseconds>(Owner.ReplyTimeout.value()));
  CPPUNIT_ASSERT(Owner.Orders.Holds.size() > 1);
  auto Newest = std::move(Owner.Orders.Holds.back());
  Owner.Orders.Holds.pop_back();
  Newest.Reply(Owner.makeListReply({}, {}, 2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Losses.size());
  Owner.answerHold(Owner.makeListReply({runOf(0)}, {}, 1));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Losses.size());
  if (auto Then = section("or one that another server has the address, as it had before")) {
    Owner.start(runOf(1));
    Owner.Executor->advance(std::chrono::duration_cast<milliseconds>(Owner.ReplyTimeout.value()));
    CPPUNIT_ASSERT(Owner.Orders.Holds.size() > 1);
    auto Later = std::move(Owner.Orders.Holds.back());
    Owner.Orders.Holds.pop_back();
    Later.Reply(Owner.makeListReply({runOf(1)}, {}, 2));
    hold_reply Replaced;
    Replaced.Outcome = order_outcome::OtherIncarnation;
    Owner.answerHold(Replaced);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Losses.size());
    CPPUNIT_ASSERT(Owner.Ledger->containsRun(runOf(1)));
  }
  if (auto Then = section("and the present incarnation goes on")) {
    Owner.start(runOf(1));
    Owner.answerStart(order_outcome::Accepted);
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.makeListReply({runOf(1)}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Losses.size());
  }
});

// Guards against tasks that start beside one that may crash the server: grants of two placers, or grants on
// the way.
const test_case Alone("server ledger: a run that is to be alone", [] {
  owner Owner;
  Owner.claim();
  if (auto When = section("when it runs, the server gets no other one until it has ended")) {
    Owner.start(runOf(0), 1000, true);
    Owner.start(runOf(1), 1000);
    CPPUNIT_ASSERT_EQUAL(std::string("not_alone"), Owner.Events.back().reason());
    CPPUNIT_ASSERT_EQUAL(1U, Owner.Ledger->state().task_limit());
    Owner.answerStart(order_outcome::Accepted);
    Owner.answerHold(Owner.makeListReply({}, {{1, runOf(0), run_end::Done}}));
    Owner.start(runOf(1, 2), 1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
  if (auto When = section("when other runs are there, it does not start")) {
    Owner.start(runOf(0), 1000);
    Owner.start(runOf(1), 1000, true);
    CPPUNIT_ASSERT_EQUAL(std::string("not_alone"), Owner.Events.back().reason());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
});

// Guards against starts beyond the capacity of a server whose capacity changes while tasks run there, or
// whose next incarnation is of another kind.
const test_case ChangedCapacity("server ledger: the capacity changes", [] {
  owner Owner;
  auto SetCapacity = [&](std::uint32_t Cpu, std::uint32_t MemoryMb, std::int64_t IncarnationStartMs) {
    server_entry Entry = owner::entry();
    Entry.Capacity.set_cpu(Cpu);
    Entry.Capacity.set_memory_mb(MemoryMb);
    Entry.IncarnationStartMs = IncarnationStartMs;
    Owner.Ledger->update(Entry);
  };
  SetCapacity(64000, 1000, 1);
  if (auto When = section("when it shrinks, what runs there still counts")) {
    Owner.claim();
    Owner.start(runOf(0));
    SetCapacity(32000, 1000, 1);
    Owner.start(runOf(1));
    CPPUNIT_ASSERT_EQUAL(std::string("no_room"), Owner.Events.back().reason());
    if (auto Then = section("and when it grows again, there is room")) {
      SetCapacity(64000, 1000, 1);
      Owner.start(runOf(1, 2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
    }
  }
  if (auto When = section("when only the memory shrinks, the placer is told")) {
    Owner.claim();
    std::size_t Before = Owner.CapacityChanges;
    SetCapacity(64000, 500, 1);
    CPPUNIT_ASSERT_EQUAL(Before + 1, Owner.CapacityChanges);
  }
  if (auto When = section("when it grows beside a run of unknown size, there is no room for others")) {
    SetCapacity(32000, 1000, 1);
    Owner.claim({runOf(0)});
    Owner.Executor->advance(milliseconds(251));
    SetCapacity(64000, 1000, 1);
    CPPUNIT_ASSERT_EQUAL(64000U, Owner.Ledger->state().used().cpu());
    Owner.start(runOf(1));
    CPPUNIT_ASSERT_EQUAL(std::string("no_room"), Owner.Events.back().reason());
  }
  if (auto When =
          section("when a new incarnation lists its runs, nothing starts before it has told its capacity")) {
    Owner.claim();
    Owner.Ledger->requestRunList();
    Owner.answerHold(Owner.makeListReply({}, {}, 2));
    CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
    SetCapacity(96000, 1000, 2);
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  }
  if (auto When = section(
          "when the platform lists a new incarnation, nothing starts before it has listed its runs")) {
    Owner.claim();
    SetCapacity(96000, 1000, 2);
    CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
    Owner.answerHold(Owner.makeListReply({}, {}, 2));
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  }
});

// Guards against starts on a server that has restarted unnoticed, with another capacity, while nothing ran
// there.
const test_case IdleServer("server ledger: a server without runs restarts", [] {
  owner Owner;
  server_entry Entry = owner::entry();
  Entry.IncarnationStartMs = 1;
  Owner.Ledger->update(Entry);
  Owner.claim();
  Owner.Executor->advance(milliseconds(999));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(Owner.Orders.Holds.empty());
  Owner.Executor->advance(milliseconds(1));
  if (auto When = section("while another owner is out of contact, nothing provokes a counterclaim")) {
    Owner.AnyOwnerOutOfContact = true;
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Orders.Holds.empty());
    Owner.AnyOwnerOutOfContact = false;
  }
  Owner.Ledger->tick();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Holds.size());
  CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  Owner.answerHold(Owner.makeListReply({}, {}, 2));
  CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
});

} // namespace
