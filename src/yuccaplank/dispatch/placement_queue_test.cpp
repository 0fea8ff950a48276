#include "yuccaplank/dispatch/placement_queue.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr std::uint32_t TaskCpu = 27000;

// A placer with what it has sent.
struct placer {
  runtime::manual_clock Clock;
  std::vector<schema::grant> Grants;
  std::vector<schema::reject_job> Rejections;
  std::unique_ptr<placement_queue> Queue =
      makePlacementQueue(Clock, [this](const std::string &, const schema::dispatch_message &Message) {
        if (Message.has_grant())
          Grants.push_back(Message.grant());
        if (Message.has_reject())
          Rejections.push_back(Message.reject());
      });

  void server(const std::string &Name, double Slowness, std::uint32_t Cpu = 64000, std::uint32_t Used = 0,
              std::uint64_t Token = 1, const std::string &Owner = "owner") const {
    schema::server_state State;
    State.set_server(Name);
    State.set_pool("pool");
    State.mutable_capacity()->set_cpu(Cpu);
    State.mutable_capacity()->set_memory_mb(1000);
    State.mutable_used()->set_cpu(Used);
    State.set_slowness(static_cast<float>(std::log(Slowness)));
    State.set_usable(true);
    State.set_token(Token);
    Queue->updateServer(Owner, State);
  }

  // A job of equal tasks that has just arrived; its objective is 1.6 times the task's time and 60 ms.
  schema::place_job job(std::uint64_t Id, std::uint32_t Tasks, std::uint32_t Ms, std::uint32_t Priority = 0) {
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
      *Job.add_tasks() = toMessage({{Id, Index}, 1});
    return Job;
  }

  void place(const schema::place_job &Job) const { Queue->place("coordinator", Job); }
  [[nodiscard]] std::vector<std::uint64_t> grantedJobs() const {
    std::vector<std::uint64_t> Jobs;
    for (const schema::grant &Grant : Grants)
      Jobs.push_back(Grant.task().job());
    return Jobs;
  }
};

// Guards against starts beyond a server's room, and against room that stays reserved for ever.
const test_case Room("placement queue: room", [] {
  placer Placer;
  Placer.server("s1", 1);
  Placer.place(Placer.job(1, 3, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
  if (auto When = section("when the owner tells that the grants are in use, no more is granted")) {
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
    if (auto Then = section("and a task that ends makes room for the third")) {
      State.mutable_used()->set_cpu(TaskCpu);
      State.clear_handled();
      Placer.Queue->updateServer("owner", State);
      Placer.Queue->schedule();
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Placer.Grants.size());
    }
  }
  if (auto When = section("when a grant is declined, its room is granted again")) {
    schema::decline_grant Declined;
    Declined.set_id(Placer.Grants.front().id());
    Placer.Queue->decline("coordinator", Declined);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Placer.Grants.size());
  }
  if (auto When = section("when nothing is heard of a grant, its room is granted again")) {
    Placer.Clock.advance(milliseconds(401));
    Placer.place(Placer.job(2, 1, 100));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Grants.size() > 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Placer.Queue->counters().GrantsExpired);
  }
  if (auto When = section("when the owner is lost, its servers get nothing more")) {
    Placer.Queue->removeVm("owner");
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Placer.Queue->counters().Servers);
  }
});

// Guards against the state of a former owner hiding that of the present one.
const test_case Owners("placement queue: two owners of a server", [] {
  placer Placer;
  Placer.server("s1", 1, 64000, 0, 7, "new");
  Placer.server("s1", 1, 64000, 0, 3, "former");
  Placer.place(Placer.job(1, 1, 100));
  Placer.Queue->schedule();
  CPPUNIT_ASSERT_EQUAL(std::string("new"), Placer.Grants.at(0).owner());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Placer.Grants.at(0).token());
  if (auto When =
          section("when the coordinator cannot reach the owner, its servers are left out for a while")) {
    schema::decline_grant Declined;
    Declined.set_id(Placer.Grants.at(0).id());
    Declined.set_unreachable_owner("new");
    Placer.Queue->decline("coordinator", Declined);
    Placer.place(Placer.job(1, 1, 100));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Grants.size());
    Placer.Clock.advance(milliseconds(301));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Placer.Grants.size());
  }
});

// Guards against long tasks on servers on which they miss their objective although a faster one is free soon:
// the pattern of servers that turn slow, and of a burst of long jobs.
const test_case Speeds("placement queue: servers of different speed", [] {
  placer Placer;
  if (auto When = section("given free servers, the fastest is taken")) {
    Placer.server("slow", 1.6);
    Placer.server("fast", 0.6);
    Placer.place(Placer.job(1, 1, 900));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), Placer.Grants.at(0).server());
  }
  if (auto When =
          section("given a full fast server and a slow one, a long task waits and a short one does not")) {
    Placer.server("slow", 1.6);
    Placer.server("fast", 0.6, 64000, 64000);
    Placer.place(Placer.job(1, 1, 900));
    Placer.place(Placer.job(2, 1, 60));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
    if (auto Then = section("when waiting no longer helps, the long task takes the slow server")) {
      Placer.Clock.advance(milliseconds(900));
      Placer.Queue->schedule();
      CPPUNIT_ASSERT((std::vector<std::uint64_t>{2, 1} == Placer.grantedJobs()));
    }
  }
  if (auto When = section("given no server that suffices, the long task takes what there is")) {
    Placer.server("slow", 4);
    Placer.place(Placer.job(1, 1, 900));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{1} == Placer.grantedJobs()));
  }
});

// Guards against a month-end burst in which everything is late: who is served first, and who is refused when.
const test_case Burst("placement queue: more jobs than room", [] {
  placer Placer;
  Placer.server("s1", 1, 64000, 64000);
  auto Free = [&](std::uint32_t Tasks) {
    Placer.server("s1", 1, 64000, 64000 - Tasks * TaskCpu);
    Placer.Queue->schedule();
  };
  if (auto When = section("given jobs of two priorities, the more urgent one is served first")) {
    Placer.place(Placer.job(1, 1, 200, 1));
    Placer.place(Placer.job(2, 1, 200, 0));
    Free(1);
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
  }
  if (auto When = section("given a job that has begun, its last task goes before a new job")) {
    auto Begun = Placer.job(1, 1, 200, 1);
    Begun.set_started(true);
    Placer.place(Placer.job(2, 1, 200, 0));
    Placer.place(Begun);
    Free(1);
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{1} == Placer.grantedJobs()));
  }
  if (auto When = section("given a job that can no longer be in time, one that can goes first")) {
    Placer.place(Placer.job(1, 1, 200));
    Placer.Clock.advance(milliseconds(250));
    Placer.place(Placer.job(2, 1, 200));
    Free(1);
    CPPUNIT_ASSERT((std::vector<std::uint64_t>{2} == Placer.grantedJobs()));
  }
  if (auto When = section("given a job that is worth nothing any more, it is refused at once")) {
    Placer.place(Placer.job(1, 1, 60));
    Placer.Clock.advance(milliseconds(450));
    Placer.Queue->schedule();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
    CPPUNIT_ASSERT(Placer.Rejections.at(0).retry_after_ms() > 0);
    if (auto Then = section("but not when it has begun, since its tasks may still run")) {
      auto Begun = Placer.job(2, 1, 60);
      Begun.set_started(true);
      Placer.place(Begun);
      Placer.Clock.advance(milliseconds(450));
      Placer.Queue->schedule();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
    }
  }
  if (auto When = section("given a task that no server can hold, it is refused with the reason")) {
    auto Large = Placer.job(1, 1, 60);
    Large.mutable_size()->set_cpu(65000);
    Placer.place(Large);
    Placer.Queue->schedule();
    CPPUNIT_ASSERT(Placer.Rejections.at(0).reason() == schema::REJECT_NO_SERVER_LARGE_ENOUGH);
  }
});

} // namespace
