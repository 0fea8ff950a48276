#include "dispatcher_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yuccaplank::model {

pool_queue &dispatcher_scheduler::queueOf(pool_id Pool) {
  while (Queues.size() <= Pool)
    Queues.emplace_back(Traits.Fair);
  return Queues[Pool];
}

/// Flow of a job, by its service and the class of servers that it needs.
flow &dispatcher_scheduler::flowOf(const scheduled_job &Job) {
  const auto &Service = *Job.Job.Service;
  auto Class = Job.SameFit && !Job.Tasks.empty() ? Job.Tasks.front().Fit : None;
  return queueOf(Job.Pool).Queue.flowOf(Service.service(), Service.team(),
                                        Service.weight() == 0 ? 1 : Service.weight(), Class);
}

std::optional<runtime::time_point> dispatcher_scheduler::nextWakeup() const {
  if (!Failures.empty())
    return Clock.now();
  double Earliest = std::numeric_limits<double>::infinity();
  if (!Deadlines.empty())
    Earliest = Deadlines.begin()->first;
  if (!Timers.empty())
    Earliest = std::min(Earliest, Timers.top().AtMs);
  if (RecheckMs > 0)
    Earliest = std::min(Earliest, RecheckMs);
  if (!std::isfinite(Earliest))
    return std::nullopt;
  // Rounded up, so that the deadline or timer is due when the wakeup comes.
  return runtime::time_point(runtime::fromMs(Earliest) + runtime::duration(1000));
}

scheduler_load dispatcher_scheduler::load() const {
  scheduler_load Load;
  double Capacity = 0;
  double FreeCapacity = 0;
  double Work = 0;
  for (pool_id Pool = 0; Pool < Servers.pools(); ++Pool) {
    const auto &Totals = Servers.totals(Pool);
    Load.FreeSlots += Totals.FreeSlots;
    Load.TotalSlots += Totals.Slots;
    Capacity += Totals.Capacity;
    FreeCapacity += Totals.FreeCapacity;
    Work += Pool < Queues.size() ? Queues[Pool].QueuedWork : 0;
  }
  Load.RunningTasks = RunningTasks;
  Load.QueuedTasks = static_cast<std::uint32_t>(QueuedTasks);
  Load.QueuedBytes = QueuedBytes;
  Load.BacklogMs = Capacity > 0 ? Work / Capacity : 0;
  Load.FreeSpeed = Load.FreeSlots > 0 ? FreeCapacity / Load.FreeSlots : 0;
  Load.Started = Started;
  Load.RefusedStarts = RefusedStarts;
  Load.Probes = Probes;
  return Load;
}

std::vector<server_view> dispatcher_scheduler::servers() const {
  std::vector<server_view> Views;
  for (server_id Id = 0; Id < Servers.size(); ++Id)
    if (const auto &Server = Servers[Id]; Server.Listed)
      Views.push_back({Server.Id, Server.speed(), static_cast<std::uint32_t>(Server.Running.size()),
                       Server.Slots, Server.state()});
  return Views;
}

std::unique_ptr<scheduler> makeScheduler(const runtime::clock &Clock, scheduler_options Options) {
  return std::make_unique<dispatcher_scheduler>(Clock, std::move(Options));
}

} // namespace yuccaplank::model
