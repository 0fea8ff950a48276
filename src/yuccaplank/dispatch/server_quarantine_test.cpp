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

// Guards against a server that fails or hangs all its tasks and, because its runs end fast, receives more and
// more of them.
const test_case Quarantine("server ledger: quarantine", [] {
  ledger_owner Owner;
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
  ledger_owner Owner;
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
  ledger_owner Owner;
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
  ledger_owner Owner;
  Owner.claim();
  for (std::uint32_t Index = 0; Index < 5; ++Index) {
    Owner.start({{job_id(Index + 1), 0}, 2}, 30000, false, "coordinator", false, 1);
    Owner.answerStart(order_outcome::Accepted);
    Owner.answerHold(Owner.makeListReply({}, {{Index + 1, {{job_id(Index + 1), 0}, 2}, run_end::Failed}}));
    Owner.answerHold(Owner.makeListReply({}));
  }
  CPPUNIT_ASSERT(Owner.Ledger->state().usable());
});

} // namespace
