#include "burn_recorder.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::section;
using testing::test_case;

namespace {

std::uint64_t totalOf(const entry::burn_recorder &Recorder, int Window) {
  auto Queues = Recorder.windows();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Queues.size());
  return Queues[0].windows(Window).total();
}

// Guards against jobs that are counted in the wrong window, or that stay in a window forever because a bucket
// of the ring is not reset when it is reused.
const test_case Windows("burn recorder: jobs are counted in sliding windows", [] {
  runtime::manual_clock Clock;
  auto Recorder = entry::makeBurnRecorder(Clock);
  Recorder->record("proofs", true);
  Recorder->record("proofs", false);
  if (auto When = section("when no time has passed, all jobs are counted")) {
    auto Queue = Recorder->windows()[0];
    CPPUNIT_ASSERT_EQUAL(std::string("proofs"), Queue.queue());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Queue.windows(0).good());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Queue.windows(2).total());
  }
  if (auto When = section("when the shortest window has passed, jobs are counted in the longer ones only")) {
    Clock.advance(6min);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totalOf(*Recorder, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, totalOf(*Recorder, 1));
  }
  if (auto When = section("when the longest window has passed, only new jobs are counted")) {
    Clock.advance(6h + 1min);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totalOf(*Recorder, 2));
    Recorder->record("proofs", true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totalOf(*Recorder, 2));
  }
  if (auto When = section("when jobs arrive for two days, each window holds only its own length")) {
    for (int Minute = 0; Minute < 2 * 24 * 60; ++Minute) {
      Clock.advance(1min);
      Recorder->record("proofs", true);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, totalOf(*Recorder, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{61}, totalOf(*Recorder, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{361}, totalOf(*Recorder, 2));
  }
});

} // namespace
