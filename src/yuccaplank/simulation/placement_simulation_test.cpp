#include "fleet_simulation.hpp"
#include "placement_simulation.hpp"
#include "yuccaplank/standin/task_server.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::simulation;
using dispatch::locality::wait_rule;
using testing::test_case;

namespace {

placement_result simulate(wait_rule Rule, double Load) {
  placement_day Day;
  Day.Load = Load;
  Day.Seconds = 3;
  Day.Servers = 40;
  Day.RackSize = 8;
  Day.Locality.Rule = Rule;
  return simulatePlacement(Day);
}

double creditPerJob(const placement_result::group &Group) {
  return Group.Credit / static_cast<double>(Group.Jobs);
}

// Guards against a rule that harms the callers without a locality preference, or that is worth less than no
// locality for the others.
const test_case HotRack("placement simulation: a hot rack harms no caller", [] {
  for (double Load : {0.5, 0.8, 1.2}) {
    placement_result Ignored = simulate(wait_rule::Ignore, Load);
    placement_result Implemented = simulate(wait_rule::Expected, Load);
    CPPUNIT_ASSERT(creditPerJob(Implemented.WithoutPlace) >= creditPerJob(Ignored.WithoutPlace));
    CPPUNIT_ASSERT(creditPerJob(Implemented.WithPlace) >= creditPerJob(Ignored.WithPlace));
  }
});

// Guards against double runs and lost answers when jobs wait for their rack during faults.
const test_case Faults("fleet simulation: jobs with a preferred rack, with faults", [] {
  simulation_options Options;
  Options.RackJobShare = 0.5;
  for (Options.Seed = 501; Options.Seed <= 504; ++Options.Seed) {
    auto Result = simulateFleet(Options);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Violations.empty() ? "" : Result.Violations.front(), std::size_t{0},
                                 Result.Violations.size());
  }
});

// Guards against specifications that stand-in servers of an earlier or this build read differently.
const test_case Specifications("stand-in: the rack in a task's specification", [] {
  standin::run_work Work{2000, runtime::fromMs(50), false};
  CPPUNIT_ASSERT(standin::decodeWork("2000 50").Rack.empty());
  CPPUNIT_ASSERT_EQUAL(std::string("2000 50"), standin::encodeWork(Work));
  Work.Rack = "r1-2";
  CPPUNIT_ASSERT_EQUAL(Work.Rack, standin::decodeWork(standin::encodeWork(Work)).Rack);
  CPPUNIT_ASSERT(!standin::decodeWork(standin::encodeWork(Work)).CrashingTask);
  Work.CrashingTask = 3;
  Work.Rack = std::string(standin::AnyOneRack);
  standin::run_work Decoded = standin::decodeWork(standin::encodeWork(Work));
  CPPUNIT_ASSERT_EQUAL(3U, *Decoded.CrashingTask);
  CPPUNIT_ASSERT_EQUAL(Work.Rack, Decoded.Rack);
});

} // namespace
