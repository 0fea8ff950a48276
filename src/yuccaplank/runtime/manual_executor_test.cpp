#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <string>

using namespace std::chrono_literals;
using namespace yuccaplank::runtime;
using yuccaplank::testing::section;
using yuccaplank::testing::test_case;

namespace {

// Guards against timers that run early, late, twice, in the wrong order, or after they were cancelled.
const test_case Timers("manual executor: timers run once, in order and when due", [] {
  auto Executor = makeManualExecutor();
  std::string Log;
  timer_id Second = Executor->after(20ms, [&] { Log += "b"; });
  Executor->after(10ms, [&] { Log += "a"; });
  if (auto When = section("when time does not advance, no timer runs")) {
    Executor->runPosted();
    CPPUNIT_ASSERT_EQUAL(std::string(), Log);
  }
  if (auto When = section("when time advances past both, each runs once and in order")) {
    Executor->advance(20ms);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Log);
    Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Log);
  }
  if (auto When = section("when one is cancelled, only the other runs")) {
    Executor->cancel(Second);
    Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Log);
  }
});

} // namespace
