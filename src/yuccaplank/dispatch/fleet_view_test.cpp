#include "yuccaplank/dispatch/fleet_view.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <map>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

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

// A status that answers the view's latest heartbeat.
schema::vm_status answering(const fleet_view &View, schema::vm_status Status) {
  schema::vm_status Own;
  View.stamp(Status.vm(), Own);
  Status.set_clock_ms(5000);
  Status.set_echo_ms(Own.clock_ms());
  return Status;
}

std::vector<view_change> hear(fleet_view &View, const schema::vm_status &Status) {
  return View.heard(answering(View, Status));
}

// Guards against two VMs of one view with different roles, and against a restarted VM that takes a role back.
const test_case Roles("fleet view: roles", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 7));
  hear(*View, statusOf("b", "d1", 3));
  hear(*View, statusOf("c", "d2", 5));
  CPPUNIT_ASSERT_EQUAL(std::string("b"), View->placer());
  if (auto When =
          section("given a stronger VM, it places although it registered last, unless it was paused")) {
    auto Strong = statusOf("d", "d2", 9);
    Strong.set_strength(500);
    hear(*View, Strong);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), View->placer());
    Strong.set_pauses(1);
    hear(*View, Strong);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), View->placer());
  }
  if (auto When = section("given VMs that relay or are not registered, they have no role")) {
    View->lost("b");
    View->lost("c");
    auto Relaying = statusOf("d", "d2", 2);
    Relaying.set_role(schema::VM_RELAYS);
    hear(*View, Relaying);
    hear(*View, statusOf("e", "d2", 0));
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
    hear(*View, Draining);
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
    hear(*View, Unregistered);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->placer());
  }
});

// Guards against late detection, and against taking a broken connection for a death.
const test_case Contact("fleet view: contact", [] {
  runtime::manual_clock Clock;
  Clock.advance(milliseconds(10'000));
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  auto Changes = hear(*View, statusOf("b", "d1", 2));
  CPPUNIT_ASSERT(Changes.at(0).Kind == view_change::kind::Found);
  if (auto When = section("a silent VM is lost after 560 ms")) {
    Clock.advance(milliseconds(558));
    CPPUNIT_ASSERT(View->tick().empty());
    Clock.advance(milliseconds(2));
    CPPUNIT_ASSERT(View->tick().at(0).Kind == view_change::kind::Lost);
  }
  if (auto When = section("after a broken connection it has 250 ms")) {
    View->broken("b");
    if (auto Then = section("and is resumed when heard")) {
      CPPUNIT_ASSERT(hear(*View, statusOf("b", "d1", 2)).at(0).Kind == view_change::kind::Resumed);
    }
    if (auto Then = section("and is lost when not")) {
      Clock.advance(milliseconds(250));
      CPPUNIT_ASSERT(View->tick().at(0).Kind == view_change::kind::Lost);
    }
  }
});

// Guards against a VM that lags and acts for others which have given it up: contact counts from the sending
// of the heartbeat that was answered, however late the answer is read.
const test_case Lease("fleet view: contact is a lease on the own clock", [] {
  runtime::manual_clock Clock;
  Clock.advance(milliseconds(10'000));
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  auto Early = answering(*View, statusOf("b", "d1", 2));
  if (auto When = section("a status that answers nothing begins no contact")) {
    CPPUNIT_ASSERT(View->heard(statusOf("b", "d1", 2)).empty());
    CPPUNIT_ASSERT(!View->inContact("b"));
    if (auto Then = section("its clock is echoed as a greeting")) {
      auto Greeting = statusOf("b", "d1", 2);
      Greeting.set_clock_ms(5000);
      View->heard(Greeting);
      schema::vm_status Own;
      View->stamp("b", Own);
      CPPUNIT_ASSERT_EQUAL(5000U, Own.greeting_echo_ms());
      CPPUNIT_ASSERT_EQUAL(0U, Own.echo_ms());
    }
  }
  if (auto When = section("an answer that is read late leaves less time")) {
    Clock.advance(milliseconds(400));
    CPPUNIT_ASSERT(View->heard(Early).at(0).Kind == view_change::kind::Found);
    Clock.advance(milliseconds(158));
    CPPUNIT_ASSERT(View->tick().empty());
    Clock.advance(milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->tick().size());
  }
  if (auto When = section("an answer that is read too late begins no contact and is counted")) {
    Clock.advance(milliseconds(560));
    CPPUNIT_ASSERT(View->heard(Early).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, View->ignoredEchoes());
  }
  if (auto When = section("the same answer twice prolongs nothing")) {
    View->heard(Early);
    Clock.advance(milliseconds(500));
    View->heard(Early);
    Clock.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->tick().size());
  }
  if (auto When = section("a VM that no longer counts on this one does not prolong contact")) {
    View->heard(Early);
    Clock.advance(milliseconds(500));
    auto Greeting = answering(*View, statusOf("b", "d1", 2));
    Greeting.set_greeting_echo_ms(Greeting.echo_ms());
    Greeting.clear_echo_ms();
    CPPUNIT_ASSERT(View->heard(Greeting).empty());
    Clock.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->tick().size());
  }
  if (auto When = section("after a loss, what was heard before is not echoed")) {
    View->heard(Early);
    View->lost("b");
    schema::vm_status Own;
    View->stamp("b", Own);
    CPPUNIT_ASSERT_EQUAL(0U, Own.echo_ms() + Own.greeting_echo_ms());
  }
});

// Guards against a VM that has just started, or was paused, and believes itself alone.
const test_case Introduction("fleet view: introduction", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  View->learn("b", "b:1");
  View->learn("c", "c:1");
  hear(*View, statusOf("b", "d1", 2));
  CPPUNIT_ASSERT(!View->discoveryComplete());
  if (auto When = section("it ends when each known VM was heard or is out of reach")) {
    View->unreachable("c:1");
    CPPUNIT_ASSERT(View->discoveryComplete());
    if (auto Then = section("and begins again after a pause")) {
      View->restartDiscovery();
      CPPUNIT_ASSERT(!View->discoveryComplete());
    }
  }
  if (auto When = section("it ends after 700 ms in any case")) {
    Clock.advance(milliseconds(700));
    CPPUNIT_ASSERT(View->discoveryComplete());
  }
});

} // namespace
