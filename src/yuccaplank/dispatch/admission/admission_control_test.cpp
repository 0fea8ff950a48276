#include "admission_control.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch::admission;
using runtime::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::section;
using testing::test_case;

namespace {

constexpr std::int64_t Capacity = 100'000;
constexpr std::int64_t TaskCpu = 1'000;
const std::string Pool = "pool";

// A pool of 100 cores on which tasks of one core run for 100 ms: one core becomes free each millisecond.
struct busy_pool {
  admission_options Options;
  time_point Now{};
  admission_control Control{Options};

  explicit busy_pool(admission_options OptionsIn = {}) : Options(std::move(OptionsIn)) {
    Control.onServerChange(Now, Pool, {}, {Capacity, Capacity});
    run(2000);
  }
  // Less urgent jobs arrive at 1.3 times the rate at which cores become free.
  void runInBurst(int Milliseconds) {
    for (int Step = 0; Step < Milliseconds; ++Step) {
      waiting_demand Arrived{Pool, dispatch::job_id(1), 5, 5, TaskCpu * 13 / 10, Now};
      Control.onArrival(Now, Arrived);
      run(1);
    }
  }
  // Each millisecond, a task ends and another one starts.
  void run(int Milliseconds) {
    for (int Step = 0; Step < Milliseconds; ++Step) {
      Now += milliseconds(1);
      Control.onServerChange(Now, Pool, {Capacity, Capacity}, {Capacity, Capacity - TaskCpu});
      Control.onServerChange(Now, Pool, {Capacity, Capacity - TaskCpu}, {Capacity, Capacity});
    }
  }
  [[nodiscard]] waiting_demand demand(std::int64_t Tasks, milliseconds CanWait, std::uint32_t Priority = 0,
                                      std::uint64_t Job = 1) const {
    return {Pool, dispatch::job_id(Job), Priority, Priority, Tasks * TaskCpu, Now + CanWait};
  }
  // A task that needs so many cores got them for an estimated time.
  void grant(const std::string &Queue, std::uint32_t Priority, std::int64_t Tasks, std::uint32_t EstimateMs) {
    schema::place_job Job;
    Job.set_pool(Pool);
    Job.set_queue(Queue);
    Job.mutable_size()->set_cpu(static_cast<std::uint32_t>(Tasks * TaskCpu));
    Job.set_estimate_ms(EstimateMs);
    Control.onGranted(Now, Job, Priority);
  }
  std::optional<refusal> pass(const waiting_demand &Demand) {
    Control.addWaiting(Demand);
    return Control.judge(Now, Demand);
  }
};

// Guards against jobs that wait in vain in a burst, and against refusals of jobs that would begin in time.
const test_case Prediction("admission control: jobs are refused by their predicted start", [] {
  busy_pool Load;
  Load.runInBurst(2000);
  Load.Control.beginPass();
  if (auto When = section("a job that would begin in time is admitted, one behind a long backlog is not")) {
    CPPUNIT_ASSERT(!Load.pass(Load.demand(15, milliseconds(100))));
    auto Wait = Load.Control.predictWait(Load.Now, Load.demand(10, milliseconds(100)));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(25, runtime::toMs(*Wait), 3);
    auto Refusal = Load.pass(Load.demand(30, milliseconds(100)));
    CPPUNIT_ASSERT(Refusal.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(45, runtime::toMs(Refusal->PredictedWait), 5);
    if (auto Then = section("and the refused job does not count as ahead of the next one"))
      CPPUNIT_ASSERT(!Load.pass(Load.demand(3, milliseconds(100))));
  }
  if (auto When = section("while little more arrives than becomes free, a longer wait is accepted")) {
    busy_pool Mild;
    CPPUNIT_ASSERT(!Mild.pass(Mild.demand(90, milliseconds(100))));
    CPPUNIT_ASSERT(Mild.pass(Mild.demand(20, milliseconds(100))).has_value());
  }
  if (auto When = section("more urgent jobs that arrive meanwhile prolong the wait of others")) {
    for (int Step = 0; Step < 400; ++Step) {
      Load.Control.onArrival(Load.Now, Load.demand(1, milliseconds(100)));
      Load.runInBurst(1);
    }
    Load.Control.beginPass();
    CPPUNIT_ASSERT(!Load.pass(Load.demand(10, milliseconds(100))));
    CPPUNIT_ASSERT(Load.pass(Load.demand(10, milliseconds(100), 1)).has_value());
    if (auto Then = section("unless jobs of their priority get capacity all the same")) {
      for (int Step = 0; Step < 400; ++Step) {
        Load.grant("queue", 1, 1, 100);
        Load.runInBurst(1);
      }
      Load.Control.beginPass();
      CPPUNIT_ASSERT(!Load.pass(Load.demand(10, milliseconds(100), 1)));
    }
  }
  if (auto When = section("with the setting to accept without prediction, nothing is refused")) {
    admission_options Options;
    Options.PredictStarts = false;
    busy_pool Accepting(Options);
    CPPUNIT_ASSERT(!Accepting.pass(Accepting.demand(1000, milliseconds(100))));
  }
});

// Guards against refusals by figures that mean nothing: of a placer that has just taken over, of a small
// site, and while the servers of a lost owner come back.
const test_case Unknown("admission control: nothing is refused while too little is known", [] {
  if (auto When = section("before enough was observed")) {
    admission_control Control{admission_options{}};
    time_point Now{};
    Control.onServerChange(Now, Pool, {}, {Capacity, Capacity});
    Control.onServerChange(Now, Pool, {Capacity, Capacity}, {Capacity, Capacity - TaskCpu});
    waiting_demand Demand{Pool, dispatch::job_id(1), 0, 0, 1000 * TaskCpu, Now + milliseconds(100)};
    Control.addWaiting(Demand);
    CPPUNIT_ASSERT(!Control.judge(Now + milliseconds(500), Demand));
  }
  if (auto When = section("while all servers are gone, and when none of them is in use")) {
    busy_pool Load;
    Load.Control.onServerChange(Load.Now, Pool, {Capacity, Capacity}, {});
    Load.Now += milliseconds(400);
    CPPUNIT_ASSERT(!Load.pass(Load.demand(1000, milliseconds(100))));
  }
  if (auto When = section("while a part of the servers is gone")) {
    busy_pool Load;
    Load.Control.onServerChange(Load.Now, Pool, {Capacity / 2, Capacity / 2}, {});
    CPPUNIT_ASSERT(!Load.pass(Load.demand(1000, milliseconds(100))));
    Load.run(300);
    Load.Control.beginPass();
    CPPUNIT_ASSERT(Load.pass(Load.demand(1000, milliseconds(100))).has_value());
  }
});

// Guards against callers that come back while the backlog is still there, and against all coming at once.
const test_case RetryAfter("admission control: refused callers are told when the backlog has drained", [] {
  busy_pool Load;
  Load.Control.beginPass();
  if (auto When = section("with a backlog that drains, after that time")) {
    CPPUNIT_ASSERT(!Load.pass(Load.demand(4000, seconds(100))));
    auto Refusal = Load.pass(Load.demand(10, milliseconds(100)));
    CPPUNIT_ASSERT(Refusal->RetryAfter >= milliseconds(3900));
    CPPUNIT_ASSERT(Refusal->RetryAfter <= milliseconds(6200));
    if (auto Then = section("spread over half as long")) {
      auto Other = Load.pass(Load.demand(10, milliseconds(100), 0, 2));
      CPPUNIT_ASSERT(Other->RetryAfter != Refusal->RetryAfter);
    }
  }
  if (auto When = section("without an end in sight, the longer the overload has lasted")) {
    auto FirstRefusal = Load.pass(Load.demand(1'000'000, milliseconds(100)));
    CPPUNIT_ASSERT(FirstRefusal->RetryAfter < milliseconds(1600));
    for (int Step = 0; Step < 40; ++Step) {
      for (int Arrival = 0; Arrival < 200; ++Arrival)
        Load.Control.onArrival(Load.Now, Load.demand(1, milliseconds(100)));
      Load.run(100);
      Load.Control.beginPass();
      CPPUNIT_ASSERT(Load.pass(Load.demand(1'000'000, milliseconds(100))).has_value());
    }
    CPPUNIT_ASSERT(Load.pass(Load.demand(1'000'000, milliseconds(100)))->RetryAfter >= seconds(4));
  }
});

// Guards against a queue that starves below its guaranteed share, and against capacity that idles for it.
const test_case Shares("admission control: a queue gets its guaranteed share while its jobs wait", [] {
  admission_options Options;
  Options.Shares = {{"", 2, 0.2}, {"named", 0, 0.5}};
  busy_pool Load(Options);
  auto IsOwed = [&](const std::string &Queue, std::uint32_t Priority) {
    return Load.Control.accrueShare(Load.Now, Pool, Queue, Priority) > 0;
  };
  CPPUNIT_ASSERT(!IsOwed("urgent", 0));
  IsOwed("batch", 2);
  Load.run(10);
  CPPUNIT_ASSERT(IsOwed("batch", 2));
  if (auto When = section("until it has used its share, and again later")) {
    Load.grant("batch", 2, 20, 20);
    CPPUNIT_ASSERT(!IsOwed("batch", 2));
    Load.run(15);
    CPPUNIT_ASSERT(IsOwed("batch", 2));
  }
  if (auto When = section("what it does not use is not saved up for long")) {
    Load.run(5000);
    CPPUNIT_ASSERT(IsOwed("batch", 2));
    Load.grant("batch", 2, 20, 201);
    CPPUNIT_ASSERT(!IsOwed("batch", 2));
  }
});

} // namespace
