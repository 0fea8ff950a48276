#include "reply_timeout.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using dispatch::reply_timeout;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

// Guards against orders that are given up although their replies are only slow, and against waiting for lost
// replies much longer than a server needs.
const test_case Learning("reply timeout: follows the reply times", [] {
  reply_timeout Timeout(milliseconds(30), milliseconds(100), milliseconds(250));
  CPPUNIT_ASSERT(Timeout.value() == milliseconds(100));
  for (int Reply = 0; Reply < 50; ++Reply)
    Timeout.onReply(milliseconds(2));
  CPPUNIT_ASSERT(Timeout.value() == milliseconds(30));
  if (auto When = section("when replies become slow, the timeout exceeds them within a few replies")) {
    for (int Reply = 0; Reply < 4; ++Reply)
      Timeout.onReply(milliseconds(60));
    CPPUNIT_ASSERT(Timeout.value() > milliseconds(60));
    if (auto Then = section("and returns when they are fast again")) {
      for (int Reply = 0; Reply < 60; ++Reply)
        Timeout.onReply(milliseconds(2));
      CPPUNIT_ASSERT(Timeout.value() == milliseconds(30));
    }
  }
  if (auto When = section("when replies take longer than the limit, the timeout stays at the limit")) {
    for (int Reply = 0; Reply < 50; ++Reply)
      Timeout.onReply(milliseconds(900));
    CPPUNIT_ASSERT(Timeout.value() == milliseconds(250));
  }
});

} // namespace
