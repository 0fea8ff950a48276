// Tests of the placement queue with jobs that prefer a rack.
#include "yuccaplank/dispatch/placement_queue.hpp"
#include "yuccaplank/testing/recording_queue.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <vector>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr std::uint32_t TaskCpu = 2000;
constexpr std::uint32_t ServerCpu = 8000;
using racks = std::vector<std::string>;

// A placer with servers that are named after their rack, such as "a1".
struct placer : testing::recording_queue {
  void updateServer(const std::string &Name, std::uint32_t Used, bool Evacuated = false) const {
    schema::server_state State;
    State.set_server(Name);
    State.set_pool("pool");
    State.set_rack(Name.substr(0, 1));
    State.mutable_capacity()->set_cpu(ServerCpu);
    State.mutable_used()->set_cpu(Used);
    State.set_usable(!Evacuated);
    State.set_evacuated(Evacuated);
    State.set_token(1);
    Queue->updateServer("owner", State);
  }

  // A job of tasks of 100 ms that prefers a rack, with a factor of 2 elsewhere.
  static schema::place_job makeJob(std::uint64_t Id, const std::string &Rack, std::uint32_t Tasks = 1) {
    schema::place_job Job;
    Job.set_job(Id);
    Job.set_pool("pool");
    Job.mutable_size()->set_cpu(TaskCpu);
    Job.set_estimate_ms(100);
    Job.set_objective_left_ms(1000);
    Job.set_late_left_ms(3000);
    Job.set_deadline_left_ms(5000);
    for (std::uint32_t Index = 0; Index < Tasks; ++Index)
      *Job.add_tasks() = toMessage({{job_id(Id), Index}, 1});
    Job.set_rack(Rack);
    if (!Rack.empty())
      Job.set_remote_factor(2);
    return Job;
  }

  void scheduleAfter(int Ms) {
    Clock.advance(milliseconds(Ms));
    Queue->schedule();
  }
  [[nodiscard]] racks grantedRacks() const {
    racks Result;
    for (const schema::grant &Grant : Grants)
      Result.push_back(Grant.server().substr(0, 1));
    return Result;
  }
};

// Guards against tasks that run far from their data without need, wait without end, or hold up others.
const test_case Placement("placement near data: a task waits for its rack within bounds", [] {
  placer Placer;
  Placer.updateServer("a1", 0);
  Placer.updateServer("b1", 0);
  if (auto When = section("when the rack has a free server, the task gets it")) {
    Placer.enqueue(Placer.makeJob(1, "b"));
    Placer.scheduleAfter(0);
    CPPUNIT_ASSERT(racks{"b"} == Placer.grantedRacks());
    CPPUNIT_ASSERT_EQUAL(0.0F, Placer.Grants[0].expected_factor());
  }
  if (auto When = section("when the rack is full, the task waits for the next free server there")) {
    Placer.updateServer("b1", ServerCpu);
    Placer.enqueue(Placer.makeJob(1, "b"));
    Placer.scheduleAfter(0);
    CPPUNIT_ASSERT(Placer.Grants.empty());
    if (auto Free = section("and takes it")) {
      Placer.updateServer("b1", ServerCpu - TaskCpu);
      Placer.scheduleAfter(5);
      CPPUNIT_ASSERT(racks{"b"} == Placer.grantedRacks());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Placer.Queue->counters().Locality.WaitsPaid);
    }
    if (auto Never = section("but not longer than a run elsewhere takes in addition")) {
      for (int Ms = 0; Ms < 100; Ms += 10)
        Placer.scheduleAfter(10);
      CPPUNIT_ASSERT(racks{"a"} == Placer.grantedRacks());
      CPPUNIT_ASSERT_EQUAL(2.0F, Placer.Grants[0].expected_factor());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Placer.Queue->counters().Locality.WaitsGivenUp);
    }
    if (auto Others = section("and a job without a place is served as before")) {
      Placer.enqueue(Placer.makeJob(2, ""));
      Placer.scheduleAfter(0);
      CPPUNIT_ASSERT(racks{"a"} == Placer.grantedRacks());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Placer.Grants[0].task().job());
    }
    if (auto Gone = section("and goes elsewhere at once when the rack is evacuated or gone")) {
      Placer.updateServer("b1", ServerCpu, true);
      Placer.scheduleAfter(10);
      CPPUNIT_ASSERT(racks{"a"} == Placer.grantedRacks());
    }
  }
  if (auto When = section("when the rack is unknown, the task goes elsewhere at once")) {
    Placer.enqueue(Placer.makeJob(1, "z"));
    Placer.scheduleAfter(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Grants.size());
    CPPUNIT_ASSERT_EQUAL(2.0F, Placer.Grants[0].expected_factor());
  }
  if (auto When =
          section("when more tasks want the rack than it serves soon, the others go elsewhere at once")) {
    Placer.updateServer("b1", ServerCpu);
    Placer.enqueue(Placer.makeJob(1, "b", 8));
    Placer.scheduleAfter(0);
    // Four cores' worth of runs end each 100 ms, which is what a run elsewhere takes in addition.
    CPPUNIT_ASSERT(racks(4, "a") == Placer.grantedRacks());
  }
  if (auto When = section("when the whole pool is full, no wait by choice begins")) {
    Placer.updateServer("a1", ServerCpu);
    Placer.updateServer("b1", ServerCpu);
    Placer.enqueue(Placer.makeJob(1, "b"));
    Placer.scheduleAfter(0);
    Placer.scheduleAfter(2100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placer.Rejections.size());
  }
  if (auto When = section("when a job waits for its rack, it is not rejected while it can be in time")) {
    // Its time to wait, 40 % of the deadline, is shorter than the time that it gains on its rack.
    schema::place_job Job = Placer.makeJob(1, "b");
    Job.set_deadline_left_ms(1000);
    Job.set_estimate_ms(500);
    Placer.updateServer("b1", ServerCpu);
    Placer.enqueue(Job);
    Placer.scheduleAfter(0);
    Placer.scheduleAfter(450);
    CPPUNIT_ASSERT(Placer.Rejections.empty());
    Placer.updateServer("b1", 0);
    Placer.scheduleAfter(1);
    CPPUNIT_ASSERT(racks{"b"} == Placer.grantedRacks());
  }
});

// Guards against jobs whose tasks are spread over racks although one rack has room for all of them.
const test_case SameRack("placement near data: tasks of a job with same_rack share a rack", [] {
  placer Placer;
  Placer.updateServer("a1", ServerCpu - TaskCpu);
  Placer.updateServer("b1", ServerCpu - 2 * TaskCpu);
  Placer.updateServer("b2", ServerCpu - 2 * TaskCpu);
  schema::place_job Job = Placer.makeJob(1, "", 3);
  Job.set_same_rack(true);
  Job.set_remote_factor(2);
  if (auto When = section("when one rack has room for all waiting tasks, they go there")) {
    Placer.enqueue(Job);
    Placer.scheduleAfter(0);
    CPPUNIT_ASSERT(racks(3, "b") == Placer.grantedRacks());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Placer.Grants[0].rack());
  }
  if (auto When = section("when no rack has room for all, the rest waits for the rack of the first ones")) {
    Placer.updateServer("b2", ServerCpu);
    Placer.enqueue(Job);
    Placer.scheduleAfter(0);
    CPPUNIT_ASSERT(racks(2, "b") == Placer.grantedRacks());
    Placer.updateServer("b2", ServerCpu - TaskCpu);
    Placer.scheduleAfter(5);
    CPPUNIT_ASSERT(racks(3, "b") == Placer.grantedRacks());
  }
});

} // namespace
