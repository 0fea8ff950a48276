#include "queued_tasks.hpp"

#include "yuccaplank/model/scheduler.hpp"

#include <fmt/format.h>
#include <malloc.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

namespace yuccaplank::bench {
namespace {

// A fleet of the size expected in two years (docs/design.md, section 1.4): one failure domain and all teams.
constexpr int QueuedServers = 143;
constexpr int QueuedSlots = 8;
constexpr int QueuedTeams = 330;

std::vector<schema::backend_entry> makeBackends() {
  std::vector<schema::backend_entry> Entries(QueuedServers);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    Entries[Index].set_id(fmt::format("s{}", Index));
    Entries[Index].set_pool("main");
    Entries[Index].set_slots(QueuedSlots);
  }
  return Entries;
}

std::vector<schema::service_document> makeServices() {
  std::vector<schema::service_document> Services(QueuedTeams);
  for (std::size_t Index = 0; Index < Services.size(); ++Index) {
    Services[Index].set_service(fmt::format("service{}", Index));
    Services[Index].set_team(fmt::format("team{}", Index));
    Services[Index].set_pool("main");
  }
  return Services;
}

// Jobs of 50 tasks: those that fill the slots, and those that stay queued.
std::vector<schema::job> makeJobs(int Queued, std::uint64_t Seed) {
  constexpr int TasksPerJob = 50;
  constexpr int RunningTasks = 1200;
  pcg32 Random(Seed);
  std::vector<schema::job> Jobs(static_cast<std::size_t>(Queued + RunningTasks) / TasksPerJob);
  for (auto &Job : Jobs)
    for (int Index = 0; Index < TasksPerJob; ++Index) {
      auto &Task = *Job.add_tasks();
      Task.set_name(fmt::format("t{}", Index));
      Task.set_kind("render");
      Task.set_declared_ms(std::lognormal_distribution<>(5.4, 0.6)(Random));
    }
  return Jobs;
}

} // namespace

queued_result runQueued(int Queued, std::uint64_t Seed) {
  runtime::manual_clock Clock;
  model::scheduler_options Scheduler;
  Scheduler.MaxStretch = 0;
  Scheduler.MaxBacklogMs = 0;
  Scheduler.Seed = Seed;
  auto Instance = model::makeScheduler(Clock, Scheduler);
  Instance->setServers(makeBackends());
  auto Services = makeServices();
  auto Jobs = makeJobs(Queued, Seed);
  auto Before = mallinfo2().uordblks;
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index)
    Instance->submit(
        {Index + 1, &Jobs[Index], &Services[Index % Services.size()], Clock.now() + std::chrono::hours(1)});
  auto Memory = mallinfo2().uordblks - Before;
  queued_result Result;
  Result.BytesPerTask = static_cast<double>(Memory) / Instance->load().QueuedTasks;
  std::queue<model::task_start> Running;
  int Steps = std::min(20'000, Queued);
  auto Start = runtime::systemClock().now();
  for (int Step = 0; Step < Steps; ++Step) {
    for (auto &Each : Instance->takeDecisions().Starts)
      Running.push(std::move(Each));
    Clock.advance(std::chrono::microseconds(150));
    Instance->attemptEnded(Running.front().Task, Running.front().Server, model::attempt_end::Completed);
    Running.pop();
  }
  Result.UsPerTask =
      runtime::toMs(runtime::systemClock().now() - Start) * 1000 / (Steps + QueuedServers * QueuedSlots);
  return Result;
}

} // namespace yuccaplank::bench
