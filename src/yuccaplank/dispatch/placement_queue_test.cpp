#include "yuccaplank/dispatch/placement_queue.hpp"
#include "yuccaplank/testing/recording_queue.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr std::uint32_t TaskCpu = 27000;

// A placer with servers and jobs as these tests use them.
struct placer : testing::recording_queue {
  using recording_queue::recording_queue;

  void updateServer(const std::string &Name, double Slowness, std::uint32_t Cpu = 64000,
                    std::uint32_t Used = 0, std::uint64_t Token = 1, const std::string &Owner = "owner",
                    bool Evacuated = false, std::uint32_t Tasks = 0, float OverdueSlowness = 0) const {
    schema::server_state State;
    State.set_server(Name);
    State.set_pool("pool");
    State.mutable_capacity()->set_cpu(Cpu);
    State.mutable_capacity()->set_memory_mb(1000);
    State.mutable_used()->set_cpu(Used);
    State.set_slowness(static_cast<float>(std::log(Slowness)));
    State.set_usable(!Evacuated);
    State.set_evacuated(Evacuated);
    State.set_tasks(Tasks);
    State.set_overdue_slowness(OverdueSlowness);
    State.set_token(Token);
    Queue->updateServer(Owner, State);
  }

  // A job of equal tasks that has just arrived. Its objective is 1.6 times the task's time plus 60 ms.
  schema::place_job makeJob(std::uint64_t Id, std::uint32_t Tasks, std::uint32_t Ms,
                            std::uint32_t Priority = 0) {
    schema::place_job Job;
    Job.set_job(Id);
    Job.set_pool("pool");
    Job.mutable_size()->set_cpu(TaskCpu);
    Job.mutable_size()->set_memory_mb(64);
    Job.set_estimate_ms(Ms);
    Job.set_priority(Priority);
    auto Objective = static_cast<std::int32_t>(Ms * 8 / 5 + 60);
    Job.set_objective_left_ms(Objective);
    Job.set_late_left_ms(3 * Objective);
    Job.set_deadline_left_ms(3000);
    for (std::uint32_t Index = 0; Index < Tasks; ++Index)
      *Job.add_tasks() = toMessage({{job_id(Id), Index}, 1});
    return Job;
  }

  [[nodiscard]] std::vector<std::uint64_t> grantedJobs() const {
    std::vector<std::uint64_t> Jobs;
    for (const schema::grant &Grant : Grants)
      Jobs.push_back(Grant.task().job());
    return Jobs;
  }
};

// Guards against grants beyond a server's free capacity, and against capacity that stays reserved for ever
// because a grant was never used.
const test_case Capacity("placement queue: grants fit the free capacity and release it when they end", [] {
  placer Placer;
  Placer.updateServer("s1", 1);
  Placer.enqueue(Placer.makeJob(1, 3, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
  if (auto When = section("when the owner reports the grants as handled, the capacity stays in use")) {
    schema::server_state State;
    State.set_server("s1");
    State.set_pool("pool");
    State.mutable_capacity()->set_cpu(64000);
    State.mutable_capacity()->set_memory_mb(1000);
    State.mutable_used()->set_cpu(2 * TaskCpu);
    State.set_usable(true);
    for (const schema::grant &Grant : Placer.Grants)
      State.add_handled(Grant.id());
    Placer.Queue->updateServer("owner", State);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
    if (auto Then = section("and when a task ends, the third is granted")) {
      State.mutable_used()->set_cpu(TaskCpu);
      State.clear_handled();
      Placer.Queue->updateServer("owner", State);
      Placer.Queue->schedule();
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Placer.Grants.size());
    }
  }
  if (auto When = section("when a grant is declined, its capacity is granted again")) {
    schema::decline_grant Declined;
    Declined.set_id(Placer.Grants.front().id());
    Placer.Queue->decline("coordinator", Declined);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Placer.Grants.size());
  }
  if (auto When = section("when no VM reports on a grant, it expires and its capacity is granted again")) {
    Placer.Clock.advance(milliseconds(401));
    Placer.enqueue(Placer.makeJob(2, 1, 100));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Grants.size() > 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Placer.Queue->counters().GrantsExpired);
  }
  if (auto When = section("when the owner is lost, its servers get no more grants")) {
    Placer.Queue->removeVm("owner");
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Placer.Queue->counters().Servers);
  }
});

// Guards against grants for a former owner, whose report about a server arrives after that of the present
// owner.
const test_case Owners("placement queue: the owner with the highest fencing token counts", [] {
  placer Placer;
  Placer.updateServer("s1", 1, 64000, 0, 7, "new");
  Placer.updateServer("s1", 1, 64000, 0, 3, "former");
  Placer.enqueue(Placer.makeJob(1, 1, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::string("new"), Placer.Grants.at(0).owner());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Placer.Grants.at(0).token());
  if (auto When = section(
          "when the coordinator cannot reach the owner, it gets no servers of this owner for a while")) {
    schema::decline_grant Declined;
    Declined.set_id(Placer.Grants.at(0).id());
    Declined.set_unreachable_owner("new");
    Placer.Queue->decline("coordinator", Declined);
    Placer.enqueue(Placer.makeJob(1, 1, 100));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Grants.size());
    Placer.Clock.advance(milliseconds(301));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
  }
});

// Guards against more tasks for a server whose runs in progress take far too long.
const test_case OverdueSlowness("placement queue: the runs in progress of a server are overdue", [] {
  placer Placer;
  Placer.updateServer("hanging", 0.5, 64000, 0, 1, "owner", false, 0, 1);
  Placer.updateServer("ordinary", 1.2);
  Placer.enqueue(Placer.makeJob(1, 1, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::string("ordinary"), Placer.Grants.at(0).server());
});

// Guards against placing a long task on a server that is too slow for its objective although a faster one
// will be free soon. This happens when servers become slow, and in a burst of long jobs.
const test_case Speeds("placement queue: chooses among servers of different speed", [] {
  placer Placer;
  if (auto When = section("given free servers, the fastest is chosen")) {
    Placer.updateServer("slow", 1.6);
    Placer.updateServer("fast", 0.6);
    Placer.enqueue(Placer.makeJob(1, 1, 900));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), Placer.Grants.at(0).server());
  }
  if (auto When =
          section("given a full fast server and a slow one, a long task waits and a short one does not")) {
    Placer.updateServer("slow", 1.6);
    Placer.updateServer("fast", 0.6, 64000, 64000);
    Placer.enqueue(Placer.makeJob(1, 1, 900));
    Placer.enqueue(Placer.makeJob(2, 1, 60));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
    if (auto Then =
            section("when no server can meet the objective any more, the long task gets the slow server")) {
      Placer.Clock.advance(milliseconds(900));
      Placer.Queue->schedule();
      CPPUNIT_ASSERT((std::vector<std::uint64_t>{2, 1} == Placer.grantedJobs()));
    }
  }
  if (auto When = section("given only a server that is too slow, the long task gets it")) {
    Placer.updateServer("slow", 4);
    Placer.enqueue(Placer.makeJob(1, 1, 900));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{1} == Placer.grantedJobs()));
  }
});

// Guards against serving jobs in the wrong order and refusing the wrong jobs when there are more jobs than
// free capacity, as in a burst at the end of a month.
const test_case Burst("placement queue: order and refusals when capacity is short", [] {
  placer Placer;
  Placer.updateServer("s1", 1, 64000, 64000);
  auto FreeCapacityForTasks = [&](std::uint32_t Tasks) {
    Placer.updateServer("s1", 1, 64000, 64000 - Tasks * TaskCpu);
    Placer.Queue->schedule();
  };
  if (auto When = section("given jobs of two priorities, the more urgent one is served first")) {
    Placer.enqueue(Placer.makeJob(1, 1, 200, 1));
    Placer.enqueue(Placer.makeJob(2, 1, 200, 0));
    FreeCapacityForTasks(1);
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
  }
  if (auto When = section("given a started job, its last task is served before a new job")) {
    auto StartedJob = Placer.makeJob(1, 1, 200, 1);
    StartedJob.set_started(true);
    Placer.enqueue(Placer.makeJob(2, 1, 200, 0));
    Placer.enqueue(StartedJob);
    FreeCapacityForTasks(1);
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{1} == Placer.grantedJobs()));
  }
  if (auto When = section("given a job that will be late, a job that can still be in time is served first")) {
    Placer.enqueue(Placer.makeJob(1, 1, 200));
    Placer.Clock.advance(milliseconds(250));
    Placer.enqueue(Placer.makeJob(2, 1, 200));
    FreeCapacityForTasks(1);
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
  }
  if (auto When = section("given a job that has no value any more, it is refused at once")) {
    Placer.enqueue(Placer.makeJob(1, 1, 60));
    Placer.Clock.advance(milliseconds(450));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
    CPPUNIT_ASSERT(Placer.Rejections.at(0).retry_after_ms() > 0);
    if (auto Then = section("but a started job is not refused, since its tasks may still run")) {
      auto StartedJob = Placer.makeJob(2, 1, 60);
      StartedJob.set_started(true);
      Placer.enqueue(StartedJob);
      Placer.Clock.advance(milliseconds(450));
      Placer.Queue->schedule();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
    }
  }
  if (auto When =
          section("given a task that is too large for every server, its job is refused with this reason")) {
    auto Large = Placer.makeJob(1, 1, 60);
    Large.mutable_size()->set_cpu(65000);
    Placer.enqueue(Large);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Rejections.at(0).reason() == schema::REJECT_NO_SERVER_LARGE_ENOUGH);
  }
});

// Guards against jobs that are held in a burst until it is too late for them, although the placer sees that
// all servers stay in use, and against slow servers that idle meanwhile.
const test_case Overload("placement queue: more load than capacity", [] {
  placer Placer;
  constexpr std::uint32_t Servers = 40;
  auto SetUsed = [&](std::uint32_t Server, std::uint32_t Tasks) {
    Placer.updateServer(fmt::format("s{}", Server), 1, 2 * TaskCpu, Tasks * TaskCpu);
  };
  // Each millisecond, one of 80 tasks ends and another one starts: tasks take 80 ms.
  auto RunTasks = [&](std::uint32_t Milliseconds) {
    for (std::uint32_t Step = 0; Step < Milliseconds; ++Step) {
      Placer.Clock.advance(milliseconds(1));
      SetUsed(Step % Servers, 1);
      SetUsed(Step % Servers, 2);
    }
  };
  for (std::uint32_t Server = 0; Server < Servers; ++Server)
    SetUsed(Server, 2);
  RunTasks(2000);
  if (auto When =
          section("a job that would not begin in time is refused at once, one that would be is not")) {
    for (std::uint64_t Job = 1; Job <= 10; ++Job)
      Placer.enqueue(Placer.makeJob(Job, 20, 200));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
    CPPUNIT_ASSERT(Placer.Rejections.at(0).reason() == schema::REJECT_BACKLOG);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, Placer.Rejections.at(0).job());
    CPPUNIT_ASSERT(Placer.Rejections.at(0).retry_after_ms() >= 1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Placer.Queue->counters().RejectedByBacklog);
  }
  if (auto When = section("a started job is not refused")) {
    auto Started = Placer.makeJob(1, 80, 60);
    Started.set_started(true);
    Placer.enqueue(Started);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Rejections.empty());
  }
  if (auto When = section("a task takes a slow server when the faster ones are in use for too long")) {
    Placer.updateServer("slow", 1.7, TaskCpu);
    auto Ahead = Placer.makeJob(1, 40, 200);
    Ahead.set_started(true);
    Ahead.mutable_size()->set_memory_mb(2000);
    Placer.enqueue(Ahead);
    Placer.enqueue(Placer.makeJob(2, 1, 200));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
  }
});

// Guards against jobs that wait to their deadline although every server that could run them is evacuated, and
// against refusals while another failure domain has room.
const test_case Evacuation("placement queue: evacuated servers", [] {
  placer Placer;
  auto SetEvacuated = [&](const std::string &Server, std::uint32_t Cpu, bool Evacuated) {
    Placer.updateServer(Server, 1, Cpu, 0, 1, "owner", Evacuated);
  };
  SetEvacuated("s1", 96000, true);
  SetEvacuated("s2", 64000, false);
  if (auto When = section("given one domain is evacuated, tasks go to the others")) {
    Placer.enqueue(Placer.makeJob(1, 2, 60));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
    for (const schema::grant &Grant : Placer.Grants)
      CPPUNIT_ASSERT_EQUAL(std::string("s2"), Grant.server());
  }
  if (auto When = section("given only evacuated servers are large enough, the job is refused at once")) {
    auto Large = Placer.makeJob(1, 1, 60);
    Large.mutable_size()->set_cpu(80000);
    Placer.enqueue(Large);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Rejections.at(0).reason() == schema::REJECT_EVACUATED);
  }
  if (auto When = section("given all domains are evacuated, jobs are refused, later ones for longer")) {
    SetEvacuated("s2", 64000, true);
    Placer.enqueue(Placer.makeJob(1, 1, 60));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Rejections.at(0).reason() == schema::REJECT_EVACUATED);
    CPPUNIT_ASSERT_EQUAL(1000U, Placer.Rejections.at(0).retry_after_ms());
    Placer.Clock.advance(std::chrono::seconds(8));
    Placer.enqueue(Placer.makeJob(2, 1, 60));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(8000U, Placer.Rejections.at(1).retry_after_ms());
    Placer.Clock.advance(std::chrono::minutes(8));
    Placer.enqueue(Placer.makeJob(3, 1, 60));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(30000U, Placer.Rejections.at(2).retry_after_ms());
    if (auto Then = section("until one is taken back")) {
      SetEvacuated("s2", 64000, false);
      Placer.enqueue(Placer.makeJob(4, 1, 60));
      Placer.Queue->schedule();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Grants.size());
    }
  }
});

// Guards against a task that crashes its servers and takes others with it a second time, and against tasks
// under suspicion that wait for an idle server until their deadline.
const test_case Suspects("placement queue: tasks under which a server has crashed", [] {
  placer Placer;
  Placer.updateServer("s1", 1, 64000, TaskCpu, 1, "owner", false, 1);
  schema::place_job Job = Placer.makeJob(1, 2, 900);
  Job.add_suspects(0);
  Placer.enqueue(Job);
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Grants.size());
  CPPUNIT_ASSERT_EQUAL(1U, Placer.Grants.at(0).task().index());
  CPPUNIT_ASSERT(!Placer.Grants.at(0).alone());
  if (auto When = section("get a server without other tasks, and the server gets no more")) {
    Placer.updateServer("s2", 1.5);
    Placer.enqueue(Placer.makeJob(2, 2, 900));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s2"), Placer.Grants.at(1).server());
    CPPUNIT_ASSERT(Placer.Grants.at(1).alone());
  }
  if (auto When = section("share a server when none has become idle in time")) {
    Placer.updateServer("s2", 1, 64000, TaskCpu, 1, "owner", false, 1);
    Placer.Clock.advance(milliseconds(249));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Grants.size());
    Placer.Clock.advance(milliseconds(1));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
    CPPUNIT_ASSERT(!Placer.Grants.at(1).alone());
  }
});

// Guards against jobs that together exceed the memory of the placer, and against a VM whose callers shut out
// those of others.
const test_case WaitingMemory("placement queue: the memory of waiting tasks is limited", [] {
  placement_options Options;
  // Memory for 2 jobs of 10 tasks.
  Options.MaxWaitingBytes = 4000;
  placer Placer{Options};
  auto Submit = [&](std::uint64_t Id, const std::string &Origin, bool Started = false) {
    schema::place_job Job = Placer.makeJob(Id, 10, 100);
    Job.set_origin(Origin);
    Job.set_started(Started);
    Placer.enqueue(Job);
  };
  Submit(1, "r1");
  Submit(2, "r1");
  if (auto When = section("a VM whose jobs take as much as is free is refused at once")) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
    CPPUNIT_ASSERT(Placer.Rejections.back().reason() == schema::REJECT_MEMORY_LIMIT);
    CPPUNIT_ASSERT(Placer.Rejections.back().retry_after_ms() >= 1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Placer.Queue->counters().RejectedForMemory);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Queue->waitingJobs());
  }
  if (auto When = section("another VM is still served, also one behind the same coordinator")) {
    Submit(3, "r2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Queue->waitingJobs());
  }
  if (auto When = section("a job that has begun is never refused")) {
    Submit(3, "r1", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Queue->waitingJobs());
  }
  if (auto When = section("the memory of a job that is withdrawn is free again")) {
    schema::withdraw_job Withdrawal;
    Withdrawal.set_job(1);
    Placer.Queue->withdraw("coordinator", Withdrawal);
    Submit(3, "r1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Queue->waitingJobs());
  }
});

// Guards against a job of many small tasks that is granted at once: its start orders fill the memory of its
// coordinator, and a pass over the queue takes seconds.
const test_case ManySmallTasks("placement queue: a job of many small tasks is granted in portions", [] {
  constexpr std::size_t ServerPortion = 32;
  constexpr std::size_t CoordinatorPortion = 512;
  placer Placer;
  for (int Number = 0; Number < 20; ++Number)
    Placer.updateServer(fmt::format("s{}", Number), 1);
  schema::place_job Job = Placer.makeJob(1, 10'000, 5000);
  Job.mutable_size()->set_cpu(1);
  Job.mutable_size()->set_memory_mb(0);
  Placer.enqueue(Job);
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(CoordinatorPortion, Placer.Grants.size());
  std::map<std::string, std::size_t> GrantsByServer;
  for (const schema::grant &Grant : Placer.Grants)
    CPPUNIT_ASSERT(++GrantsByServer[Grant.server()] <= ServerPortion);
  if (auto When = section("when an owner has handled its portion, the next one is granted")) {
    schema::server_state State;
    State.set_server(Placer.Grants.front().server());
    State.set_pool("pool");
    State.mutable_capacity()->set_cpu(64000);
    State.set_usable(true);
    for (const schema::grant &Grant : Placer.Grants)
      if (Grant.server() == State.server())
        State.add_handled(Grant.id());
    std::size_t Handled = static_cast<std::size_t>(State.handled_size());
    Placer.Queue->updateServer("owner", State);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(CoordinatorPortion + Handled, Placer.Grants.size());
  }
  if (auto When = section("jobs of another coordinator get servers meanwhile")) {
    Placer.Queue->enqueue("other", Placer.makeJob(2, 1, 100));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Placer.Grants.back().task().job());
  }
});

// Guards against a server that keeps the grants of its former owner, which the new owner has never seen.
const test_case GrantsOfLostOwner("placement queue: a server's grants end with its owner", [] {
  placer Placer;
  Placer.updateServer("s1", 1);
  Placer.enqueue(Placer.makeJob(1, 2, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
  Placer.Queue->removeVm("owner");
  Placer.updateServer("s1", 1, 64000, 0, 2, "heir");
  Placer.enqueue(Placer.makeJob(2, 2, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Placer.Grants.size());
});

} // namespace
