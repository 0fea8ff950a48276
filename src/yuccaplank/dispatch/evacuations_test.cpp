#include "yuccaplank/dispatch/evacuations.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using testing::section;
using testing::test_case;

namespace {

schema::evacuation_state makeState(std::uint64_t Version, const std::set<std::string> &Domains,
                                   schema::evacuation_source Source = schema::EVACUATION_PLATFORM) {
  schema::evacuation_state State;
  State.set_source(Source);
  State.set_version(Version);
  for (const std::string &Domain : Domains)
    State.add_domains(Domain);
  return State;
}

// Guards against a VM that returns to an older state because a late message or a slow VM reports it, and
// against an end of one source's evacuation that ends the other source's.
const test_case States("evacuations: the newest state of each source counts", [] {
  runtime::manual_clock Clock;
  evacuations Evacuations(Clock);
  CPPUNIT_ASSERT(Evacuations.apply(makeState(10, {"d1"})));
  CPPUNIT_ASSERT(Evacuations.domains().contains("d1"));
  if (auto When = section("when a VM reports an older state, it has no effect")) {
    CPPUNIT_ASSERT(!Evacuations.apply(makeState(9, {"d2"})));
    CPPUNIT_ASSERT((std::set<std::string>{"d1"} == Evacuations.domains()));
  }
  if (auto When =
          section("when the domain is taken back and evacuated again, each change takes effect once")) {
    CPPUNIT_ASSERT(Evacuations.apply(makeState(11, {})));
    CPPUNIT_ASSERT(Evacuations.apply(makeState(12, {"d1"})));
    CPPUNIT_ASSERT(!Evacuations.apply(makeState(11, {})));
    CPPUNIT_ASSERT(Evacuations.domains().contains("d1"));
  }
  if (auto When = section("when a newer state evacuates another domain too, the first keeps its time")) {
    Clock.advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT(Evacuations.apply(makeState(12, {"d1", "d2"})));
    auto List = Evacuations.list();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, List.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, List.at(0).Version);
    CPPUNIT_ASSERT(List.at(0).KnownSince < List.at(1).KnownSince);
  }
  if (auto When = section("when one of two sources takes the domain back, it stays evacuated")) {
    Evacuations.apply(makeState(5, {"d1"}, schema::EVACUATION_OPERATOR));
    Evacuations.apply(makeState(13, {}));
    CPPUNIT_ASSERT(Evacuations.domains().contains("d1"));
    Evacuations.apply(makeState(14, {}, schema::EVACUATION_OPERATOR));
    CPPUNIT_ASSERT(!Evacuations.domains().contains("d1"));
  }
});

// Guards against a VM without the store that keeps an evacuation for ever, because nobody passes on its end,
// and against heartbeats that carry states nobody needs.
const test_case Sharing("evacuations: states are passed on once an evacuation is known", [] {
  runtime::manual_clock Clock;
  evacuations Evacuations(Clock);
  Evacuations.apply(makeState(10, {}));
  CPPUNIT_ASSERT(Evacuations.states().empty());
  CPPUNIT_ASSERT(Evacuations.knows(makeState(10, {})) && !Evacuations.knows(makeState(11, {})));
  CPPUNIT_ASSERT(!Evacuations.knows(makeState(8, {"d1"})));
  if (auto When =
          section("when another VM still reports an evacuation that has ended, its end is passed on")) {
    CPPUNIT_ASSERT(!Evacuations.apply(makeState(8, {"d1"})));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Evacuations.states().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, Evacuations.states().at(0).version());
    CPPUNIT_ASSERT_EQUAL(0, Evacuations.states().at(0).domains_size());
  }
  if (auto When = section("when a later version of this program names another source, it is ignored")) {
    auto Unknown = makeState(20, {"d1"});
    Unknown.set_source(static_cast<schema::evacuation_source>(7));
    CPPUNIT_ASSERT(!Evacuations.apply(Unknown));
  }
});

} // namespace
