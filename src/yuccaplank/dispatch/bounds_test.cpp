#include "yuccaplank/dispatch/bounds.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

// Guards against times that no longer fit together after one of them was changed. By the time a caller
// resends its job, no run of the first submission may exist.
const test_case Bounds("bounds: no run of a job outlasts its resend delay", [] {
  platform_bounds Platform;
  entry_vm_options Options;
  if (auto Given = section("given the defaults, they keep the bounds and the lease stays unchanged")) {
    CPPUNIT_ASSERT(satisfiesBounds(Platform, Options));
    auto Lease = Options.Ledger.LeaseDuration;
    CPPUNIT_ASSERT(applyBounds(Platform, Options));
    CPPUNIT_ASSERT(Options.Ledger.LeaseDuration == Lease);
  }
  if (auto Given = section("given callers that resend earlier, the times are shortened")) {
    Platform.ResendDelay = milliseconds(1000);
    CPPUNIT_ASSERT(!satisfiesBounds(Platform, Options));
    CPPUNIT_ASSERT(applyBounds(Platform, Options));
    CPPUNIT_ASSERT(Options.Coordinator.OrphanTimeout < Platform.ResendDelay);
  }
  if (auto Given = section(
          "given VMs that relay a job again before its former runs have ended, the bounds are violated")) {
    Options.Relay.OrphanTimeout = milliseconds(900);
    CPPUNIT_ASSERT(!satisfiesBounds(Platform, Options));
  }
  if (auto Given =
          section("given leases that outlast the resend delay if a stop stays unanswered, the bounds "
                  "are violated")) {
    Platform.MaxLease = milliseconds(2000);
    Options.Ledger.LeaseDuration = milliseconds(1250);
    CPPUNIT_ASSERT(!satisfiesBounds(Platform, Options));
  }
  if (auto Given = section("given servers that grant short leases, the lease is shortened")) {
    Platform.MaxLease = milliseconds(400);
    CPPUNIT_ASSERT(applyBounds(Platform, Options));
    CPPUNIT_ASSERT(Options.Ledger.LeaseDuration == milliseconds(400));
  }
  if (auto Given =
          section("given callers that resend before a loss could be detected, no useful times remain")) {
    Platform.ResendDelay = milliseconds(300);
    CPPUNIT_ASSERT(!applyBounds(Platform, Options));
  }
});

} // namespace
