#include "yuccaplank/dispatch/bounds.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

// Guards against bounds that no longer fit together when one of them is changed: by the time a caller sends
// its job again, nothing of the first submission may run.
const test_case Bounds("bounds: times that make a resent job safe", [] {
  platform_bounds Platform;
  entry_vm_options Options;
  if (auto Given = section("given the defaults")) {
    CPPUNIT_ASSERT(keepsBounds(Platform, Options));
    auto Lease = Options.Ledger.Lease;
    CPPUNIT_ASSERT(applyBounds(Platform, Options));
    CPPUNIT_ASSERT(Options.Ledger.Lease == Lease);
  }
  if (auto Given = section("given callers that come back earlier")) {
    Platform.Resend = milliseconds(1000);
    CPPUNIT_ASSERT(!keepsBounds(Platform, Options));
    CPPUNIT_ASSERT(applyBounds(Platform, Options));
    CPPUNIT_ASSERT(Options.Coordinator.OrphanTimeout < Platform.Resend);
  }
  if (auto Given = section("given VMs that pass a job on before its former runs have ended")) {
    Options.Relay.OrphanTimeout = milliseconds(900);
    CPPUNIT_ASSERT(!keepsBounds(Platform, Options));
  }
  if (auto Given = section("given servers that grant short leases")) {
    Platform.MaxLease = milliseconds(400);
    CPPUNIT_ASSERT(applyBounds(Platform, Options));
    CPPUNIT_ASSERT(Options.Ledger.Lease == milliseconds(400));
  }
  if (auto Given = section("given callers that come back before anything could be noticed")) {
    Platform.Resend = milliseconds(300);
    CPPUNIT_ASSERT(!applyBounds(Platform, Options));
  }
});

} // namespace
