#include "roll_call.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::section;
using testing::test_case;

namespace {

registered_vms vmsWithVersions(std::initializer_list<std::pair<const char *, std::uint64_t>> Versions) {
  registered_vms Vms;
  for (const auto &[Name, Version] : Versions)
    Vms[Name] = {std::string(Name) + ":1", "d1", 500, Version};
  return Vms;
}

// Guards against VMs that nobody can know alive and that keep the places of the VMs that dispatch, and
// against roll calls of the whole fleet that one VM's trouble causes over and over.
const test_case RollCall("roll call: the VMs that are alive settle who has a place", [] {
  runtime::manual_clock Clock;
  roll_call Roll("vm1", {});
  auto IsDueWithin = [&](runtime::duration Time) {
    for (runtime::duration Passed{}; Passed < Time; Passed += milliseconds(100)) {
      if (Roll.isDue(true, Clock.now()))
        return true;
      Clock.advance(milliseconds(100));
    }
    return false;
  };
  registered_vms Vms = vmsWithVersions({{"dead", 3}, {"alive", 12}});
  if (auto When = section("when no dispatching VM is in contact for some seconds, this VM calls the roll")) {
    CPPUNIT_ASSERT(!IsDueWithin(milliseconds(2900)));
    CPPUNIT_ASSERT(IsDueWithin(milliseconds(1200)));
  }
  if (auto When = section("when one comes into contact meanwhile, the time begins anew")) {
    CPPUNIT_ASSERT(!IsDueWithin(milliseconds(2900)));
    CPPUNIT_ASSERT(!Roll.isDue(false, Clock.now()));
    CPPUNIT_ASSERT(!IsDueWithin(milliseconds(2900)));
  }
  if (auto Given =
          section("given a roll call of an earlier loss in the store, it does not delay the next one")) {
    Roll.setVersion(10, Clock.now());
    CPPUNIT_ASSERT(IsDueWithin(milliseconds(4200)));
  }
  if (auto When = section("when the roll has been called, whoever has not registered again has no place")) {
    Roll.setVersion(0, Clock.now());
    Roll.setVersion(10, Clock.now());
    if (auto Then = section("but not before the time to answer is over")) {
      Clock.advance(milliseconds(1900));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Roll.present(Vms, Clock.now()).size());
      CPPUNIT_ASSERT(!Roll.hasEnded(Clock.now()));
    }
    Clock.advance(seconds(2));
    CPPUNIT_ASSERT(Roll.hasEnded(Clock.now()));
    CPPUNIT_ASSERT(!Roll.hasEnded(Clock.now()));
    CPPUNIT_ASSERT(!Roll.present(Vms, Clock.now()).contains("dead"));
    CPPUNIT_ASSERT(Roll.present(Vms, Clock.now()).contains("alive"));
    if (auto Then = section("a VM that was cut off has its place again when it registers"))
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Roll.present(vmsWithVersions({{"dead", 20}}), Clock.now()).size());
    if (auto Then = section("the roll is not called again soon, although nobody is in contact")) {
      CPPUNIT_ASSERT(!IsDueWithin(seconds(27)));
      CPPUNIT_ASSERT(IsDueWithin(seconds(5)));
    }
    if (auto Then =
            section("and the others are reported after some time, so that their entries are removed")) {
      CPPUNIT_ASSERT(Roll.missingSince(Vms, Clock.now() - seconds(15)).empty());
      Clock.advance(seconds(14));
      CPPUNIT_ASSERT((std::vector<std::string>{"dead"} == Roll.missingSince(Vms, Clock.now() - seconds(15))));
    }
  }
  if (auto Given = section("without a roll call, all have places")) {
    Clock.advance(seconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Roll.present(Vms, Clock.now()).size());
    CPPUNIT_ASSERT(Roll.missingSince(Vms, Clock.now()).empty());
  }
});

} // namespace
