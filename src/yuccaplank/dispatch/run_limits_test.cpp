#include "run_limits.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

// Guards against a task that never completes because each of its runs is stopped after the same short time:
// without a declared time, the limit was the margin of 200 ms, however often it was doubled.
const test_case Overdue("run limits: time after which a run is overdue", [] {
  run_limits Limits{ledger_options()};
  server_run Run;
  if (auto Given = section("given a declared time, it is five times that and a margin")) {
    Run.EstimateMs = 100;
    CPPUNIT_ASSERT(milliseconds(700) == Limits.overdueLimit(Run, 0, false));
  }
  if (auto Given = section("given no declared time")) {
    Run.EstimateMs = 0;
    if (auto Then = section("it is beyond the default deadline of a job")) {
      CPPUNIT_ASSERT(Limits.overdueLimit(Run, 0, false) >= milliseconds(5000));
    }
    if (auto Then = section("it doubles with each overdue run, except for the margin")) {
      auto First = Limits.overdueLimit(Run, 0, false) - ledger_options().OverdueMargin;
      Run.OverdueRuns = 2;
      CPPUNIT_ASSERT(4 * First == Limits.overdueLimit(Run, 0, false) - ledger_options().OverdueMargin);
    }
    if (auto Then = section("it is longer on a slow server")) {
      CPPUNIT_ASSERT(Limits.overdueLimit(Run, 1, false) > Limits.overdueLimit(Run, 0, false));
    }
  }
});

} // namespace
