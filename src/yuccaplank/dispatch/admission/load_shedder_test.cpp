#include "load_shedder.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using admission::known_backlogs;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

google::protobuf::RepeatedPtrField<schema::pool_backlog> makeBacklogs(std::uint32_t WaitMs,
                                                                      std::uint32_t AgeMs) {
  google::protobuf::RepeatedPtrField<schema::pool_backlog> Backlogs;
  schema::pool_backlog &Backlog = *Backlogs.Add();
  Backlog.set_pool("pool");
  Backlog.set_priority(1);
  Backlog.set_wait_ms(WaitMs);
  Backlog.set_drain_ms(3000);
  Backlog.set_age_ms(AgeMs);
  return Backlogs;
}

// Guards against refusals by what a placer told that is lost or cut off since, and by older figures that
// arrive late.
const test_case Knowledge("known backlogs: count for a limited time and give way to newer ones", [] {
  runtime::manual_clock Clock;
  Clock.advance(std::chrono::seconds(10));
  known_backlogs Backlogs;
  Backlogs.learn(Clock.now(), makeBacklogs(500, 150));
  CPPUNIT_ASSERT(Backlogs.find(Clock.now(), "pool", 1)->Wait == milliseconds(500));
  CPPUNIT_ASSERT(!Backlogs.find(Clock.now(), "pool", 0));
  if (auto When = section("an older one is ignored, a newer one is taken over")) {
    Backlogs.learn(Clock.now(), makeBacklogs(900, 200));
    CPPUNIT_ASSERT(Backlogs.find(Clock.now(), "pool", 1)->Wait == milliseconds(500));
    Backlogs.learn(Clock.now(), makeBacklogs(700, 100));
    CPPUNIT_ASSERT(Backlogs.find(Clock.now(), "pool", 1)->Wait == milliseconds(700));
  }
  if (auto When = section("it is passed on with its age")) {
    Clock.advance(milliseconds(100));
    google::protobuf::RepeatedPtrField<schema::pool_backlog> Told;
    Backlogs.addTo(Clock.now(), Told);
    CPPUNIT_ASSERT_EQUAL(251U, Told.Get(0).age_ms());
  }
  if (auto When = section("it is void 400 ms after the placer has predicted it")) {
    Clock.advance(milliseconds(251));
    CPPUNIT_ASSERT(!Backlogs.find(Clock.now(), "pool", 1));
    google::protobuf::RepeatedPtrField<schema::pool_backlog> Told;
    Backlogs.addTo(Clock.now(), Told);
    CPPUNIT_ASSERT(Told.empty());
  }
});

// Guards against two messages for each job that will be refused, and against capacity that idles because the
// relaying VMs refuse more than the placer would.
const test_case Shedding("load shedder: refuses about as many jobs as the placer would", [] {
  runtime::manual_clock Clock;
  Clock.advance(std::chrono::seconds(10));
  known_backlogs Backlogs;
  admission::load_shedder Shedder(Clock, Backlogs);
  queue_settings Queue;
  Queue.Name = "queue";
  Queue.Pool = "pool";
  Queue.Priority = 1;
  Queue.Stretch = 1.6;
  Queue.LatencyMs = 60;
  job_request Request;
  Request.EstimateMs = 200;
  std::uint64_t Passed = 0;
  std::uint64_t Accepted = 0;
  // Offers 500 jobs a second for 2 s, of which the placer accepts 100 a second.
  auto Offer = [&](std::uint32_t WaitMs, bool Told) {
    for (std::uint64_t Job = 0; Job < 1000; ++Job) {
      Clock.advance(milliseconds(2));
      if (Told)
        Backlogs.learn(Clock.now(), makeBacklogs(WaitMs, 0));
      Request.Job = job_id(Job);
      if (Shedder.shed(Queue, Request))
        continue;
      ++Passed;
      if (Accepted <= Job / 5)
        ++Accepted;
      else
        Shedder.onAnswer({job_outcome::Refused, end_reason::Backlog, 0, Queue.Name, false});
    }
  };
  if (auto When = section("given a backlog, most of the surplus is refused here and some is passed on")) {
    Offer(400, true);
    CPPUNIT_ASSERT(Shedder.shedJobs() > 150);
    CPPUNIT_ASSERT(Accepted >= 195);
    if (auto Then = section("when it is not told any more, all jobs are passed on")) {
      Clock.advance(milliseconds(401));
      CPPUNIT_ASSERT(!Shedder.shed(Queue, Request));
    }
  }
  if (auto When = section("given a wait that the job can bear, or no backlog, nothing is refused")) {
    Offer(80, true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Shedder.shedJobs());
    Offer(400, false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Shedder.shedJobs());
  }
});

} // namespace
