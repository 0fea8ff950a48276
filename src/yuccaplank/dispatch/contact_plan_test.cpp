#include "yuccaplank/dispatch/contact_plan.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using testing::section;
using testing::test_case;

namespace {

registered_vms fleet(std::uint32_t Vms, std::uint32_t Domains) {
  registered_vms Result;
  for (std::uint32_t Index = 0; Index < Vms; ++Index)
    Result[fmt::format("vm{:03}", Index)] = {fmt::format("a{}", Index), fmt::format("d{}", Index % Domains),
                                             Index / Domains == 4 ? 500U : 90U};
  return Result;
}

// Guards against a load per VM that grows with the fleet, and against failure domains without a dispatching
// VM. Both follow from a wrong choice of dispatchers.
const test_case Choice("contact plan: choice of the dispatching VMs", [] {
  if (auto Given = section("given a small fleet, all VMs dispatch")) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, chooseDispatchers(fleet(6, 2)).size());
  }
  if (auto Given = section("given domains of up to 36 VMs, the three strongest of each dispatch")) {
    auto Chosen = chooseDispatchers(fleet(216, 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{18}, Chosen.size());
    for (std::uint32_t Strong = 24; Strong < 30; ++Strong)
      CPPUNIT_ASSERT(Chosen.contains(fmt::format("vm{:03}", Strong)));
  }
  if (auto Given = section("given larger domains, one VM of twelve dispatches, so that none has more to do"))
    CPPUNIT_ASSERT_EQUAL(std::size_t{4 * 7}, chooseDispatchers(fleet(300, 4)).size());
  if (auto Given =
          section("given an entry without a strength, as other versions write it, its VM ranks last")) {
    auto Vms = fleet(4, 1);
    Vms["vm000"].Strength = 0;
    CPPUNIT_ASSERT(!chooseDispatchers(Vms).contains("vm000"));
  }
});

// Guards against callers of a failure domain that are not served because contact with all of its dispatchers
// is lost, and against contact with the whole fleet in normal operation.
const test_case Contacts("contact plan: contacts of a relaying VM", [] {
  auto Vms = fleet(60, 6);
  auto Dispatchers = chooseDispatchers(Vms);
  if (auto Given = section(
          "given a dispatcher of its domain in contact, it contacts only the dispatchers of its domain")) {
    auto Contacts = contactsOfRelay(Vms, Dispatchers, {"vm055", "d1"},
                                    [](const std::string &Vm) { return Vm == "vm025"; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Contacts.size());
    for (const std::string &Vm : Contacts)
      CPPUNIT_ASSERT_EQUAL(std::string("d1"), Vms.at(Vm).Domain);
  }
  if (auto Given =
          section("given no dispatcher of its domain in contact, it contacts more with each attempt, "
                  "in the end all")) {
    std::size_t Former = 0;
    for (std::size_t Attempt = 1; Attempt <= 3; ++Attempt) {
      auto Contacts = contactsOfRelay(Vms, Dispatchers, {"vm055", "d1", 3, 6 * Attempt},
                                      [](const std::string &) { return false; });
      CPPUNIT_ASSERT(Contacts.size() > Former);
      Former = Contacts.size();
    }
    CPPUNIT_ASSERT_EQUAL(Dispatchers.size(), Former);
  }
  if (auto Given =
          section("given a lost fleet of 600, a dispatcher is greeted by some relaying VMs, not by all")) {
    auto Large = fleet(600, 6);
    auto Chosen = chooseDispatchers(Large);
    std::map<std::string, int> Greetings;
    for (const auto &[Vm, Registered] : Large)
      for (const std::string &Contact :
           contactsOfRelay(Large, Chosen, {Vm, Registered.Domain}, [](const std::string &) { return false; }))
        ++Greetings[Contact];
    for (const auto &[Vm, Count] : Greetings)
      CPPUNIT_ASSERT(Count <= 150);
  }
  if (auto Given =
          section("given more dispatchers in its domain, it contacts three, spread over the relaying VMs")) {
    auto Large = fleet(600, 6);
    auto Chosen = chooseDispatchers(Large);
    std::map<std::string, int> Relays;
    for (const auto &[Vm, Registered] : Large) {
      auto Contacts =
          contactsOfRelay(Large, Chosen, {Vm, Registered.Domain}, [](const std::string &) { return true; });
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Contacts.size());
      for (const std::string &Contact : Contacts)
        ++Relays[Contact];
    }
    // 100 VMs with three contacts each, over nine dispatchers: 33 on average.
    CPPUNIT_ASSERT_EQUAL(std::size_t{54}, Relays.size());
    for (const auto &[Vm, Count] : Relays)
      CPPUNIT_ASSERT(Count >= 15 && Count <= 55);
  }
  if (auto Given = section("given a dispatcher without an entry, it is skipped")) {
    Dispatchers.insert("vm999");
    auto Contacts =
        contactsOfRelay(Vms, Dispatchers, {"vm055", "d1"}, [](const std::string &) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Contacts.size());
  }
});

// Guards against roles that move twice when a VM restarts, and against a fleet whose VMs all dispatch because
// each one starts before it sees the entries of the others.
const test_case Decision("contact plan: when a VM starts and stops dispatching", [] {
  dispatching_options Options;
  dispatching_decision Role(Options);
  runtime::time_point Start{};
  CPPUNIT_ASSERT(!Role.update(Start, true));
  if (auto Given = section("given a VM that was registered before, it dispatches at once")) {
    Role.onRegistered(Start, true);
    CPPUNIT_ASSERT(Role.update(Start, true));
    if (auto When = section("it stops only after it has not been chosen for the whole delay")) {
      CPPUNIT_ASSERT(Role.update(Start + Options.SettleDelay, false));
      CPPUNIT_ASSERT(Role.update(Start + 2 * Options.SettleDelay, true));
      auto Lost = Start + 3 * Options.SettleDelay;
      CPPUNIT_ASSERT(Role.update(Lost, false));
      CPPUNIT_ASSERT(!Role.update(Lost + Options.RoleChangeDelay, false));
    }
  }
  if (auto Given = section("given a VM's first registration, it waits for the entries of the other VMs")) {
    Role.onRegistered(Start, false);
    CPPUNIT_ASSERT(!Role.update(Start, true));
    CPPUNIT_ASSERT(!Role.update(Start + Options.SettleDelay, false));
    if (auto When = section("when it is chosen later, it dispatches after the delay")) {
      auto Chosen = Start + 2 * Options.SettleDelay;
      CPPUNIT_ASSERT(!Role.update(Chosen, true));
      CPPUNIT_ASSERT(Role.update(Chosen + Options.RoleChangeDelay, true));
    }
  }
});

} // namespace
