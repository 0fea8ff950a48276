#include "contact_clock.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr auto Limit = milliseconds(500);

// Guards against contact that is prolonged by an echo of something other than a recent heartbeat.
const test_case Echoes("contact clock: which echoes count", [] {
  runtime::manual_clock Clock;
  Clock.advance(milliseconds(10'000));
  contact_clock Own(Clock, 77);
  auto Told = Own.now();
  auto ToldAt = Clock.sinceBoot();
  if (auto When = section("a recent one does, from when the clock was told or a little before")) {
    Clock.advance(milliseconds(300));
    auto ShownAt = Own.shownAt(Told, Limit);
    CPPUNIT_ASSERT(ShownAt && *ShownAt <= ToldAt && *ShownAt >= ToldAt - milliseconds(2));
  }
  if (auto When = section("an old one does not")) {
    Clock.advance(milliseconds(500));
    CPPUNIT_ASSERT(!Own.shownAt(Told, Limit));
  }
  if (auto When = section("one from the future does not"))
    CPPUNIT_ASSERT(!Own.shownAt(Told + 5, Limit));
  if (auto When = section("no echo does not"))
    CPPUNIT_ASSERT(!Own.shownAt(0, Limit));
  if (auto When = section("one of an earlier process of the VM does not")) {
    contact_clock Earlier(Clock, 500'000);
    CPPUNIT_ASSERT(!Own.shownAt(Earlier.now(), Limit));
  }
});

// Guards against contact that ends when the clock wraps around.
const test_case Wrap("contact clock: the clock wraps around", [] {
  runtime::manual_clock Clock;
  contact_clock Own(Clock, ~0U - 100);
  auto Told = Own.now();
  for (int Step = 0; Step < 200; ++Step) {
    CPPUNIT_ASSERT(Own.now() != 0);
    Clock.advance(milliseconds(1));
  }
  CPPUNIT_ASSERT(Own.shownAt(Told, Limit));
});

} // namespace
