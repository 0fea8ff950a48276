#include "yuccaplank/storage/fake_table.hpp"

#include "yuccaplank/testing/story.hpp"

#include <fmt/format.h>

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

// Guards against a fake that calls back twice or never, or whose faults differ from the protocol's.
const story Faults("fake platform: faults", [] {
  auto Executor = runtime::makeManualExecutor();
  auto Platform = storage::makeFakePlatform(*Executor);
  bool Blocked = false;
  auto Client = Platform->makeClient([&] { return Blocked; });
  std::string Log;
  auto Commit = [&] {
    Client->commit({{}, {{"a", "1"}}}, [&](const runtime::result<storage::transaction_reply> &Reply) {
      Log += fmt::format("{}@{} ", Reply ? "done" : Reply.error().message(),
                         runtime::toMs(Executor->clock().now().time_since_epoch()));
    });
    Executor->advance(10s);
  };
  auto Written = [&] { return Platform->state().read("a").Revision != 0; };
  if (auto When = section("when there is no fault")) {
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("done@2 "), Log);
    CPPUNIT_ASSERT(Written());
  }
  if (auto When = section("when the platform is down")) {
    Platform->faults().Mode = storage::fake_mode::Down;
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable@2 "), Log);
    CPPUNIT_ASSERT(!Written());
  }
  if (auto When = section("when the platform hangs")) {
    Platform->faults().Mode = storage::fake_mode::Hang;
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable@1500 "), Log);
    CPPUNIT_ASSERT(!Written());
  }
  if (auto When = section("when the reply comes after the time-out")) {
    Platform->faults().ExtraDelay = 1s;
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable@1500 "), Log);
    CPPUNIT_ASSERT(Written());
  }
  if (auto When = section("when the client is separated")) {
    Blocked = true;
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable@1500 "), Log);
    CPPUNIT_ASSERT(!Written());
  }
  if (auto When = section("when the client is separated before the reply")) {
    Executor->after(1500us, [&] { Blocked = true; });
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable@1500 "), Log);
    CPPUNIT_ASSERT(Written());
  }
  if (auto When = section("when transactions are refused")) {
    Platform->faults().RefuseTransactions = true;
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable@2 "), Log);
    CPPUNIT_ASSERT(!Written());
  }
  if (auto When = section("when the VM list changes")) {
    schema::vm_list List;
    List.add_entry_vms()->set_id("vm1");
    Platform->vmList().publish(List, Executor->clock().now());
    int Seen = -1;
    auto Read = [&] {
      Client->vms(
          [&](const runtime::result<schema::vm_list> &Result) { Seen = Result.value().entry_vms_size(); });
      Executor->advance(10ms);
    };
    Read();
    CPPUNIT_ASSERT_EQUAL(0, Seen);
    Executor->advance(2s);
    Read();
    CPPUNIT_ASSERT_EQUAL(1, Seen);
  }
});

} // namespace
