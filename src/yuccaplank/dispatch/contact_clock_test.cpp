#include "contact_clock.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr auto MaxAge = milliseconds(500);

// Guards against contact that is extended by an echo of anything but a recent heartbeat of this process.
const test_case Echoes("contact clock: which echoes are accepted", [] {
  runtime::manual_clock Clock;
  Clock.advance(milliseconds(10'000));
  contact_clock LocalClock(Clock, 77);
  auto Sent = LocalClock.now();
  auto SentTime = Clock.sinceBoot();
  if (auto When = section("a recent echo is accepted and dated to at most 2 ms before the clock was sent")) {
    Clock.advance(milliseconds(300));
    auto SentAt = LocalClock.sentAt(Sent, MaxAge);
    CPPUNIT_ASSERT(SentAt && *SentAt <= SentTime && *SentAt >= SentTime - milliseconds(2));
  }
  if (auto When = section("an old echo is ignored")) {
    Clock.advance(milliseconds(500));
    CPPUNIT_ASSERT(!LocalClock.sentAt(Sent, MaxAge));
  }
  if (auto When = section("an echo from the future is ignored"))
    CPPUNIT_ASSERT(!LocalClock.sentAt(Sent + 5, MaxAge));
  if (auto When = section("a missing echo is ignored"))
    CPPUNIT_ASSERT(!LocalClock.sentAt(0, MaxAge));
  if (auto When = section("an echo for an earlier process of the VM is ignored")) {
    contact_clock Earlier(Clock, 500'000);
    CPPUNIT_ASSERT(!LocalClock.sentAt(Earlier.now(), MaxAge));
  }
});

// Guards against contact that ends when the 32-bit clock wraps around.
const test_case Wrap("contact clock: the clock wraps around", [] {
  runtime::manual_clock Clock;
  contact_clock LocalClock(Clock, ~0U - 100);
  auto Sent = LocalClock.now();
  for (int Step = 0; Step < 200; ++Step) {
    CPPUNIT_ASSERT(LocalClock.now() != 0);
    Clock.advance(milliseconds(1));
  }
  CPPUNIT_ASSERT(LocalClock.sentAt(Sent, MaxAge));
});

} // namespace
