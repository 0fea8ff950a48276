#include "decision.hpp"
#include "rack_turnover.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <cmath>

using namespace yuccaplank;
using namespace yuccaplank::dispatch::locality;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

// A task of 100 ms that takes 300 ms elsewhere and has an objective of 500 ms.
situation makeSituation() {
  situation Situation;
  Situation.EstimateMs = 100;
  Situation.RemoteFactor = 3;
  Situation.ToObjectiveMs = 500;
  Situation.ToUselessMs = 1500;
  Situation.RackUsable = true;
  Situation.ExpectedWaitMs = 50;
  Situation.MaxWaitMs = HUGE_VAL;
  Situation.SinceFullMs = HUGE_VAL;
  return Situation;
}

void checkElsewhere(const situation &Situation, cause Cause) {
  decision Decision = decide(Situation, {});
  CPPUNIT_ASSERT(Decision.Step == step::TakeElsewhere);
  CPPUNIT_ASSERT_EQUAL(std::string(causeName(Cause)), std::string(causeName(Decision.Cause)));
}

// Guards against runs elsewhere that a short wait saves, and against waits that cost more than they save.
const test_case Decisions("locality: a task waits for its rack while that pays", [] {
  situation Situation = makeSituation();
  if (auto When = section("when the rack has a free server, it is taken unless one elsewhere is faster")) {
    Situation.FreeSlowness = 0;
    CPPUNIT_ASSERT(decide(Situation, {}).Step == step::TakePreferred);
    Situation.FreeSlowness = std::log(4);
    checkElsewhere(Situation, cause::ElsewhereFaster);
  }
  if (auto When = section("when the expected wait is below what it gains, the task waits as long at most")) {
    decision Decision = decide(Situation, {});
    CPPUNIT_ASSERT(Decision.Step == step::Wait);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, Decision.WaitAtMostMs, 0.01);
    Situation.WaitedMs = 200;
    checkElsewhere(Situation, cause::WaitedEnough);
  }
  if (auto When = section("when many wait for a hot rack, the task goes elsewhere early")) {
    Situation.ToObjectiveMs = 1000;
    Situation.ExpectedWaitMs = 201;
    checkElsewhere(Situation, cause::LongQueue);
  }
  if (auto When = section("when no server of the rack is usable, the task goes elsewhere at once")) {
    Situation.RackUsable = false;
    checkElsewhere(Situation, cause::RackUnusable);
  }
  if (auto When = section("when a run elsewhere meets the objective, no wait lets the task miss it")) {
    Situation.ToObjectiveMs = 320;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, decide(Situation, {}).WaitAtMostMs, 0.01);
    Situation.ExpectedWaitMs = 230;
    checkElsewhere(Situation, cause::Objective);
  }
  if (auto When =
          section("when only a run on the rack meets the objective, the task waits as long as it does")) {
    Situation.ToObjectiveMs = 250;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(150, decide(Situation, {}).WaitAtMostMs, 0.01);
  }
  if (auto When = section("when the pool was full just before, the task leaves the server to others")) {
    Situation.ExpectedWaitMs = 1000;
    Situation.SinceFullMs = 299;
    CPPUNIT_ASSERT(decide(Situation, {}).Step == step::Wait);
    Situation.ToUselessMs = 99;
    checkElsewhere(Situation, cause::Useless);
    Situation.SinceFullMs = 301;
    CPPUNIT_ASSERT(decide(Situation, {}).Step == step::TakeElsewhere);
  }
  if (auto When = section("when the settings limit the wait, it ends there")) {
    Situation.MaxWaitMs = 30;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, decide(Situation, {}).WaitAtMostMs, 0.01);
    Situation.WaitedMs = 30;
    checkElsewhere(Situation, cause::WaitedEnough);
  }
});

// Guards against an expected wait that ignores how fast runs end on the rack or who gets its servers.
const test_case Turnover("locality: the expected wait follows the turnover of the rack", [] {
  runtime::time_point Now = runtime::time_point(std::chrono::seconds(1));
  rack_turnover Rack(milliseconds(1000));
  Rack.onUsedChanged(10'000, Now);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(20, Rack.expectedWaitMs(1000, 200, Now), 0.01);
  if (auto When = section("when runs end sooner than declared, waits are expected to be shorter")) {
    for (int Step = 0; Step < 400; ++Step) {
      Now += milliseconds(5);
      Rack.onUsedChanged(-1000, Now);
      Rack.onUsedChanged(1000, Now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, Rack.expectedWaitMs(1000, 200, Now), 0.5);
    if (auto Hung = section("when no run ends any more, the expected wait grows")) {
      Now += std::chrono::seconds(10);
      CPPUNIT_ASSERT(Rack.expectedWaitMs(1000, 200, Now) > 500);
    }
  }
  if (auto When = section("when other tasks get the rack's servers, waits are expected to be longer")) {
    for (int Grant = 0; Grant < 100; ++Grant)
      Rack.onGrantedWhileWaiting(Grant % 4 == 0);
    CPPUNIT_ASSERT(Rack.expectedWaitMs(1000, 200, Now) > 40);
  }
  if (auto When = section("when nothing runs on the rack, nothing becomes free")) {
    Rack.onUsedChanged(-10'000, Now);
    CPPUNIT_ASSERT(std::isinf(Rack.expectedWaitMs(1000, 200, Now)));
  }
});

} // namespace
