#include "server_selection.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <utility>
#include <vector>

using namespace std::chrono_literals;
using namespace yuccaplank;
using yuccaplank::testing::section;
using yuccaplank::testing::story;

namespace {

// Keeps the checks of servers until the test answers them.
class recorded_ports final : public node::ports {
public:
  void sendToPeer(const std::string & /*Vm*/, const std::string & /*Address*/,
                  schema::envelope /*Message*/) override {}
  void disconnectPeer(const std::string & /*Vm*/) override {}
  void startTask(node::task_order /*Order*/, std::function<void(node::task_report)> /*OnDone*/) override {}
  void stopTask(const std::string & /*TaskId*/, const std::string & /*Address*/) override {}
  void checkServer(const std::string & /*Address*/, std::function<void(bool)> OnDone) override {
    Checks.push_back(std::move(OnDone));
  }
  // Answers the pending checks in order; fails the test when their number differs.
  void answerAll(const std::vector<bool> &Replies) {
    CPPUNIT_ASSERT_EQUAL(Replies.size(), Checks.size());
    auto Answered = std::exchange(Checks, {});
    for (std::size_t Index = 0; Index < Replies.size(); ++Index)
      Answered[Index](Replies[Index]);
  }

  std::vector<std::function<void(bool)>> Checks;
};

schema::incarnation makeIncarnation(const std::string &Vm) {
  schema::incarnation Value;
  Value.set_vm(Vm);
  Value.set_started_ms(1000);
  return Value;
}

// A dispatcher in d1 that shares its role with d2 but not with d3; four servers in each domain.
struct selection_site {
  selection_site() {
    schema::vm_list List;
    for (const char *Domain : {"d1", "d2", "d3"})
      for (int Index = 0; Index < 4; ++Index) {
        List.add_backends()->set_domain(Domain);
        List.mutable_backends()->rbegin()->set_address(fmt::format("{}-{}", Domain, Index));
      }
    Selection.setList(List);
    Changes = 0;
  }
  void assertServes(std::size_t Domains) const {
    CPPUNIT_ASSERT_EQUAL(4 * Domains, Selection.selected().size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(Domains) / 3, Selection.share(), 1e-9);
  }
  static model::membership_options membershipOptions() {
    model::membership_options Options;
    Options.Self = makeIncarnation("vm1");
    Options.Domain = "d1";
    return Options;
  }

  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::unique_ptr<model::membership> Membership =
      model::makeMembership(Executor->clock(), membershipOptions());
  recorded_ports Ports;
  int Changes = 0;
  node::server_selection Selection{*Executor, Ports, *Membership, "d1", {"d1", "d2"}, [this] { ++Changes; }};
};

// Guards against work for servers behind a partition, and against a domain that is given up because its entry
// VMs or a single server failed.
const story Selection("server selection: domains that are cut off", [] {
  selection_site Site;
  Site.assertServes(2);
  if (auto Given = section("given a change in the own domain or in one that is not shared")) {
    Site.Selection.vmChanged("d1");
    Site.Selection.vmChanged("d3");
    Site.Ports.answerAll({});
    Site.assertServes(2);
  }
  if (auto Given = section("given a shared domain whose entry VMs cannot be reached")) {
    Site.Selection.vmChanged("d2");
    // A second change does not check the servers again.
    Site.Selection.vmChanged("d2");
    if (auto When = section("when one of its servers can be reached")) {
      Site.Ports.answerAll({false, true, false});
      Site.assertServes(2);
      CPPUNIT_ASSERT_EQUAL(0, Site.Changes);
    }
    if (auto When = section("when none of the checked servers can be reached")) {
      Site.assertServes(2);
      Site.Ports.answerAll({false, false, false});
      Site.assertServes(1);
      CPPUNIT_ASSERT_EQUAL(1, Site.Changes);
      if (auto Then = section("then it is checked again and taken back")) {
        Site.Executor->advance(2s);
        Site.Ports.answerAll({true, false, false});
        Site.assertServes(2);
        CPPUNIT_ASSERT_EQUAL(2, Site.Changes);
      }
      if (auto Then = section("then an entry VM that can be reached brings it back at once")) {
        Site.Membership->messageFrom(makeIncarnation("vm2"), "d2");
        Site.Selection.vmChanged("d2");
        Site.assertServes(2);
        Site.Executor->advance(10s);
        Site.Ports.answerAll({});
      }
    }
    if (auto When = section("when an entry VM is back before the replies")) {
      Site.Membership->messageFrom(makeIncarnation("vm2"), "d2");
      Site.Ports.answerAll({false, false, false});
      Site.assertServes(2);
    }
  }
});

} // namespace
