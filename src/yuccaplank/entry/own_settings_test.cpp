#include "own_settings.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::entry;
using testing::section;
using testing::test_case;

namespace {

// Guards against limits that a legal caller reaches, or that the smallest machine does not hold.
const test_case Limits("own settings: limits on callers", [] {
  platform::settings Machine;
  Machine.MemoryMb = 120;
  Machine.FileDescriptors = 3075;
  schema::daemon_settings Settings;
  auto Connections = [&](http_port Port) {
    return httpServerOptions(Settings, Machine, Port).MaxConnections;
  };
  dispatch::entry_vm_options Dispatching;
  auto Apply = [&] { applyOwnSettings(Settings, Machine, Dispatching); };
  if (auto When = section("by default, they follow from the machine")) {
    Apply();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15'000'000}, Dispatching.Relay.MaxRelayedBytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15'000'000}, Dispatching.Placement.MaxWaitingBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30'000'000}, receiveLimits(Settings, Machine).MaxBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1437}, Connections(http_port::Callers));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, Connections(http_port::Operators));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30'000}, frontendOptions(Settings, Machine).MaxTasksInProgress);
    CPPUNIT_ASSERT_EQUAL(std::size_t{262'144},
                         httpServerOptions(Settings, Machine, http_port::Callers).MaxBodyBytes);
  }
  if (auto When = section("settings replace them")) {
    Settings.mutable_limits()->set_unfinished_mb(5);
    Settings.mutable_limits()->set_connections(7);
    Settings.mutable_limits()->set_tasks_in_progress(9);
    Settings.mutable_limits()->set_relayed_mb(3);
    Settings.mutable_limits()->set_waiting_mb(2);
    Apply();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3'000'000}, Dispatching.Relay.MaxRelayedBytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2'000'000}, Dispatching.Placement.MaxWaitingBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5'000'000}, receiveLimits(Settings, Machine).MaxBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Connections(http_port::Callers));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, frontendOptions(Settings, Machine).MaxTasksInProgress);
  }
  if (auto When = section("a machine without limits gets fixed ones")) {
    Machine = {};
    CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, Connections(http_port::Callers));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64} << 20U, receiveLimits(Settings, Machine).MaxBytes);
    Apply();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16} << 20U, Dispatching.Relay.MaxRelayedBytes);
  }
});

} // namespace
