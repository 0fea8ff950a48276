#include "yuccaplank/model/scheduler.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::model;
using yuccaplank::testing::section;
using yuccaplank::testing::story;

namespace {

struct fixture {
  runtime::manual_clock Clock;
  std::unique_ptr<scheduler> Scheduler = makeScheduler(Clock);
  schema::service_document Service;
  schema::job Job;

  explicit fixture(int Servers, int Tasks) {
    Service.set_service("proofs");
    Service.set_team("glass");
    Service.set_pool("main");
    std::vector<schema::backend_entry> Entries;
    for (int I = 0; I < Servers; ++I) {
      auto &Entry = Entries.emplace_back();
      Entry.set_id(fmt::format("s{}", I));
      Entry.set_pool("main");
      Entry.set_slots(8);
      Entry.set_cores(64);
      Entry.set_memory_mb(1000);
    }
    Scheduler->setServers(Entries);
    for (int I = 0; I < Tasks; ++I) {
      auto &Task = *Job.add_tasks();
      Task.set_name(fmt::format("t{}", I));
      Task.set_kind("render");
      Task.set_declared_ms(100);
    }
  }

  auto submit(job_key Key) { return Scheduler->submit({Key, &Job, &Service, Clock.now() + 10s}); }
};

// Guards against a slot that gets more tasks than the server has.
const story Slots("scheduler: slots", [] {
  fixture F(1, 20);
  CPPUNIT_ASSERT(!F.submit(1));
  auto Starts = F.Scheduler->takeDecisions().Starts;
  CPPUNIT_ASSERT_EQUAL(std::size_t(8), Starts.size());
  if (auto When = section("when one attempt ends, one more task starts")) {
    F.Scheduler->attemptEnded(Starts[0].Task, Starts[0].Server, attempt_end::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), F.Scheduler->takeDecisions().Starts.size());
  }
  if (auto When = section("when the job is cancelled, the running tasks are returned")) {
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), F.Scheduler->cancel(1).size());
    CPPUNIT_ASSERT_EQUAL(0U, F.Scheduler->load().QueuedTasks);
    CPPUNIT_ASSERT_EQUAL(8U, F.Scheduler->load().RunningTasks);
  }
  if (auto When = section("when the deadline passes, the job fails")) {
    F.Clock.advance(10s);
    auto Failures = F.Scheduler->takeDecisions().Failures;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Failures.size());
    CPPUNIT_ASSERT(Failures[0].MayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), F.Scheduler->cancel(1).size());
  }
});

} // namespace
