#include "yuccaplank/model/burn.hpp"

#include "yuccaplank/testing/story.hpp"

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

constexpr double Tolerance = 1e-6;

std::uint64_t totalOf(const model::burn_recorder &Recorder, int Window) {
  auto Services = Recorder.windows();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Services.size());
  return Services[0].windows(Window).total();
}

// Guards against jobs that are counted in the wrong window or forever.
const story Windows("burn: sliding windows", [] {
  runtime::manual_clock Clock;
  auto Recorder = model::makeBurnRecorder(Clock);
  Recorder->record("proofs", true);
  Recorder->record("proofs", false);
  if (auto When = section("when no time has passed")) {
    auto Service = Recorder->windows()[0];
    CPPUNIT_ASSERT_EQUAL(std::string("proofs"), Service.service());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Service.windows(0).good());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Service.windows(2).total());
  }
  if (auto When = section("when the shortest window has passed")) {
    Clock.advance(6min);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totalOf(*Recorder, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, totalOf(*Recorder, 1));
  }
  if (auto When = section("when the longest window has passed")) {
    Clock.advance(6h + 1min);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totalOf(*Recorder, 2));
    Recorder->record("proofs", true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totalOf(*Recorder, 2));
  }
  if (auto When = section("when jobs arrive for two days")) {
    for (int Minute = 0; Minute < 2 * 24 * 60; ++Minute) {
      Clock.advance(1min);
      Recorder->record("proofs", true);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, totalOf(*Recorder, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{61}, totalOf(*Recorder, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{361}, totalOf(*Recorder, 2));
  }
});

schema::burn_reply replyOf(std::uint64_t Good, std::uint64_t Total) {
  schema::burn_reply Reply;
  auto *Service = Reply.add_services();
  Service->set_service("proofs");
  auto *Window = Service->add_windows();
  Window->set_window_s(300);
  Window->set_good(Good);
  Window->set_total(Total);
  return Reply;
}

// Guards against reports that leave out a VM or state a wrong burn rate.
const story Merging("burn: report", [] {
  schema::service_document Service;
  Service.set_service("proofs");
  Service.mutable_objective()->set_percent(99);
  if (auto When = section("when VMs answered different numbers of jobs")) {
    auto Lines = model::mergeBurn({replyOf(95, 100), replyOf(100, 100)}, {Service});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Lines.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{195}, Lines[0].Good);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, Lines[0].Total);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(97.5, Lines[0].AttainedPercent, Tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, Lines[0].BurnRate, Tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-150, Lines[0].BudgetLeftPercent, Tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Lines[1].BurnRate, Tolerance);
  }
  if (auto When = section("when there were no jobs")) {
    auto Lines = model::mergeBurn({}, {Service});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Lines[0].AttainedPercent, Tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Lines[0].BudgetLeftPercent, Tolerance);
  }
  if (auto When = section("when a service has no objective")) {
    Service.clear_objective();
    CPPUNIT_ASSERT(model::mergeBurn({replyOf(1, 2)}, {Service}).empty());
  }
});

} // namespace
