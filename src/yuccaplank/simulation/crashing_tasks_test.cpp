// The load of jobs with a task that crashes each server that starts it.
#include "yuccaplank/testing/simulated_days.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

using namespace yuccaplank;
using testing::section;
using testing::test_case;

namespace {

// Guards against one task that crashes server after server: without a limit for each task, a task with a
// deadline of 8 s crashes eight of them.
const test_case Budget("crashing tasks: a task is not started again and again while its servers crash", [] {
  simulation::simulation_options Options = testing::siteWithoutFaults(6, 0.5);
  Options.CrashingJobShare = 0.02;
  Options.Seed = 3;
  if (auto When = section("when nothing else fails")) {
  }
  if (auto When = section("when entry VMs are killed, cut off and paused meanwhile")) {
    Options.FaultsPerSecond = 1;
  }
  auto Result = testing::simulateQuietly(Options);
  CPPUNIT_ASSERT_MESSAGE(Result.Violations.empty() ? "" : Result.Violations.front(),
                         Result.Violations.empty());
});

} // namespace
