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

// Returns Status as an answer to the view's latest heartbeat.
schema::vm_status makeAnswer(const fleet_view &View, schema::vm_status Status) {
  schema::vm_status OwnStatus;
  View.setClocks(Status.vm(), OwnStatus);
  Status.set_clock_ms(5000);
  Status.set_echo_ms(OwnStatus.clock_ms());
  return Status;
}

std::vector<view_change> receiveAnswer(fleet_view &View, const schema::vm_status &Status) {
  return View.onStatus(makeAnswer(View, Status));
}

// Guards against VMs with the same view that choose different VMs for a role, and against a VM that takes a
// role back right after its restart.
const test_case Roles("fleet view: choice of placer, owners and dispatchers", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 7));
  receiveAnswer(*View, statusOf("b", "d1", 3));
  receiveAnswer(*View, statusOf("c", "d2", 5));
  CPPUNIT_ASSERT_EQUAL(std::string("b"), View->placer());
  if (auto When =
          section("given a stronger VM that registered last, it is the placer unless it was paused")) {
    auto Strong = statusOf("d", "d2", 9);
    Strong.set_strength(500);
    receiveAnswer(*View, Strong);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), View->placer());
    Strong.set_pauses(1);
    receiveAnswer(*View, Strong);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), View->placer());
  }
  if (auto When = section("given VMs that relay or are not registered, none of them is chosen")) {
    View->endContact("b");
    View->endContact("c");
    auto Relaying = statusOf("d", "d2", 2);
    Relaying.set_role(schema::VM_RELAYS);
    receiveAnswer(*View, Relaying);
    receiveAnswer(*View, statusOf("e", "d2", 0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->placer());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->ownerOf("r1", "d2"));
    CPPUNIT_ASSERT_EQUAL(std::string(), View->dispatcherFor(job_id(7), "d1"));
  }
  if (auto When = section(
          "given a job to relay, a VM of the same domain is chosen, or another one if there is none")) {
    CPPUNIT_ASSERT_EQUAL(std::string("b"), View->dispatcherFor(job_id(7), "d1"));
    View->endContact("b");
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->dispatcherFor(job_id(7), "d1"));
  }
  if (auto When = section("given a domain with VMs, all of them share its racks and no other VM owns any")) {
    std::map<std::string, int> Racks;
    for (int Rack = 0; Rack < 40; ++Rack)
      ++Racks[View->ownerOf(fmt::format("r{}", Rack), "d1")];
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Racks.size());
    CPPUNIT_ASSERT(Racks["a"] > 8 && Racks["b"] > 8);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->ownerOf("r1", "d2"));
  }
  if (auto When = section("given a domain whose only VM is lost, a VM of another domain owns its racks")) {
    View->endContact("c");
    CPPUNIT_ASSERT(!View->ownerOf("r1", "d2").empty());
  }
  if (auto When = section("given a draining placer, the VM that registered next is the placer")) {
    auto Draining = statusOf("b", "d1", 3);
    Draining.set_draining(true);
    receiveAnswer(*View, Draining);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->placer());
  }
  if (auto When =
          section("given only draining VMs, as in a failure domain that is cut off, they keep their roles")) {
    auto Draining = statusOf("a", "d1", 7);
    Draining.set_draining(true);
    View->setSelf(Draining);
    View->endContact("b");
    View->endContact("c");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->placer());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), View->ownerOf("r1", "d1"));
  }
  if (auto When = section("given a VM that is not registered, another one is the placer")) {
    auto Unregistered = statusOf("b", "d1", 0);
    receiveAnswer(*View, Unregistered);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), View->placer());
  }
});

// Guards against late detection of a dead VM, and against treating a broken connection as a dead VM.
const test_case Contact("fleet view: end of contact", [] {
  runtime::manual_clock Clock;
  Clock.advance(milliseconds(10'000));
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  auto Changes = receiveAnswer(*View, statusOf("b", "d1", 2));
  CPPUNIT_ASSERT(Changes.at(0).Kind == view_change::kind::Found);
  if (auto When = section("an unresponsive VM is lost after 560 ms")) {
    Clock.advance(milliseconds(558));
    CPPUNIT_ASSERT(View->tick().empty());
    Clock.advance(milliseconds(2));
    CPPUNIT_ASSERT(View->tick().at(0).Kind == view_change::kind::Lost);
  }
  if (auto When = section("after its connection broke, it has 250 ms to reconnect")) {
    View->onConnectionBroken("b");
    if (auto Then = section("it is resumed when its status arrives in time")) {
      CPPUNIT_ASSERT(receiveAnswer(*View, statusOf("b", "d1", 2)).at(0).Kind == view_change::kind::Resumed);
    }
    if (auto Then = section("it is lost when no status arrives")) {
      Clock.advance(milliseconds(250));
      CPPUNIT_ASSERT(View->tick().at(0).Kind == view_change::kind::Lost);
    }
  }
});

// Guards against a VM that lags and acts for others that have already given it up. Contact counts from the
// sending of the answered heartbeat, however late the answer is read.
const test_case Lease("fleet view: contact is a lease on the local clock", [] {
  runtime::manual_clock Clock;
  Clock.advance(milliseconds(10'000));
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  auto Early = makeAnswer(*View, statusOf("b", "d1", 2));
  if (auto When = section("a status that answers nothing begins no contact")) {
    CPPUNIT_ASSERT(View->onStatus(statusOf("b", "d1", 2)).empty());
    CPPUNIT_ASSERT(!View->inContact("b"));
    if (auto Then = section("the clock of that VM is echoed as a greeting")) {
      auto Greeting = statusOf("b", "d1", 2);
      Greeting.set_clock_ms(5000);
      View->onStatus(Greeting);
      schema::vm_status OwnStatus;
      View->setClocks("b", OwnStatus);
      CPPUNIT_ASSERT_EQUAL(5000U, OwnStatus.greeting_echo_ms());
      CPPUNIT_ASSERT_EQUAL(0U, OwnStatus.echo_ms());
    }
  }
  if (auto When = section("an answer that is read late leaves a shorter lease")) {
    Clock.advance(milliseconds(400));
    CPPUNIT_ASSERT(View->onStatus(Early).at(0).Kind == view_change::kind::Found);
    Clock.advance(milliseconds(158));
    CPPUNIT_ASSERT(View->tick().empty());
    Clock.advance(milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->tick().size());
  }
  if (auto When = section("an answer that is read too late begins no contact and is counted")) {
    Clock.advance(milliseconds(560));
    CPPUNIT_ASSERT(View->onStatus(Early).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, View->ignoredEchoes());
  }
  if (auto When = section("reading the same answer twice does not extend contact")) {
    View->onStatus(Early);
    Clock.advance(milliseconds(500));
    View->onStatus(Early);
    Clock.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->tick().size());
  }
  if (auto When =
          section("a greeting from a VM that has lost contact with this one does not extend contact")) {
    View->onStatus(Early);
    Clock.advance(milliseconds(500));
    auto Greeting = makeAnswer(*View, statusOf("b", "d1", 2));
    Greeting.set_greeting_echo_ms(Greeting.echo_ms());
    Greeting.clear_echo_ms();
    CPPUNIT_ASSERT(View->onStatus(Greeting).empty());
    Clock.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->tick().size());
  }
  if (auto When = section("after a loss, earlier clock values of that VM are not echoed")) {
    View->onStatus(Early);
    View->endContact("b");
    schema::vm_status OwnStatus;
    View->setClocks("b", OwnStatus);
    CPPUNIT_ASSERT_EQUAL(0U, OwnStatus.echo_ms() + OwnStatus.greeting_echo_ms());
  }
});

// Guards against a VM that assumes it is alone because it has just started or was paused, and then claims all
// servers.
const test_case Discovery("fleet view: discovery", [] {
  runtime::manual_clock Clock;
  auto View = makeFleetView(Clock);
  View->setSelf(statusOf("a", "d1", 1));
  View->addAddress("b", "b:1");
  View->addAddress("c", "c:1");
  receiveAnswer(*View, statusOf("b", "d1", 2));
  CPPUNIT_ASSERT(!View->discoveryComplete());
  if (auto When = section("it is complete when each known VM is in contact or was found unreachable")) {
    View->onAddressUnreachable("c:1");
    CPPUNIT_ASSERT(View->discoveryComplete());
    if (auto Then = section("it is incomplete again after a restart of discovery")) {
      View->restartDiscovery();
      CPPUNIT_ASSERT(!View->discoveryComplete());
    }
  }
  if (auto When = section("it is complete after 700 ms in any case")) {
    Clock.advance(milliseconds(700));
    CPPUNIT_ASSERT(View->discoveryComplete());
  }
});

} // namespace
