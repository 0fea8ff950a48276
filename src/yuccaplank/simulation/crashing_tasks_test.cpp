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

// Guards against harmless jobs that fail because their tasks run beside a crashing one time after time:
// without servers of their own for tasks under suspicion, 16 of 5,564 jobs failed on ten such days.
const test_case Neighbours("crashing tasks: jobs that run beside them complete", [] {
  simulation::simulation_options Options = testing::siteWithoutFaults(6, 0.5);
  Options.CrashingJobShare = 0.02;
  for (Options.Seed = 1; Options.Seed <= 5; ++Options.Seed) {
    auto Result = testing::simulateQuietly(Options);
    CPPUNIT_ASSERT(Result.Crashes > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Result.HarmlessJobsGivenUp);
  }
});

// Guards against jobs that are answered as failed although their servers run on: connections to servers that
// are cut off are reset, which is no proof of a crash. Tasks that do crash their servers stay bounded
// meanwhile.
const test_case ResetCuts("crashing tasks: no job fails because its servers are cut off by resets", [] {
  simulation::simulation_options Options = testing::siteWithoutFaults(16, 0.8);
  Options.ResetCutShare = 0.17;
  if (auto When = section("when nothing crashes")) {
    for (Options.Seed = 1; Options.Seed <= 3; ++Options.Seed) {
      auto Result = testing::simulateQuietly(Options);
      CPPUNIT_ASSERT_MESSAGE(Result.Violations.empty() ? "" : Result.Violations.front(),
                             Result.Violations.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Result.JobsGivenUp);
    }
  }
  if (auto When = section("when tasks crash their servers, each of them crashes two at most")) {
    Options.CrashingJobShare = 0.02;
    for (Options.Seed = 1; Options.Seed <= 3; ++Options.Seed) {
      auto Result = testing::simulateQuietly(Options);
      CPPUNIT_ASSERT_MESSAGE(Result.Violations.empty() ? "" : Result.Violations.front(),
                             Result.Violations.empty());
      CPPUNIT_ASSERT(Result.Crashes > 0 && Result.MaxCrashesOfTask <= 2);
    }
  }
});

} // namespace
