#include "dispatcher_scheduler.hpp"

#include <algorithm>

namespace yuccaplank::model {
namespace {

/// Mean backoff before the second attempt; doubles with every further attempt.
constexpr double RetryBackoffMs = 5;
/// Time until one more slot is tried after a refused start; doubles with every further refusal.
constexpr double LimitRecoveryMs = 100;
constexpr std::uint32_t MaxRecoveryDoublings = 5;
/// Time after which a server with an overdue task is looked at again when other tasks of it complete.
constexpr double StallRecheckMs = 500;

} // namespace

using runtime::errc;

void dispatcher_scheduler::attemptEnded(const task_ref &Task, const std::string &ServerName,
                                        attempt_end End) {
  auto Server = Servers.find(ServerName);
  attempt Ended;
  if (Server == None || !Servers.end(Server, Task, Ended))
    return;
  --RunningTasks;
  Ended.Flow->Service->Quota.ended();
  queueOf(Ended.Pool).Queue.outstanding(*Ended.Flow->Team, -1);
  auto Found = Jobs.find(Task.Job);
  bool Current = Found != Jobs.end() && !Found->second.Ended;
  // A task of an ended job may have failed because it was stopped, which says nothing about its server.
  if (End == attempt_end::NotStarted) {
    ++RefusedStarts;
    lowerLimit(Server);
    if (Ended.Probe && Servers[Server].Health.Quarantined)
      enterQuarantine(Servers[Server].Health, nowMs(), unit());
  } else if (Current || End == attempt_end::Completed) {
    judge(Ended, Server, End == attempt_end::Failed);
  }
  if (End == attempt_end::Completed)
    learn(Ended, Server);
  endStall(Server, End);
  if (Found == Jobs.end())
    return;
  auto &Job = Found->second;
  std::erase(Job.Running, task_on_server(Task.Index, Server));
  if (End != attempt_end::NotStarted)
    Job.MayHaveRun = true;
  if (Job.Ended) {
    if (Job.Running.empty())
      forget(Job);
    return;
  }
  if (End == attempt_end::Failed)
    failJob(Job, errc::ServerError, ServerName);
  else if (End == attempt_end::NotStarted)
    retryLater(Job, Task.Index, Server);
  else if (Job.Running.empty() && Job.queuedTasks() == 0)
    forget(Job);
}

void dispatcher_scheduler::learn(const attempt &Ended, server_id Server) {
  auto &State = Servers[Server];
  Estimator.observe(Ended.Kind, Ended.DeclaredMs, nowMs() - Ended.StartedMs, State.Speed);
  Servers.refresh(Server);
}

/// A completed task ends a stall. A stalled server that lost all its tasks is tried again by probes.
void dispatcher_scheduler::endStall(server_id Server, attempt_end End) {
  auto &State = Servers[Server];
  if (End == attempt_end::Completed)
    State.LastEndMs = nowMs();
  if (!State.Stalled || (End != attempt_end::Completed && !State.Running.empty()))
    return;
  State.Stalled = false;
  if (End != attempt_end::Completed && !State.Health.Quarantined)
    quarantine(Server);
  Servers.refresh(Server);
}

/// Starts a quarantine unless too many servers are in one.
void dispatcher_scheduler::quarantine(server_id Server) {
  if (!Servers[Server].Listed || Quarantined.size() >= quarantineLimit(Servers.listed()))
    return;
  enterQuarantine(Servers[Server].Health, nowMs(), unit());
  Quarantined.push_back(Server);
}

/// Takes the outcome into the server's health, and starts or ends its quarantine.
void dispatcher_scheduler::judge(const attempt &Ended, server_id Server, bool Failed) {
  auto &State = Servers[Server];
  if (!State.Listed)
    return;
  double Now = nowMs();
  auto &Health = State.Health;
  if (Health.Quarantined) {
    if (Ended.Probe && Failed)
      enterQuarantine(Health, Now, unit());
    else if (Ended.Probe && probeSucceeded(Health, Now))
      readmit(Server);
    return;
  }
  // Success of an attempt that began before the last failure does not show that the server works now.
  if (!Failed && Health.LastFailureMs > 0 && Ended.StartedMs <= Health.LastFailureMs)
    return;
  if (Failed)
    Health.LastFailureMs = Now;
  bool Condemned = recordOutcome(Health, FailureRates.rate(Ended.Kind), Failed);
  FailureRates.record(Ended.Kind, Server, Failed, Servers.listed());
  if (Condemned)
    quarantine(Server);
  Servers.refresh(Server);
}

void dispatcher_scheduler::readmit(server_id Server) {
  Servers[Server].Health = {.BackoffMs = Servers[Server].Health.BackoffMs};
  std::erase(Quarantined, Server);
  Servers.refresh(Server);
}

/// After a refused start another dispatcher may be using the server, or it is gone.
void dispatcher_scheduler::lowerLimit(server_id Server) {
  auto &State = Servers[Server];
  State.Limit = static_cast<std::uint32_t>(State.Running.size());
  ++State.Refusals;
  if (!State.LimitPending)
    planRaise(Server);
  Servers.refresh(Server);
}

void dispatcher_scheduler::planRaise(server_id Server) {
  auto &State = Servers[Server];
  State.LimitPending = true;
  auto Doublings = std::min(State.Refusals - 1, MaxRecoveryDoublings);
  double DelayMs = LimitRecoveryMs * (1U << Doublings) * (0.75 + 0.5 * unit());
  Timers.push({nowMs() + DelayMs, timer_kind::RaiseLimit, {}, Server});
}

void dispatcher_scheduler::retryLater(scheduled_job &Job, std::uint32_t Index, server_id Server) {
  auto &Task = Job.Tasks[Index];
  if (!Job.Flow->Service->Retries.take(Task.Attempts)) {
    failJob(Job, errc::RetriesExhausted, Job.Job.Job->tasks(static_cast<int>(Index)).name());
    return;
  }
  Job.Refused.emplace_back(Index, Server);
  Job.Waiting.push_back(Index);
  countQueued(Job, Index, 1);
  queueOf(Job.Pool).Queue.outstanding(*Job.Flow->Team, 1);
  double DelayMs = RetryBackoffMs * (1U << std::min(Task.Attempts - 1, 5U)) * (0.5 + unit());
  Timers.push({nowMs() + DelayMs, timer_kind::Retry, {Job.Job.Key, Index}, None});
}

/// A server is stalled when an attempt is long overdue and nothing has ended since it became so.
void dispatcher_scheduler::checkStall(server_id Server) {
  auto &State = Servers[Server];
  State.StallCheckPending = false;
  if (State.Running.empty())
    return;
  double Now = nowMs();
  const auto &Oldest = *std::ranges::min_element(State.Running, {}, &attempt::OverdueMs);
  if (Oldest.OverdueMs > Now) {
    State.StallCheckPending = true;
    Timers.push({Oldest.OverdueMs, timer_kind::StallCheck, {}, Server});
    return;
  }
  if (State.LastEndMs < Oldest.ExpectedEndMs) {
    State.Stalled = true;
    Servers.refresh(Server);
    return;
  }
  // The server works, so only this task is slow.
  State.StallCheckPending = true;
  Timers.push({Now + StallRecheckMs, timer_kind::StallCheck, {}, Server});
}

std::vector<task_start> dispatcher_scheduler::cancel(job_key Key) {
  std::vector<task_start> Stopped;
  auto Found = Jobs.find(Key);
  if (Found == Jobs.end())
    return Stopped;
  auto &Job = Found->second;
  for (auto [Index, Server] : Job.Running)
    Stopped.push_back({{Key, Index}, Servers[Server].Id, Servers[Server].Address});
  if (!Job.Ended)
    dropQueuedTasks(Job);
  forget(Job);
  return Stopped;
}

std::vector<job_failure> dispatcher_scheduler::dropQueued(errc Reason) {
  std::vector<job_key> Affected;
  for (const auto &[Key, Job] : Jobs)
    if (!Job.Ended && Job.queuedTasks() > 0)
      Affected.push_back(Key);
  std::ranges::sort(Affected);
  std::vector<job_failure> Dropped;
  for (auto Key : Affected) {
    auto &Job = Jobs.at(Key);
    Dropped.push_back({Key, Reason, {}, Job.MayHaveRun || !Job.Running.empty()});
    endJob(Job);
  }
  return Dropped;
}

void dispatcher_scheduler::failJob(scheduled_job &Job, errc Reason, std::string Subject) {
  Failures.push_back({Job.Job.Key, Reason, std::move(Subject), Job.MayHaveRun || !Job.Running.empty()});
  endJob(Job);
}

void dispatcher_scheduler::endJob(scheduled_job &Job) {
  dropQueuedTasks(Job);
  Job.Ended = true;
  if (Job.Running.empty())
    forget(Job);
}

void dispatcher_scheduler::dropQueuedTasks(scheduled_job &Job) {
  auto &Queue = queueOf(Job.Pool).Queue;
  if (!Job.Queued.empty())
    Queue.remove(Job);
  auto Count = Job.queuedTasks();
  for (auto *List : {&Job.Queued, &Job.Waiting})
    while (!List->empty()) {
      auto Index = List->back();
      List->pop_back();
      countQueued(Job, Index, -1);
    }
  Queue.outstanding(*Job.Flow->Team, -static_cast<int>(Count));
  Deadlines.erase({Job.DeadlineMs, Job.Job.Key});
}

/// Keeps the totals when a task joins (1) or leaves (-1) the queue; the lists have been changed already.
void dispatcher_scheduler::countQueued(scheduled_job &Job, std::uint32_t Index, int Change) {
  auto &Pool = queueOf(Job.Pool);
  double Work = Job.Tasks[Index].SizeMs * Change;
  Pool.QueuedTasks += static_cast<std::uint32_t>(Change);
  Pool.QueuedWork = Pool.QueuedTasks > 0 ? std::max(0.0, Pool.QueuedWork + Work) : 0;
  Pool.WorkByKey.add(Job.Key, Work);
  Job.QueuedWork += Work;
  Job.Flow->Team->QueuedWork = std::max(0.0, Job.Flow->Team->QueuedWork + Work);
  Job.Flow->Service->QueuedTasks += static_cast<std::uint32_t>(Change);
  QueuedTasks += static_cast<std::uint64_t>(Change);
  auto Bytes = Job.queuedTasks() > 0 ? Job.Bytes : 0;
  QueuedBytes += Bytes - Job.QueuedBytes;
  Job.QueuedBytes = Bytes;
}

void dispatcher_scheduler::forget(scheduled_job &Job) {
  Deadlines.erase({Job.DeadlineMs, Job.Job.Key});
  Jobs.erase(Job.Job.Key);
}

} // namespace yuccaplank::model
