// The load of servers whose capacity changes while they run, or with a restart.
#include "yuccaplank/testing/simulated_days.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using testing::section;
using testing::test_case;

namespace {

// Guards against starts beyond the capacity of a server that has shrunk, or has restarted with another
// capacity. When an owner took the former incarnation's capacity for the new one's, 57 of 300 days without
// other faults had such starts.
const test_case Capacity("changing capacity: no start brings a server over its capacity", [] {
  simulation::simulation_options Options;
  Options.Vms = 6;
  Options.Servers = 12;
  Options.CapacityChangesPerSecond = 2;
  if (auto When = section("when nothing else happens")) {
    Options.FaultsPerSecond = 0;
  }
  if (auto When = section("when VMs lag and fail, and servers carry out orders late")) {
    Options.EnableLags = true;
    Options.LateOrderShare = 0.1;
  }
  for (Options.Seed = 1; Options.Seed <= 20; ++Options.Seed) {
    auto Result = testing::simulateQuietly(Options);
    CPPUNIT_ASSERT_MESSAGE(Result.Violations.empty() ? "" : Result.Violations.front(),
                           Result.Violations.empty());
  }
});

// Guards against starts by a capacity that has shrunk, ordered by VMs that the store turns away while it
// serves others: they cannot read the entry that tells of it.
const test_case
    Refusals("changing capacity: no start brings a server over it while the store turns VMs away", [] {
      simulation::simulation_options Options;
      Options.Vms = 6;
      Options.Servers = 12;
      Options.CapacityChangesPerSecond = 2;
      Options.EnableStoreRefusals = true;
      // A smaller capacity binds 4.5 s later.
      Options.TrafficSeconds = 20;
      if (auto When = section("when nothing else happens")) {
        Options.FaultsPerSecond = 0;
      }
      if (auto When = section("when VMs lag and fail, and servers carry out orders late")) {
        Options.EnableLags = true;
        Options.LateOrderShare = 0.1;
      }
      for (Options.Seed = 1; Options.Seed <= 10; ++Options.Seed) {
        auto Result = testing::simulateQuietly(Options);
        CPPUNIT_ASSERT_MESSAGE(Result.Violations.empty() ? "" : Result.Violations.front(),
                               Result.Violations.empty());
      }
    });

} // namespace
