#include "yuccaplank/dispatch/fleet_view.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <map>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::story;

namespace {

schema::vm_status statusOf(const std::string &Vm, const std::string &Domain, std::uint64_t Registration) {
  schema::vm_status Status;
  Status.set_vm(Vm);
  Status.set_address(Vm + ":1");
  Status.set_domain(Domain);
  Status.set_registration(Registration);
  Status.set_strength(250);
  Status.set_serving(true);
  return Status;
}

// Guards against two VMs of one view with different roles, and against a restarted VM that takes a role back.
const story Roles("fleet view: roles", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 7));
  View->heard(statusOf("b", "d1", 3));
  View->heard(statusOf("c", "d2", 5));
  CPPUNIT_ASSERT_EQUAL(std::string("b"), View->placer());
  if (auto When =
          section("given a stronger VM, it places although it registered last, unless it was paused")) {
    auto Strong = statusOf("d", "d2", 9);
    Strong.set_strength(500);
    View->heard(Strong);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), View->placer());
    Strong.set_pauses(1);
    View->heard(Strong);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), View->placer());
  }
  if (auto When = section("given VMs that relay or are not registered, they have no role")) {
    View->lost("b");
    View->lost("c");
    auto Relaying = statusOf("d", "d2", 2);
    Relaying.set_role(schema::VM_RELAYS);
    View->heard(Relaying);
    View->heard(statusOf("e", "d2", 0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->placer());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->ownerOf("r1", "d2"));
    CPPUNIT_ASSERT_EQUAL(std::string(), View->dispatcherFor(7, "d1"));
  }
  if (auto When = section("given a job to relay, a VM of the own domain takes it, or another one")) {
    CPPUNIT_ASSERT_EQUAL(std::string("b"), View->dispatcherFor(7, "d1"));
    View->lost("b");
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->dispatcherFor(7, "d1"));
  }
  if (auto When = section("given racks of a domain with VMs, one of these owns them, each some")) {
    std::map<std::string, int> Racks;
    for (int Rack = 0; Rack < 40; ++Rack)
      ++Racks[View->ownerOf(fmt::format("r{}", Rack), "d1")];
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Racks.size());
    CPPUNIT_ASSERT(Racks["a"] > 8 && Racks["b"] > 8);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->ownerOf("r1", "d2"));
  }
  if (auto When = section("given a domain whose VM is lost, another domain's VM owns its racks")) {
    View->lost("c");
    CPPUNIT_ASSERT(!View->ownerOf("r1", "d2").empty());
  }
  if (auto When = section("given a placer that drains, the next oldest places")) {
    auto Draining = statusOf("b", "d1", 3);
    Draining.set_draining(true);
    View->heard(Draining);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->placer());
  }
  if (auto When =
          section("given only draining VMs, as in a failure domain that is cut off, they keep the roles")) {
    auto Draining = statusOf("a", "d1", 7);
    Draining.set_draining(true);
    View->setSelf(Draining);
    View->lost("b");
    View->lost("c");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->placer());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->ownerOf("r1", "d1"));
  }
  if (auto When = section("given a VM that is not registered, it has no role")) {
    auto Unregistered = statusOf("b", "d1", 0);
    View->heard(Unregistered);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->placer());
  }
});

// Guards against late detection, and against taking a broken connection for a death.
const story Contact("fleet view: contact", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  auto Changes = View->heard(statusOf("b", "d1", 2));
  CPPUNIT_ASSERT(Changes.at(0).Kind == view_change::kind::Found);
  if (auto When = section("a silent VM is lost after 600 ms")) {
    Clock.advance(milliseconds(599));
    CPPUNIT_ASSERT(View->tick().empty());
    Clock.advance(milliseconds(1));
    CPPUNIT_ASSERT(View->tick().at(0).Kind == view_change::kind::Lost);
  }
  if (auto When = section("after a broken connection it has 250 ms")) {
    View->broken("b");
    if (auto Then = section("and is resumed when heard")) {
      CPPUNIT_ASSERT(View->heard(statusOf("b", "d1", 2)).at(0).Kind == view_change::kind::Resumed);
    }
    if (auto Then = section("and is lost when not")) {
      Clock.advance(milliseconds(250));
      CPPUNIT_ASSERT(View->tick().at(0).Kind == view_change::kind::Lost);
    }
  }
});

// Guards against a VM that has just started, or was paused, and believes itself alone.
const story Introduction("fleet view: introduction", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  View->learn("b", "b:1");
  View->learn("c", "c:1");
  View->heard(statusOf("b", "d1", 2));
  CPPUNIT_ASSERT(!View->introduced());
  if (auto When = section("it ends when each known VM was heard or is out of reach")) {
    View->unreachable("c:1");
    CPPUNIT_ASSERT(View->introduced());
    if (auto Then = section("and begins again after a pause")) {
      View->introduceAgain();
      CPPUNIT_ASSERT(!View->introduced());
    }
  }
  if (auto When = section("it ends after 700 ms in any case")) {
    Clock.advance(milliseconds(700));
    CPPUNIT_ASSERT(View->introduced());
  }
});

} // namespace
