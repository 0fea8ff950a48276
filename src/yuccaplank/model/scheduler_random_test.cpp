#include "scheduler_world.hpp"
#include "yuccaplank/testing/story.hpp"

#include <pcg_random.hpp>

#include <random>

using namespace yuccaplank;
using namespace yuccaplank::model;
using yuccaplank::testing::story;

namespace {

class random_walk {
public:
  random_walk(std::uint64_t Seed, const std::string &Strategy)
      : World(6, {.Strategy = Strategy, .MaxQueuedTasks = 500, .MaxStretch = 0, .MaxBacklogMs = 0}),
        Random(Seed) {
    for (int Index = 0; Index < 4; ++Index) {
      auto Name = fmt::format("service{}", Index);
      Services.push_back(scheduler_world::service(Name, fmt::format("team{}", Index / 2), Index + 1U));
    }
    Services[1].mutable_quota()->set_max_running_tasks(7);
    Services[2].mutable_quota()->set_task_starts_per_s(50);
    Services[3].mutable_retry()->set_max_attempts(5);
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      act(pick(100));
      World.decide();
      check();
    }
    drain();
  }

private:
  std::uint32_t pick(std::uint32_t Bound) { return Random(Bound); }

  void act(std::uint32_t Dice) {
    if (Dice < 15)
      submit();
    else if (Dice < 75)
      endOne();
    else if (Dice < 92)
      World.Clock.advance(std::chrono::milliseconds(pick(30)));
    else if (Dice < 94)
      World.cancel(1 + pick(static_cast<std::uint32_t>(Key) + 1));
    else if (Dice < 97)
      changeServers();
    else if (Dice < 98)
      World.Clock.advance(std::chrono::seconds(pick(4)));
    else if (Dice == 98 && pick(10) == 0)
      for (const auto &Dropped : World.Scheduler->dropQueued(runtime::errc::Paused))
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), World.Active.erase(Dropped.Job));
  }

  void submit() {
    auto &Job = World.job(static_cast<int>(1 + pick(20)), 1 + pick(300), fmt::format("kind{}", pick(5)));
    for (auto &Task : *Job.mutable_tasks())
      Task.set_accelerators(pick(20) == 0 ? 1 : 0);
    Job.set_repeatable(pick(2) == 0);
    World.submit(++Key, Job, Services[pick(4)], std::chrono::milliseconds(500 + pick(20'000)));
  }

  void endOne() {
    if (World.Running.empty())
      return;
    auto Found = std::next(World.Running.begin(), pick(static_cast<std::uint32_t>(World.Running.size())));
    auto Dice = pick(40);
    auto End = Dice == 0                           ? attempt_end::Failed
               : Dice < 4 || Found->second == "s1" ? attempt_end::NotStarted
                                                   : attempt_end::Completed;
    World.end({Found->first.first, Found->first.second}, End);
  }

  void changeServers() {
    auto &Entry = World.Servers[pick(static_cast<std::uint32_t>(World.Servers.size()))];
    Entry.set_state(pick(3) == 0 ? schema::BACKEND_LEAVING : schema::BACKEND_LIVE);
    Entry.set_accelerators(pick(2));
    if (pick(10) == 0)
      std::ranges::shuffle(World.Servers, Random);
    if (pick(10) == 0 && World.Servers.size() > 2)
      World.Servers.pop_back();
    if (World.Servers.size() < 6 && pick(3) == 0)
      World.addServer(fmt::format("n{}", ++Added));
    World.Scheduler->setServers(World.Servers);
  }

  void check() {
    auto Load = World.Scheduler->load();
    CPPUNIT_ASSERT_EQUAL(World.Running.size(), static_cast<std::size_t>(Load.RunningTasks));
    CPPUNIT_ASSERT(Load.FreeSlots <= Load.TotalSlots);
    CPPUNIT_ASSERT(World.quarantined() <= static_cast<int>(World.Servers.size()) * 3 / 10);
    if (Load.QueuedTasks == 0)
      CPPUNIT_ASSERT(Load.QueuedBytes == 0 && Load.BacklogMs < 1e-3);
  }

  /// Whatever has happened, ends and time empty the scheduler.
  void drain() {
    for (int Step = 0; Step < 200'000 && World.Scheduler->load().QueuedTasks > 0; ++Step) {
      World.Clock.advance(std::chrono::milliseconds(10));
      World.decide();
      for (const auto &[Task, Server] : std::map(World.Running))
        World.end({Task.first, Task.second});
    }
    for (const auto &[Task, Server] : std::map(World.Running))
      World.end({Task.first, Task.second});
    World.decide();
    auto Load = World.Scheduler->load();
    CPPUNIT_ASSERT_EQUAL(0U, Load.QueuedTasks);
    CPPUNIT_ASSERT_EQUAL(0U, Load.RunningTasks);
  }

  scheduler_world World;
  pcg32 Random;
  std::vector<schema::service_document> Services;
  job_key Key = 0;
  int Added = 0;
};

// Guards against breaches of the promises in any order of events: second starts, too many tasks on a server,
// starts on servers that left, starts and failures of ended jobs, and totals that drift.
const story RandomOperations("scheduler: random operations keep the promises", [] {
  for (const auto *Strategy : {"critical_time", "fifo", "random", "round_robin", "least_outstanding"})
    for (std::uint64_t Seed = 1; Seed <= 4; ++Seed)
      random_walk(Seed, Strategy).run(4000);
  // Rounding errors passed for capacity when no server was usable.
  random_walk(58, "critical_time").run(4000);
});

} // namespace
