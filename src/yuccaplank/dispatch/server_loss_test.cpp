#include "yuccaplank/testing/ledger_owner.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::ledger_owner;
using testing::runOf;
using testing::section;
using testing::test_case;

namespace {

// Guards against starts beyond a server's free capacity after an order could not be sent, because the server
// may have restarted and lost its fence.
const test_case NotSent("server ledger: an order that could not be sent", [] {
  ledger_owner Owner;
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
  ledger_owner Owner;
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

// Guards against a crash that nobody counts: a server that crashed and one that is cut off look alike to an
// owner that only waits for the end of the lease.
const test_case Loss("server ledger: a server is lost with its runs", [] {
  ledger_owner Owner;
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
    server_entry Draining = ledger_owner::entry();
    Draining.Draining = true;
    Owner.Ledger->update(Draining);
    FailHolds(order_outcome::ConnectionRefused);
    CPPUNIT_ASSERT_EQUAL(schema::RUN_GONE, Owner.lastEvent());
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_NONE, Owner.Events.back().loss());
    CPPUNIT_ASSERT(Owner.Losses.empty());
  }
  if (auto When = section("nor when it is back at once after it has left as planned")) {
    server_entry Draining = ledger_owner::entry();
    Draining.Draining = true;
    Owner.Ledger->update(Draining);
    Owner.Executor->advance(milliseconds(1));
    Owner.answerHold(Owner.makeListReply({}, {}, 2));
    CPPUNIT_ASSERT_EQUAL(schema::LOSS_NONE, Owner.Events.back().loss());
    CPPUNIT_ASSERT(Owner.Losses.empty());
  }
  if (auto When = section("nor when the entry of its next incarnation is seen before that replies")) {
    server_entry Entry = ledger_owner::entry();
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
  ledger_owner Owner;
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

// Guards against starts on a server that has restarted unnoticed, with another capacity, while nothing ran
// there.
const test_case IdleServer("server ledger: a server without runs restarts", [] {
  ledger_owner Owner;
  server_entry Entry = ledger_owner::entry();
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
