#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <deque>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr std::uint64_t Job = 0x5c0e7a21d94b36f8;
run_key runOf(std::uint32_t Index, std::uint32_t Run = 1) { return {{Job, Index}, Run}; }

// Orders as given, answered when the test says so.
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
  std::uint64_t LastToken = 0;
  ledger_counters Counters;
  bool OwnerMissing = false;
  // Of the coordinators' answers; as this VM's own by default.
  std::optional<runtime::time_point> AnsweredAt = runtime::time_point::max();
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
  void broadcast(const schema::dispatch_message &Message) override { Adoptions.push_back(Message.adopt()); }
  void onCapacityChanged(const std::string &) override {}
  std::uint64_t fencingToken(std::uint64_t Above) override {
    return LastToken = std::max(LastToken, Above) + 1;
  }
  ledger_counters &counters() override { return Counters; }
  [[nodiscard]] bool ownerMissing() const override { return OwnerMissing; }
  [[nodiscard]] std::optional<runtime::time_point> answeredAt(const std::string &) const override {
    return AnsweredAt;
  }

  static hold_reply listed(std::vector<run_key> Running, std::vector<listed_end> Ended = {},
                           std::int64_t IncarnationStartMs = 1) {
    hold_reply Reply;
    Reply.Outcome = order_outcome::Accepted;
    Reply.ClockMs = 1000;
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
    answerHold(listed(Running));
  }
  void start(const run_key &Run, std::uint32_t Cpu = 30000) const {
    schema::start_task Request;
    *Request.mutable_task() = toMessage(Run);
    Request.set_server("s1");
    Request.mutable_size()->set_cpu(Cpu);
    Request.set_estimate_ms(100);
    Request.set_token(Ledger->token());
    Ledger->start("coordinator", Request);
  }
  [[nodiscard]] schema::run_event lastEvent() const {
    return Events.empty() ? schema::RUN_UNKNOWN : Events.back().event();
  }
};

// Guards against starts beyond the room of a server, which does not guard it itself.
const test_case Room("server ledger: room", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.start(runOf(1));
  Owner.start(runOf(2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  if (auto When = section("when a run is being stopped, its room is still taken")) {
    Owner.answerStart(order_outcome::Accepted);
    Owner.Ledger->stop("coordinator", runOf(0));
    Owner.answerStop(order_outcome::Accepted);
    Owner.start(runOf(3));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
    if (auto Then = section("until its end is listed")) {
      Owner.answerHold(Owner.listed({runOf(1)}, {{1, runOf(0), run_end::Stopped}}));
      Owner.start(runOf(4));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
    }
  }
});

// Guards against two runs of one task when a start without an answer is carried out seconds later.
const test_case LateStart("server ledger: a start without an answer", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::NoAnswer);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
  CPPUNIT_ASSERT(Owner.Events.empty());
  if (auto When = section("when the stop has no answer either, it is repeated and the run is not given up")) {
    Owner.answerStop(order_outcome::NoAnswer);
    Owner.Executor->advance(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Stops.size());
    CPPUNIT_ASSERT(Owner.Events.empty());
    CPPUNIT_ASSERT_EQUAL(30000U, Owner.Ledger->state().used().cpu());
  }
  if (auto When = section("when the stop is acknowledged and a later list lacks the run, it is gone")) {
    Owner.answerStop(order_outcome::Accepted);
    Owner.Executor->advance(milliseconds(1));
    // The first hold was sent before the stop was acknowledged and proves nothing.
    Owner.answerHold(Owner.listed({}));
    CPPUNIT_ASSERT(Owner.Events.empty());
    Owner.answerHold(Owner.listed({}));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
  }
});

// Guards against runs that outlive their owner or are retried while they may still run.
const test_case Leases("server ledger: a server that does not answer", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  auto Silent = hold_reply{};
  Owner.answerHold(Silent);
  // One lost reply says little.
  CPPUNIT_ASSERT(Owner.Ledger->state().usable());
  Owner.answerHold(Silent);
  CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
  if (auto Then = section("its lease is not extended any more, and its runs are gone when it is over")) {
    Owner.Executor->advance(milliseconds(150));
    CPPUNIT_ASSERT(!Owner.Orders.Holds.front().Order.LeaseEndMs.has_value());
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Events.empty());
    // The lease on a clock that is 2 % slow, and the error of its estimate.
    ledger_options Options;
    auto Over = std::chrono::duration_cast<runtime::duration>(Options.Lease * (1 + Options.ClockDrift)) +
                Options.ClockError;
    Owner.Executor->advance(Over - milliseconds(151));
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Events.empty());
    Owner.Executor->advance(milliseconds(1));
    Owner.Ledger->tick();
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
  }
  if (auto Then = section("when it answers again in time, its run goes on under a longer lease")) {
    Owner.Executor->advance(milliseconds(150));
    Owner.answerHold(Owner.listed({runOf(0)}));
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
    CPPUNIT_ASSERT(Owner.Orders.Holds.front().Order.LeaseEndMs.has_value());
    CPPUNIT_ASSERT(Owner.Events.empty());
  }
});

// Guards against runs and late starts for a coordinator that has given this owner up, when either of the two
// lags: whatever it has not told yet, they end in time.
const test_case Coordinators("server ledger: a coordinator that no longer answers", [] {
  owner Owner;
  Owner.claim();
  auto Now = [&] { return Owner.Executor->clock().sinceBoot(); };
  Owner.AnsweredAt = Now();
  if (auto When = section("a start reaches the server within 560 ms of the heartbeat that was answered")) {
    Owner.Executor->advance(milliseconds(300));
    Owner.start(runOf(0));
    // The server's clock was 1000 when it was claimed; a slow one has not gone further than 294 ms.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000 + 294 + 260}, Owner.Orders.Starts.at(0).Order.LeaseEndMs);
  }
  if (auto When = section("shortly before that nothing is started")) {
    Owner.Executor->advance(milliseconds(550));
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
    CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  }
  if (auto When = section("nor is when the coordinator is out of contact")) {
    Owner.AnsweredAt.reset();
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  }
  if (auto When = section("its runs last a second from then at most")) {
    Owner.start(runOf(0));
    Owner.answerStart(order_outcome::Accepted);
    Owner.Executor->advance(milliseconds(500));
    Owner.answerHold(Owner.listed({runOf(0)}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000 + 500}, Owner.Orders.Holds.at(0).Order.LeaseEndMs.value());
    if (auto Then = section("after which no lease is given, until their end is certain")) {
      Owner.Executor->advance(milliseconds(500));
      Owner.answerHold(Owner.listed({runOf(0)}));
      CPPUNIT_ASSERT(!Owner.Orders.Holds.at(0).Order.LeaseEndMs);
    }
    if (auto Then = section("unless it answers again")) {
      Owner.AnsweredAt = Now();
      Owner.Executor->advance(milliseconds(50));
      Owner.answerHold(Owner.listed({runOf(0)}));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{1000 + 900}, Owner.Orders.Holds.at(0).Order.LeaseEndMs.value());
    }
  }
});

// Guards against taking a run for gone whose former owner has given it a longer lease than this one.
const test_case FormerLease("server ledger: the lease that a former owner gave", [] {
  owner Owner;
  Owner.claim({runOf(0)});
  schema::adopt_reply Reply;
  *Reply.add_runs()->mutable_task() = toMessage(runOf(0));
  Owner.AnsweredAt = Owner.Executor->clock().sinceBoot() - milliseconds(900);
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

// Guards against a dead owner's runs going on beside their copies, and against losing those that can go on.
const test_case TakeOver("server ledger: take-over", [] {
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
  if (auto Then =
          section("what no coordinator claims is stopped, and until it has ended nothing else fits")) {
    CPPUNIT_ASSERT(runOf(1) == Owner.Orders.Stops.at(0).Run);
    Owner.start(runOf(2), 1000);
    CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  }
  if (auto Then = section("what is claimed is held and reported to its coordinator")) {
    Owner.answerHold(Owner.listed({}, {{1, runOf(1), run_end::Stopped}, {2, runOf(0), run_end::Done}}));
    CPPUNIT_ASSERT_EQUAL(schema::RUN_DONE, Owner.lastEvent());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Events.size());
  }
  if (auto Then = section("an order under another claim's grant is refused")) {
    schema::start_task Stale;
    *Stale.mutable_task() = toMessage(runOf(5));
    Stale.set_token(Owner.Ledger->token() - 1);
    Owner.answerHold(Owner.listed({runOf(0)}, {{1, runOf(1), run_end::Stopped}}));
    Owner.Ledger->start("coordinator", Stale);
    CPPUNIT_ASSERT_EQUAL(std::string("granted_under_another_token"), Owner.Events.back().reason());
  }
  if (auto Then = section("a later claim of another VM ends the ownership, an earlier one does not")) {
    Owner.Ledger->onClaimedElsewhere(Owner.Ledger->token() - 1);
    CPPUNIT_ASSERT(!Owner.Ledger->unowned());
    Owner.Ledger->onClaimedElsewhere(Owner.Ledger->token() + 1);
    CPPUNIT_ASSERT(Owner.Ledger->unowned());
  }
});

// Guards against starts beyond a server's room when it was born again, has forgotten the later claim, and the
// VM with the earlier one has ordered it.
const test_case EarlierClaim("server ledger: another VM believed itself to own the server", [] {
  owner Owner;
  Owner.claim();
  Owner.Ledger->onClaimedElsewhere(Owner.Ledger->token() - 1);
  Owner.start(runOf(0));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  Owner.answerHold(Owner.listed({runOf(7)}, {}, 2));
  if (auto When = section("nothing is started beside what runs there")) {
    Owner.start(runOf(0));
    CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  }
  if (auto When = section("once that has ended the server is used again")) {
    Owner.answerStop(order_outcome::Accepted);
    Owner.answerHold(Owner.listed({}, {{1, runOf(7), run_end::Stopped}}, 2));
    Owner.start(runOf(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
});

// Guards against the same while another owner is out of contact and cannot tell.
const test_case MissingOwner("server ledger: another VM that may own the server is out of contact", [] {
  owner Owner;
  Owner.claim();
  Owner.OwnerMissing = true;
  Owner.Executor->advance(milliseconds(200));
  Owner.start(runOf(0));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  if (auto When = section("an idle server is used after it has told that nothing runs there")) {
    Owner.answerHold(Owner.listed({}));
    Owner.start(runOf(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
    if (auto Then = section("and at once while something does, since it is heard all the time")) {
      Owner.Executor->advance(milliseconds(200));
      Owner.start(runOf(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Owner.Orders.Starts.size());
    }
    if (auto Then = section("unless its answer is overdue")) {
      Owner.Executor->advance(milliseconds(260));
      Owner.start(runOf(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
    }
  }
});

// Guards against the same where an order could not be sent, so that the server may have ended and begun anew.
const test_case NotSent("server ledger: an order that could not be sent", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.Executor->advance(milliseconds(1));
  Owner.answerStart(order_outcome::NotSent);
  CPPUNIT_ASSERT_EQUAL(schema::RUN_NOT_STARTED, Owner.lastEvent());
  if (auto When = section("a list that was asked for before does not tell what runs there"))
    Owner.answerHold(Owner.listed({}));
  Owner.start(runOf(1));
  CPPUNIT_ASSERT(Owner.Orders.Starts.empty());
  if (auto When = section("one that was asked for since does")) {
    Owner.answerHold(Owner.listed({}));
    Owner.answerHold(Owner.listed({}));
    Owner.start(runOf(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Orders.Starts.size());
  }
});

// Guards against taking a run for gone that a new incarnation has started, and against unknown runs beyond
// the room.
const test_case Reborn("server ledger: a server that was born again", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  Owner.start(runOf(1));
  Owner.answerStart(order_outcome::Accepted);
  Owner.Executor->advance(milliseconds(1));
  Owner.answerHold(Owner.listed({runOf(0), runOf(1)}));
  if (auto When = section("when it runs one of two tasks, the other is gone")) {
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.listed({runOf(1)}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Owner.Events.size());
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
    CPPUNIT_ASSERT(Owner.Ledger->holds(runOf(1)));
  }
  if (auto When = section("when it runs what nobody here has ordered, that is stopped and takes all room")) {
    Owner.answerHold(Owner.listed({runOf(0), runOf(1), runOf(7)}, {}, 2));
    CPPUNIT_ASSERT(runOf(7) == Owner.Orders.Stops.at(0).Run);
    CPPUNIT_ASSERT(Owner.Ledger->state().used().cpu() >= 64000);
  }
});

// Guards against a server that fails or hangs all its tasks and, being fast at it, gets ever more of them.
const test_case Quarantine("server ledger: quarantine", [] {
  owner Owner;
  Owner.claim();
  for (std::uint32_t Index = 0; Index < 3; ++Index) {
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
    Owner.start(runOf(Index));
    Owner.answerStart(order_outcome::Accepted);
    Owner.answerHold(Owner.listed({}, {{Index + 1, runOf(Index), run_end::Failed}}));
    // The end is acknowledged.
    Owner.answerHold(Owner.listed({}));
  }
  CPPUNIT_ASSERT(!Owner.Ledger->state().usable());
  if (auto When = section("when its time is over, it gets one task at a time")) {
    Owner.Executor->advance(milliseconds(1001));
    Owner.Ledger->tick();
    CPPUNIT_ASSERT(Owner.Ledger->state().usable());
    CPPUNIT_ASSERT_EQUAL(1U, Owner.Ledger->state().task_limit());
    Owner.start(runOf(10));
    Owner.start(runOf(11));
    CPPUNIT_ASSERT_EQUAL(std::string("on_probation"), Owner.Events.back().reason());
    if (auto Then = section("until one is done")) {
      Owner.answerStart(order_outcome::Accepted);
      Owner.answerHold(Owner.listed({}, {{4, runOf(10), run_end::Done}}));
      CPPUNIT_ASSERT_EQUAL(0U, Owner.Ledger->state().task_limit());
    }
  }
});

// Guards against tasks that stand still until their job's deadline.
const test_case Overdue("server ledger: a task that stands still", [] {
  owner Owner;
  Owner.claim();
  Owner.start(runOf(0));
  Owner.answerStart(order_outcome::Accepted);
  // Five times the declared 100 ms and 200 ms more.
  Owner.Executor->advance(milliseconds(690));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(Owner.Orders.Stops.empty());
  Owner.Executor->advance(milliseconds(20));
  Owner.Ledger->tick();
  CPPUNIT_ASSERT(runOf(0) == Owner.Orders.Stops.at(0).Run);
});

} // namespace
