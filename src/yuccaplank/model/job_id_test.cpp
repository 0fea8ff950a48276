#include "yuccaplank/model/job_id.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>

#include <limits>
#include <string>

using namespace yuccaplank;
using namespace yuccaplank::model;
using yuccaplank::testing::section;
using yuccaplank::testing::story;

namespace {

schema::incarnation makeIncarnation(const std::string &Vm, std::int64_t StartedMs, std::uint32_t Nonce) {
  schema::incarnation Value;
  Value.set_vm(Vm);
  Value.set_started_ms(StartedMs);
  Value.set_nonce(Nonce);
  return Value;
}

void assertInvalid(const std::string &Text) {
  auto Parsed = parseJobId(Text);
  CPPUNIT_ASSERT_MESSAGE(Text, !Parsed);
  CPPUNIT_ASSERT_MESSAGE(Text, Parsed.error() == runtime::errc::InvalidId);
}

// Guards against ids that change their meaning on the way through text.
const story RoundTrip("job id: valid ids", [] {
  if (auto Given = section("given an issued id")) {
    auto Authority = makeIncarnation("vm-3", 1'700'000'000'123, std::numeric_limits<std::uint32_t>::max());
    std::string Text = issuedId("east_1", Authority, std::numeric_limits<std::uint64_t>::max());
    CPPUNIT_ASSERT_EQUAL(std::string("i.east_1.vm-3.1700000000123-4294967295.18446744073709551615"), Text);
    auto Parsed = parseJobId(Text);
    CPPUNIT_ASSERT(Parsed);
    CPPUNIT_ASSERT(Parsed.value().Kind == id_kind::Issued);
    CPPUNIT_ASSERT_EQUAL(Text, Parsed.value().Text);
    CPPUNIT_ASSERT_EQUAL(std::string("east_1"), Parsed.value().Domain);
    CPPUNIT_ASSERT(sameIncarnation(Authority, Parsed.value().Authority));
    CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(), Parsed.value().Sequence);
  }
  if (auto Given = section("given a caller key")) {
    for (const std::string &Key : {std::string("Order-77_b"), std::string(128, 'x')}) {
      auto Parsed = parseJobId("k." + Key);
      CPPUNIT_ASSERT(Parsed);
      CPPUNIT_ASSERT(Parsed.value().Kind == id_kind::CallerKey);
      CPPUNIT_ASSERT_EQUAL("k." + Key, Parsed.value().Text);
      CPPUNIT_ASSERT_EQUAL(Key, Parsed.value().Key);
    }
  }
});

// Guards against ids that are accepted although they name no job, and against two texts for one job, which
// would let the job run twice.
const story Malformed("job id: malformed ids", [] {
  for (const char *Text :
       {"", "i", "k", "x", "i.", "k.", "x.a", "I.d.v.1-2.3", "K.a", " k.a", "i.d.v.1-2.3 "})
    assertInvalid(Text);
  if (auto Given = section("given caller keys outside the character set or length")) {
    for (const char *Text : {"k.a.b", "k.a b", "k.a/b", "k.a%41", "k.\xc3\xa4", "k.a\n"})
      assertInvalid(Text);
    assertInvalid(std::string("k.a\0b", 5));
    assertInvalid("k." + std::string(129, 'x'));
  }
  if (auto Given = section("given issued ids with missing, empty, or surplus parts")) {
    for (const char *Text : {"i.d", "i.d.v", "i.d.v.1-2", "i.d.v.1-2.", "i..v.1-2.3", "i.d..1-2.3",
                             "i.d.v..3", "i.d.v.1-2.3.4", "i.d.v.1-2.3.", "i.d.v.1.3", "i.d.v.1-2-3.4"})
      assertInvalid(Text);
  }
  if (auto Given = section("given names with forbidden characters")) {
    for (const char *Text : {"i.d d.v.1-2.3", "i.d.v/v.1-2.3", "i.d.\xff.1-2.3"})
      assertInvalid(Text);
    assertInvalid("i." + std::string(129, 'd') + ".v.1-2.3");
    assertInvalid("i.d." + std::string(129, 'v') + ".1-2.3");
  }
  if (auto Given = section("given numbers that are not canonical or out of range")) {
    for (const char *Text :
         {"i.d.v.01-2.3", "i.d.v.1-02.3", "i.d.v.1-2.03", "i.d.v.1-2.00", "i.d.v.+1-2.3", "i.d.v.-1-2.3",
          "i.d.v.1--2.3", "i.d.v.1-2.-3", "i.d.v.1-2.+3", "i.d.v.1-2.3x", "i.d.v.0x1-2.3", "i.d.v.1-2. 3",
          "i.d.v.9223372036854775808-2.3", "i.d.v.1-4294967296.3", "i.d.v.1-2.18446744073709551616"})
      assertInvalid(Text);
  }
});

// Guards against two VMs that disagree on the oldest incarnation, and so on the dispatcher.
const story Order("job id: order of incarnations", [] {
  auto First = makeIncarnation("b", 10, 7);
  CPPUNIT_ASSERT(olderIncarnation(First, makeIncarnation("a", 11, 0)));
  CPPUNIT_ASSERT(olderIncarnation(First, makeIncarnation("a", 10, 8)));
  CPPUNIT_ASSERT(olderIncarnation(First, makeIncarnation("c", 10, 7)));
  CPPUNIT_ASSERT(!olderIncarnation(First, First));
  CPPUNIT_ASSERT(!olderIncarnation(makeIncarnation("a", 11, 0), First));
  CPPUNIT_ASSERT(sameIncarnation(First, First));
  for (const auto &Other :
       {makeIncarnation("a", 10, 7), makeIncarnation("b", 11, 7), makeIncarnation("b", 10, 8)})
    CPPUNIT_ASSERT(!sameIncarnation(First, Other));
  CPPUNIT_ASSERT_EQUAL(std::string("b@10-7"), incarnationName(First));
});

} // namespace
