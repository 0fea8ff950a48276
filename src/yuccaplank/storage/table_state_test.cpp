#include "yuccaplank/storage/table_state.hpp"

#include "yuccaplank/testing/story.hpp"

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

// Guards against a stand-in that is kinder than the protocol, which would hide faults of its clients.
const story Transactions("table state: transactions", [] {
  storage::table_state State;
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, State.commit({{{"a", 0}}, {{"a", "1"}, {"b", "1"}}}).Revision);
  if (auto When = section("when one of several checks fails")) {
    auto Reply = State.commit({{{"a", 1}, {"b", 0}, {"c", 0}}, {{"a", "2"}, {"c", "2"}}});
    CPPUNIT_ASSERT(!Reply.Committed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Reply.Conflicts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Reply.Conflicts[0].Key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Reply.Conflicts[0].Revision);
    // Nothing was written.
    CPPUNIT_ASSERT_EQUAL(std::string("1"), State.read("a").Value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, State.read("c").Revision);
  }
  if (auto When = section("when a prefix is read")) {
    State.commit({{}, {{"aa", "x"}, {"ab", "y"}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, State.rows("a").size());
    auto Changes = State.changes("a", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Changes.Rows.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Changes.Revision);
  }
  if (auto When = section("when an old copy is restored")) {
    std::string Copy = writeBackup(State);
    State.commit({{}, {{"a", "2"}}});
    auto Restored = storage::readBackup(Copy);
    CPPUNIT_ASSERT(Restored.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Restored.value().read("a").Value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Restored.value().changes("", 0).Revision);
    CPPUNIT_ASSERT(!storage::readBackup("{}").has_value());
  }
});

// Guards against VM lists that skip the lag or vanish while a newer one is on its way.
const story Lag("lagging VM list", [] {
  runtime::manual_clock Clock;
  storage::lagging_vm_list Lists(2s);
  auto Publish = [&](const std::string &Vm) {
    schema::vm_list List;
    List.add_entry_vms()->set_id(Vm);
    Lists.publish(List, Clock.now());
  };
  auto Visible = [&] {
    auto List = Lists.visible(Clock.now());
    return List.entry_vms_size() == 0 ? std::string() : List.entry_vms(0).id();
  };
  Publish("a");
  CPPUNIT_ASSERT_EQUAL(std::string(), Visible());
  Clock.advance(2s);
  CPPUNIT_ASSERT_EQUAL(std::string("a"), Visible());
  Publish("b");
  Clock.advance(1s);
  Publish("c");
  CPPUNIT_ASSERT_EQUAL(std::string("a"), Visible());
  Clock.advance(1s);
  CPPUNIT_ASSERT_EQUAL(std::string("b"), Visible());
  Clock.advance(1s);
  CPPUNIT_ASSERT_EQUAL(std::string("c"), Visible());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Lists.visible(Clock.now()).version());
});

} // namespace
