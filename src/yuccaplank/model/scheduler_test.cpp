#include "scheduler_world.hpp"
#include "yuccaplank/testing/story.hpp"

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::model;
using runtime::errc;
using yuccaplank::testing::section;
using yuccaplank::testing::story;

namespace {

double in20Ms(const std::string &) { return 20; }
attempt_end completes(const task_ref &, const std::string &) { return attempt_end::Completed; }

// Guards against a slot that gets more tasks than the server has, and against one that is lost.
const story Slots("scheduler: slots", [] {
  scheduler_world World(1);
  CPPUNIT_ASSERT(!World.submit(1, World.job(20)));
  auto Starts = World.decide().Starts;
  CPPUNIT_ASSERT_EQUAL(std::size_t(8), Starts.size());
  if (auto When = section("when one attempt ends, one more task starts")) {
    World.end(Starts[0].Task);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), World.decide().Starts.size());
  }
  if (auto When = section("when an end is reported twice, only one slot is freed")) {
    World.end(Starts[0].Task);
    World.Scheduler->attemptEnded(Starts[0].Task, "s0", attempt_end::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), World.decide().Starts.size());
  }
  if (auto When = section("when the job is cancelled, its running tasks occupy their slots until they end")) {
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), World.cancel(1).size());
    CPPUNIT_ASSERT(!World.submit(2, World.job(1)));
    CPPUNIT_ASSERT(World.decide().Starts.empty());
    World.end(Starts[0].Task, attempt_end::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), World.decide().Starts.size());
  }
  if (auto When = section("when the server allows fewer connections, these are the slots")) {
    scheduler_world Narrow(1, {.MaxConnectionsPerServer = 3});
    CPPUNIT_ASSERT(!Narrow.submit(1, Narrow.job(20)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Narrow.decide().Starts.size());
  }
});

// Guards against a partial answer: after a failure nothing of the job may start.
const story Failure("scheduler: a failed task fails its job", [] {
  scheduler_world World(1);
  CPPUNIT_ASSERT(!World.submit(1, World.job(20)));
  auto Starts = World.decide().Starts;
  World.end(Starts[0].Task, attempt_end::Failed);
  auto Decisions = World.decide();
  CPPUNIT_ASSERT(Decisions.Starts.empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decisions.Failures.size());
  CPPUNIT_ASSERT(Decisions.Failures[0].Reason == errc::ServerError && Decisions.Failures[0].MayHaveRun);
  CPPUNIT_ASSERT_EQUAL(0U, World.Scheduler->load().QueuedTasks);
  CPPUNIT_ASSERT_EQUAL(std::size_t(7), World.cancel(1).size());
  CPPUNIT_ASSERT(World.cancel(1).empty());
  CPPUNIT_ASSERT_EQUAL(7U, World.Scheduler->load().RunningTasks);
});

// Guards against repeated starts of a task that its server refused, on the same server or without limit.
const story Retry("scheduler: retry after a refused start", [] {
  scheduler_world World(2, {.MaxStretch = 0, .MaxBacklogMs = 0});
  if (auto When = section("the task starts on the other server, after a backoff")) {
    CPPUNIT_ASSERT(!World.submit(1, World.job(1)));
    auto First = World.decide().Starts.at(0);
    World.end(First.Task, attempt_end::NotStarted);
    CPPUNIT_ASSERT(World.decide().Starts.empty());
    World.Clock.advance(20ms);
    auto Second = World.decide().Starts.at(0);
    CPPUNIT_ASSERT(First.Server != Second.Server);
  }
  if (auto When = section("a server that is busy is waited for rather than the refusing one")) {
    CPPUNIT_ASSERT(!World.submit(1, World.job(1)));
    auto First = World.decide().Starts.at(0);
    CPPUNIT_ASSERT(!World.submit(2, World.job(100, 5)));
    World.decide();
    World.end(First.Task, attempt_end::NotStarted);
    CPPUNIT_ASSERT(!World.cancel(2).empty());
    World.Clock.advance(200ms);
    for (const auto &[Task, Server] : std::map(World.Running))
      if (Server == First.Server)
        World.end({Task.first, Task.second});
    CPPUNIT_ASSERT(World.decide().Starts.empty());
  }
  if (auto When = section("after three attempts the job fails as not run")) {
    CPPUNIT_ASSERT(!World.submit(1, World.job(1)));
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      World.end(World.decide().Starts.at(0).Task, attempt_end::NotStarted);
      World.Clock.advance(2s);
    }
    auto Failures = World.decide().Failures;
    CPPUNIT_ASSERT(Failures.at(0).Reason == errc::RetriesExhausted && !Failures.at(0).MayHaveRun);
  }
  if (auto When = section("retries stay within the budget of 10 % and its allowance of 10")) {
    World.Service.mutable_retry()->set_max_attempts(1000);
    int Starts = 0;
    int Failures = 0;
    for (job_key Key = 1; Key <= 200; ++Key)
      CPPUNIT_ASSERT(!World.submit(Key, World.job(1, 10), 600s));
    for (int Step = 0; Step < 5000 && Failures < 200; ++Step) {
      auto Decisions = World.decide();
      Failures += static_cast<int>(Decisions.Failures.size());
      for (const auto &Start : Decisions.Starts) {
        ++Starts;
        World.end(Start.Task, attempt_end::NotStarted);
      }
      World.Clock.advance(100ms);
    }
    CPPUNIT_ASSERT_EQUAL(200, Failures);
    CPPUNIT_ASSERT(Starts - 200 <= 10 + Starts / 10);
    CPPUNIT_ASSERT(Starts - 200 >= 10);
  }
  if (auto When = section("a refusal lowers the believed capacity for a short time")) {
    CPPUNIT_ASSERT(!World.submit(1, World.job(1)));
    auto First = World.decide().Starts.at(0);
    auto Before = World.Scheduler->load().FreeSlots;
    World.end(First.Task, attempt_end::NotStarted);
    CPPUNIT_ASSERT(World.Scheduler->load().FreeSlots < Before);
    World.cancel(1);
    for (int Step = 0; Step < 100; ++Step) {
      World.Clock.advance(50ms);
      World.decide();
    }
    CPPUNIT_ASSERT_EQUAL(16U, World.Scheduler->load().FreeSlots);
  }
});

// Guards against jobs that outlive their deadline, and against a wrong claim about whether they ran.
const story Deadline("scheduler: deadline", [] {
  scheduler_world World(1);
  CPPUNIT_ASSERT(!World.submit(1, World.job(9), 1s));
  if (auto When = section("when tasks are running")) {
    auto Started = World.decide().Starts;
    CPPUNIT_ASSERT(World.Scheduler->nextWakeup() <= World.Clock.now() + 1001ms);
    World.Clock.advance(1s);
    auto Failures = World.decide().Failures;
    CPPUNIT_ASSERT(Failures.at(0).Reason == errc::TaskTimeout && Failures.at(0).MayHaveRun);
    CPPUNIT_ASSERT_EQUAL(Started.size(), World.cancel(1).size());
  }
  if (auto When = section("when every attempt was refused")) {
    for (const auto &Start : World.decide().Starts)
      World.end(Start.Task, attempt_end::NotStarted);
    World.Clock.advance(1s);
    auto Failures = World.decide().Failures;
    CPPUNIT_ASSERT(Failures.at(0).Reason == errc::TaskTimeout && !Failures.at(0).MayHaveRun);
  }
});

// Guards against jobs that wait for what no server has, or beyond what can be done in time.
const story Admission("scheduler: admission", [] {
  if (auto When = section("a task larger than every server is refused for good")) {
    scheduler_world World(1);
    auto &Job = World.job(2);
    Job.mutable_tasks(1)->set_memory_mb(2000);
    auto Refusal = World.submit(1, Job);
    CPPUNIT_ASSERT(Refusal->Reason == errc::NoFitServer && Refusal->RetryAfterMs == 0);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), Refusal->Subject);
  }
  if (auto When = section("a task goes only to servers that have what it needs")) {
    scheduler_world World(2);
    World.addServer("large").set_memory_mb(4000);
    World.Scheduler->setServers(World.Servers);
    auto &Job = World.job(3);
    Job.mutable_tasks(0)->set_memory_mb(1001);
    Job.mutable_tasks(1)->set_memory_mb(4000);
    Job.mutable_tasks(2)->set_memory_mb(4000);
    CPPUNIT_ASSERT(!World.submit(1, Job));
    World.decide();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), World.runningOn("large"));
  }
  if (auto When = section("a pool without servers is refused for now")) {
    scheduler_world World(0);
    auto Refusal = World.submit(1, World.job(1));
    CPPUNIT_ASSERT(Refusal->Reason == errc::NoFitServer && Refusal->RetryAfterMs > 0);
  }
  if (auto When = section("the queue is bounded by count and bytes")) {
    scheduler_world Count(1, {.MaxQueuedTasks = 50, .MaxStretch = 0});
    CPPUNIT_ASSERT(!Count.submit(1, Count.job(50)));
    CPPUNIT_ASSERT(Count.submit(2, Count.job(1))->Reason == errc::QueueFull);
    scheduler_world Bytes(1, {.MaxQueuedBytes = 1000, .MaxStretch = 0});
    auto &Job = Bytes.job(1);
    Job.mutable_tasks(0)->set_payload(std::string(900, 'x'));
    CPPUNIT_ASSERT(!Bytes.submit(1, Job));
    CPPUNIT_ASSERT(Bytes.submit(2, Job)->Reason == errc::QueueFull);
    Bytes.decide();
    CPPUNIT_ASSERT(!Bytes.submit(2, Job));
  }
  if (auto When = section("a job behind a backlog that ends after its deadline is refused")) {
    scheduler_world World(1, {.MaxStretch = 0, .MaxBacklogMs = 0});
    World.submit(1, World.job(100), 60s);
    World.run(1000, in20Ms, completes);
    // Each job takes 200 ms of the server, so that 10 of them fill the 2 s and 12 the margin of 20 %.
    std::optional<admission_refusal> Refusal;
    job_key Key = 2;
    for (; Key < 100 && !Refusal; ++Key)
      Refusal = World.submit(Key, World.job(80), 2s);
    CPPUNIT_ASSERT(Refusal && Refusal->Reason == errc::DeadlineUnreachable && Refusal->RetryAfterMs > 0);
    CPPUNIT_ASSERT(Key >= 10 && Key <= 16);
    CPPUNIT_ASSERT(!World.submit(100, World.job(80), 60s));
  }
  if (auto When = section("a job whose own work takes longer than its deadline is refused")) {
    scheduler_world World(1);
    World.submit(1, World.job(100), 60s);
    World.run(1000, in20Ms, completes);
    CPPUNIT_ASSERT(World.submit(2, World.job(100), 100ms)->Reason == errc::DeadlineUnreachable);
    CPPUNIT_ASSERT(!World.submit(3, World.job(100), 1s));
  }
  if (auto When = section("the retry time grows with the backlog and is spread")) {
    std::vector<std::set<std::uint32_t>> Times;
    for (std::uint32_t Limit : {400U, 2000U}) {
      scheduler_world World(1, {.MaxQueuedTasks = Limit, .MaxStretch = 0, .MaxBacklogMs = 0});
      for (job_key Key = 1; Key <= Limit / 100; ++Key)
        CPPUNIT_ASSERT(!World.submit(Key, World.job(100), 600s));
      auto &Found = Times.emplace_back();
      for (job_key Key = 100; Key < 120; ++Key)
        Found.insert(World.submit(Key, World.job(1), 600s)->RetryAfterMs);
    }
    CPPUNIT_ASSERT(Times[0].size() > 10 && Times[1].size() > 10);
    CPPUNIT_ASSERT(*Times[0].rbegin() < *Times[1].begin());
  }
});

// Guards against new work on a server that is leaving, also when the platform's list lags behind.
const story Leaving("scheduler: leaving servers", [] {
  scheduler_world World(2);
  CPPUNIT_ASSERT(!World.submit(1, World.job(100), 60s));
  auto Starts = World.decide().Starts;
  auto OnFirst = World.runningOn("s0");
  if (auto When = section("by its own announcement, against a list that still names it live")) {
    World.Scheduler->markLeaving("s0");
    World.Clock.advance(3s);
    World.Scheduler->setServers(World.Servers);
  }
  if (auto When = section("by the list")) {
    World.Servers[0].set_state(schema::BACKEND_LEAVING);
    World.Scheduler->setServers(World.Servers);
  }
  if (auto When = section("by vanishing from the list")) {
    World.Servers.erase(World.Servers.begin());
    World.Scheduler->setServers(World.Servers);
  }
  for (const auto &Start : Starts)
    World.end(Start.Task);
  for (const auto &Start : World.decide().Starts)
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), Start.Server);
  CPPUNIT_ASSERT_EQUAL(std::size_t(8), OnFirst);
});

// Guards against servers that go on losing tasks, and against healthy ones that are shut out.
const story Quarantine("scheduler: quarantine", [] {
  scheduler_world World(20);
  int Broken = 1;
  auto Fails = [&](const std::string &Server) { return std::stoi(Server.substr(1)) < Broken; };
  auto RunMs = [&](const std::string &Server) { return Fails(Server) ? 2.0 : 20.0; };
  auto Outcome = [&](const task_ref &, const std::string &Server) {
    return Fails(Server) ? attempt_end::Failed : attempt_end::Completed;
  };
  job_key Key = 0;
  auto Feed = [&](int Ms) {
    for (int Step = 0; Step < Ms; Step += 10) {
      World.submit(++Key, World.job(16), 60s);
      World.run(10, RunMs, Outcome);
    }
  };
  if (auto When = section("a server that fails everything loses at most 10 tasks before its quarantine")) {
    Broken = 0;
    Feed(1000);
    Broken = 1;
    auto Before = World.StartsOn["s0"];
    while (World.stateOf("s0") != "quarantined" && World.StartsOn["s0"] < Before + 100)
      Feed(10);
    CPPUNIT_ASSERT(World.StartsOn["s0"] - Before <= 10);
    if (auto Then = section("it is readmitted by probes once it works")) {
      Broken = 0;
      Feed(3000);
      CPPUNIT_ASSERT_EQUAL(std::string("live"), World.stateOf("s0"));
      CPPUNIT_ASSERT(World.Scheduler->load().Probes >= 3);
    }
    if (auto Then = section("while it fails, probes become rare")) {
      auto Lost = World.StartsOn["s0"];
      Feed(8000);
      CPPUNIT_ASSERT(World.StartsOn["s0"] - Lost <= 4);
    }
  }
  if (auto When = section("at most 30 % of the servers are in quarantine")) {
    Broken = 12;
    Feed(3000);
    CPPUNIT_ASSERT_EQUAL(6, World.quarantined());
  }
  if (auto When = section("jobs that fail everywhere put no server in quarantine")) {
    Broken = 0;
    std::set<job_key> Poison;
    auto PoisonOutcome = [&](const task_ref &Task, const std::string &) {
      return Poison.contains(Task.Job) ? attempt_end::Failed : attempt_end::Completed;
    };
    for (int Step = 0; Step < 300; ++Step) {
      World.submit(++Key, World.job(8), 60s);
      Poison.insert(++Key);
      World.submit(Key, World.job(4, 100, "poison"), 60s);
      World.run(10, in20Ms, PoisonOutcome);
      CPPUNIT_ASSERT_EQUAL(0, World.quarantined());
    }
  }
});

// Guards against work that is sent to a server which no longer answers.
const story Stalled("scheduler: stalled server", [] {
  scheduler_world World(4);
  auto RunMs = [](const std::string &Server) { return Server == "s0" ? 1e6 : 20.0; };
  World.submit(1, World.job(100, 20), 600s);
  World.run(500, in20Ms, completes);
  World.submit(2, World.job(100, 20), 600s);
  World.run(2000, RunMs, completes);
  CPPUNIT_ASSERT_EQUAL(std::string("stalled"), World.stateOf("s0"));
  auto Before = World.StartsOn["s0"];
  for (job_key Key = 3; Key < 10; ++Key)
    World.submit(Key, World.job(32, 20), 600s);
  World.run(500, RunMs, completes);
  CPPUNIT_ASSERT_EQUAL(Before, World.StartsOn["s0"]);
  if (auto When = section("when a task of it completes, it gets work again")) {
    auto Found = std::ranges::find(World.Running, "s0", [](const auto &Item) { return Item.second; });
    World.end({Found->first.first, Found->first.second});
    CPPUNIT_ASSERT_EQUAL(std::string("live"), World.stateOf("s0"));
  }
  if (auto When = section("when all its tasks are lost, it is probed first")) {
    for (const auto &[Task, Server] : std::map(World.Running))
      if (Server == "s0")
        World.end({Task.first, Task.second}, attempt_end::Failed);
    CPPUNIT_ASSERT_EQUAL(std::string("quarantined"), World.stateOf("s0"));
  }
});

// Guards against teams that exceed their quotas.
const story Quotas("scheduler: quotas", [] {
  scheduler_world World(4, {.MaxStretch = 0, .MaxBacklogMs = 0, .QuotaShare = 0.5});
  if (auto When = section("running tasks")) {
    World.Service.mutable_quota()->set_max_running_tasks(10);
    CPPUNIT_ASSERT(!World.submit(1, World.job(50)));
    auto Starts = World.decide().Starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Starts.size());
    World.end(Starts[0].Task);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), World.decide().Starts.size());
    if (auto Then = section("another domain is lost and the share grows")) {
      World.Scheduler->setQuotaShare(1);
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), World.decide().Starts.size());
    }
    if (auto Then = section("another team is not held up")) {
      auto Other = scheduler_world::service("quotes", "glass2");
      CPPUNIT_ASSERT(!World.submit(2, World.job(5), Other));
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), World.decide().Starts.size());
    }
  }
  if (auto When = section("starts a second")) {
    World.Service.mutable_quota()->set_task_starts_per_s(200);
    CPPUNIT_ASSERT(!World.submit(1, World.job(100), 60s));
    CPPUNIT_ASSERT(!World.submit(2, World.job(100), 60s));
    World.run(1000, in20Ms, completes);
    auto Starts = World.StartsOf[1] + World.StartsOf[2];
    CPPUNIT_ASSERT(Starts >= 95 && Starts <= 111);
  }
  if (auto When = section("a job that the quota cannot start in time is refused")) {
    World.Service.mutable_quota()->set_task_starts_per_s(2);
    auto Refusal = World.submit(1, World.job(100), 5s);
    CPPUNIT_ASSERT(Refusal->Reason == errc::QuotaExceeded && Refusal->RetryAfterMs > 0);
  }
});

// Guards against a team that takes the share of others, and against jobs that never get their turn.
const story Fairness("scheduler: fair shares", [] {
  scheduler_world World(2, {.MaxStretch = 0, .MaxBacklogMs = 0});
  if (auto When = section("backlogged teams get starts by weight")) {
    auto One = scheduler_world::service("one", "one", 1);
    auto Three = scheduler_world::service("three", "three", 3);
    for (job_key Key = 1; Key <= 160; ++Key) {
      World.submit(Key, World.job(100), One, 6000s);
      World.submit(Key + 1000, World.job(100), Three, 6000s);
    }
    std::map<bool, int> Starts;
    World.run(10'000, in20Ms, completes);
    for (auto [Key, Count] : World.StartsOf)
      Starts[Key > 1000] += Count;
    double Ratio = static_cast<double>(Starts[true]) / Starts[false];
    CPPUNIT_ASSERT(Ratio > 2.4 && Ratio < 3.6);
  }
  if (auto When = section("a small team goes before the backlog of a large one")) {
    auto Large = scheduler_world::service("large", "large");
    for (job_key Key = 1; Key <= 100; ++Key)
      World.submit(Key, World.job(100), Large, 6000s);
    World.run(2000, in20Ms, completes);
    World.submit(1000, World.job(16), 60s);
    World.run(60, in20Ms, completes);
    CPPUNIT_ASSERT_EQUAL(16, World.StartsOf[1000]);
  }
  if (auto When = section("a long job starts in spite of a stream of short ones")) {
    World.run(1, in20Ms, completes);
    World.submit(1, World.job(100, 1000, "long"), 40s);
    job_key Key = 1;
    for (int Step = 0; Step < 1400 && World.StartsOf[1] < 100; ++Step) {
      World.submit(++Key, World.job(24, 20), 600s);
      World.run(25, in20Ms, completes);
    }
    CPPUNIT_ASSERT_EQUAL(100, World.StartsOf[1]);
  }
  if (auto When = section("tasks that wait for scarce servers do not hold up others")) {
    World.addServer("gpu").set_accelerators(1);
    World.Scheduler->setServers(World.Servers);
    for (job_key Key = 1; Key <= 20; ++Key) {
      auto &Job = World.job(100);
      for (auto &Task : *Job.mutable_tasks())
        Task.set_accelerators(1);
      World.submit(Key, Job, 600s);
    }
    World.submit(100, World.job(10), 600s);
    World.decide();
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), World.runningOn("gpu"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), World.runningOn("s0") + World.runningOn("s1"));
  }
});

// Guards against cancelled tasks that still start or still count, and against messages for queued ones.
const story Cancel("scheduler: wave of 10,000 cancellations", [] {
  scheduler_world World(1, {.MaxStretch = 0, .MaxBacklogMs = 0});
  for (job_key Key = 1; Key <= 100; ++Key)
    CPPUNIT_ASSERT(!World.submit(Key, World.job(100), 6000s));
  World.decide();
  std::size_t Stopped = 0;
  for (job_key Key = 1; Key <= 100; ++Key)
    Stopped += World.cancel(Key).size();
  CPPUNIT_ASSERT_EQUAL(std::size_t(8), Stopped);
  auto Load = World.Scheduler->load();
  CPPUNIT_ASSERT_EQUAL(0U, Load.QueuedTasks);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Load.QueuedBytes);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Load.BacklogMs, 1e-6);
  for (const auto &[Task, Server] : std::map(World.Running))
    World.end({Task.first, Task.second}, attempt_end::Failed);
  CPPUNIT_ASSERT(World.decide().Starts.empty());
  CPPUNIT_ASSERT(!World.Scheduler->nextWakeup() || World.Clock.now() < *World.Scheduler->nextWakeup());
});

// Guards against starts after a pause, when the peers have already given the jobs up.
const story Pause("scheduler: queued tasks are dropped after a pause", [] {
  scheduler_world World(1);
  CPPUNIT_ASSERT(!World.submit(1, World.job(9)));
  CPPUNIT_ASSERT(!World.submit(2, World.job(9)));
  World.decide();
  auto Dropped = World.Scheduler->dropQueued(errc::Paused);
  CPPUNIT_ASSERT_EQUAL(std::size_t(2), Dropped.size());
  CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(std::ranges::count(Dropped, true, &job_failure::MayHaveRun)));
  for (const auto &[Task, Server] : std::map(World.Running))
    World.end({Task.first, Task.second});
  auto Decisions = World.decide();
  CPPUNIT_ASSERT(Decisions.Starts.empty() && Decisions.Failures.empty());
});

// Guards against long tasks on slow servers once the speeds are known.
const story Speeds("scheduler: the longest task goes to the fastest server", [] {
  scheduler_world World(4);
  auto RunMs = [](const std::string &Server) { return Server == "s2" ? 10.0 : 40.0; };
  for (job_key Key = 1; Key <= 30; ++Key) {
    World.submit(Key, World.job(30, 40), 60s);
    World.run(50, RunMs, completes);
  }
  World.run(500, RunMs, completes);
  auto &Job = World.job(4, 10);
  Job.mutable_tasks(2)->set_declared_ms(100);
  CPPUNIT_ASSERT(!World.submit(100, Job));
  for (const auto &Start : World.decide().Starts)
    CPPUNIT_ASSERT_EQUAL(Start.Task.Index == 2, Start.Server == "s2");
});

} // namespace
