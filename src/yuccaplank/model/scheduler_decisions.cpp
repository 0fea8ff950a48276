#include "dispatcher_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccaplank::model {
namespace {

/// Added to the target stretch of a team's jobs while the team is far beyond its share and few slots are
/// free, so that the fast servers are left to the other teams.
constexpr double YieldStretch = 1.0;
constexpr double YieldFreeShare = 0.2;
/// Tasks examined in one pass over a queue, beyond those that start. Bounds the time of a decision.
constexpr int ExaminedPerPass = 48;
/// A job's key is set anew when its longest queued task is at most this share of that at the last time.
constexpr double RekeyShare = 0.5;
/// Starts of one job before a team with less service is served, while its own team is beyond its share.
constexpr int StartsPerTurn = 8;
/// Time after which held tasks are looked at again although no attempt has ended.
constexpr double HoldRecheckMs = 10;
/// A server is stalled when an attempt takes this multiple of its expected time plus StallGraceMs.
constexpr double StallFactor = 4;
constexpr double StallGraceMs = 500;
/// Wait for a task of a repeatable job, after which any task may probe a server.
constexpr double AnyProbeAfterMs = 10'000;
constexpr int JobsPerProbeSearch = 16;
constexpr double ProbeSearchPeriodMs = 100;

} // namespace

using runtime::errc;

scheduler_decisions dispatcher_scheduler::takeDecisions() {
  expireDeadlines();
  runTimers();
  RecheckMs = 0;
  for (pool_id Pool = 0; Pool < Queues.size(); ++Pool) {
    if (Queues[Pool].Queue.empty())
      continue;
    if (!Quarantined.empty())
      probe(Pool);
    runPass(Pool);
  }
  Decisions.Failures.swap(Failures);
  return std::exchange(Decisions, {});
}

void dispatcher_scheduler::expireDeadlines() {
  double Now = nowMs();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    failJob(Jobs.at(Deadlines.begin()->second), errc::TaskTimeout, {});
}

void dispatcher_scheduler::runTimers() {
  double Now = nowMs();
  while (!Timers.empty() && Timers.top().AtMs <= Now) {
    auto Due = Timers.top();
    Timers.pop();
    if (Due.Kind == timer_kind::StallCheck)
      checkStall(Due.Server);
    else if (Due.Kind == timer_kind::RaiseLimit)
      raiseLimit(Due.Server);
    else
      requeue(Due.Task);
  }
}

void dispatcher_scheduler::raiseLimit(server_id Server) {
  auto &State = Servers[Server];
  State.LimitPending = false;
  if (State.Limit < State.Slots && ++State.Limit < State.Slots)
    planRaise(Server);
  else
    State.Refusals = 0;
  Servers.refresh(Server);
}

/// Puts a task whose backoff has passed at the head of its job.
void dispatcher_scheduler::requeue(const task_ref &Task) {
  auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end() || std::erase(Found->second.Waiting, Task.Index) == 0)
    return;
  auto &Job = Found->second;
  Job.Queued.insert(Job.Queued.begin(), Task.Index);
  if (Job.Queued.size() == 1)
    queueOf(Job.Pool).Queue.add(Job);
}

void dispatcher_scheduler::runPass(pool_id Pool) {
  auto &Queue = Queues[Pool].Queue;
  const auto &Totals = Servers.totals(Pool);
  if (Totals.FreeSlots == 0)
    return;
  Queue.setCapacity(Totals.Capacity);
  Servers.beginRound();
  ++Pass;
  Examined = 0;
  Queue.beginPass();
  auto Step = pass_step::NextJob;
  while (Totals.FreeSlots > 0 && Examined < ExaminedPerPass) {
    auto *Item = Queue.next(Step);
    if (Item == nullptr)
      break;
    Step = placeTasks(static_cast<scheduled_job &>(*Item), Queue.beyondShare());
  }
  Queue.endPass();
  if (!Shrunk.empty()) {
    for (auto *Job : Shrunk)
      rekey(*Job);
    Shrunk.clear();
    return runPass(Pool);
  }
  if (Examined > 0 && Totals.FreeSlots > 0)
    recheckAt(nowMs() + HoldRecheckMs);
}

pass_step dispatcher_scheduler::placeTasks(scheduled_job &Job, bool BeyondShare) {
  double Now = nowMs();
  double TargetMs = std::max(Now, Job.CriticalEndMs);
  const auto &Totals = Servers.totals(Job.Pool);
  if (BeyondShare && Totals.FreeSlots < YieldFreeShare * Totals.Slots &&
      queueOf(Job.Pool).Queue.isFarOver(*Job.Flow->Team))
    TargetMs += YieldStretch * Job.IdealMs;
  auto &Quota = Job.Flow->Service->Quota;
  int Starts = 0;
  std::vector<server_id> Refused;
  for (std::size_t Position = 0; Position < Job.Queued.size() && Totals.FreeSlots > 0;) {
    if (!Quota.allows(Now)) {
      if (double Next = Quota.nextStart(Now); Next > 0)
        recheckAt(Next);
      return pass_step::SkipFlow;
    }
    if (BeyondShare && Starts >= StartsPerTurn)
      return pass_step::Again;
    auto Index = Job.Queued[Position];
    if (exhausted(Job.Tasks[Index].Fit)) {
      if (Job.SameFit)
        return pass_step::SkipFlow;
      ++Position;
      continue;
    }
    if (Traits.Fair && Position == 0 && Job.Tasks[Index].SizeMs <= RekeyShare * Job.HeadMs) {
      Shrunk.push_back(&Job);
      return pass_step::NextJob;
    }
    Refused.clear();
    for (auto [Task, Server] : Job.Refused)
      if (Task == Index)
        Refused.push_back(Server);
    const auto &Task = Job.Tasks[Index];
    auto Choice =
        Placement->choose({Task.Fit, Task.SizeMs, Task.SizeMs * Task.Margin, Now, TargetMs, Refused});
    if (std::isfinite(Choice.EndMs))
      TargetMs = std::max(TargetMs, Choice.EndMs);
    if (Choice.Server == None) {
      ++Position;
      if (Choice.NoFreeSlot) {
        ExhaustedIn.resize(std::max<std::size_t>(ExhaustedIn.size(), Task.Fit + 1));
        ExhaustedIn[Task.Fit] = Pass;
        continue;
      }
      if (++Examined >= ExaminedPerPass)
        break;
      continue;
    }
    startTask(Job, Position, Choice, false);
    ++Starts;
  }
  return pass_step::NextJob;
}

void dispatcher_scheduler::startTask(scheduled_job &Job, std::size_t Position, const placement_choice &Choice,
                                     bool Probe) {
  auto Index = Job.Queued[Position];
  auto &Task = Job.Tasks[Index];
  Job.Queued.erase(Job.Queued.begin() + static_cast<std::ptrdiff_t>(Position));
  auto &Queue = queueOf(Job.Pool).Queue;
  countQueued(Job, Index, -1);
  Queue.charge(*Job.Flow, Task.SizeMs);
  if (Job.Queued.empty())
    Queue.finished(Job);
  double Now = nowMs();
  double RunMs = Choice.EndMs - Now;
  attempt Attempt{.Task = {Job.Job.Key, Index},
                  .StartedMs = Now,
                  .ExpectedEndMs = Choice.EndMs,
                  .OverdueMs = Now + RunMs * StallFactor * Task.Margin + StallGraceMs,
                  .DeclaredMs = Job.Job.Job->tasks(static_cast<int>(Index)).declared_ms(),
                  .Kind = Task.Kind,
                  .Pool = Job.Pool,
                  .Flow = Job.Flow,
                  .Probe = Probe};
  Servers.start(Choice.Server, Attempt);
  auto &Server = Servers[Choice.Server];
  if (!Server.StallCheckPending) {
    Server.StallCheckPending = true;
    Timers.push({Attempt.OverdueMs, timer_kind::StallCheck, {}, Choice.Server});
  }
  ++Task.Attempts;
  ++Started;
  ++RunningTasks;
  Job.Flow->Service->Quota.started();
  Job.Flow->Service->Retries.started();
  Job.CriticalEndMs = std::max(Job.CriticalEndMs, Choice.EndMs);
  Job.Running.emplace_back(Index, Choice.Server);
  Decisions.Starts.push_back({Attempt.Task, Server.Id, Server.Address});
}

/// Gives one task to each quarantined server of the pool whose time has come.
void dispatcher_scheduler::probe(pool_id Pool) {
  double Now = nowMs();
  for (auto Server : Quarantined) {
    auto &State = Servers[Server];
    if (State.Pool != Pool || State.Leaving || !State.Running.empty())
      continue;
    recheckAt(std::max(State.Health.ProbeAtMs, Now + ProbeSearchPeriodMs));
    if (State.Health.ProbeAtMs > Now)
      continue;
    auto &Queue = Queues[Pool].Queue;
    Queue.beginPass();
    for (int Seen = 0; Seen < JobsPerProbeSearch; ++Seen) {
      auto *Item = Queue.next(pass_step::NextJob);
      if (Item == nullptr || probeWith(static_cast<scheduled_job &>(*Item), Server))
        break;
    }
    Queue.endPass();
  }
}

bool dispatcher_scheduler::probeWith(scheduled_job &Job, server_id Server) {
  auto &State = Servers[Server];
  double Now = nowMs();
  if ((!Job.Job.Job->repeatable() && Now < State.Health.ProbeAtMs + AnyProbeAfterMs) ||
      !Job.Flow->Service->Quota.allows(Now))
    return false;
  // The shortest task that fits, since a probe may be lost.
  for (std::size_t Position = Job.Queued.size(); Position-- > 0;) {
    auto Index = Job.Queued[Position];
    bool Tried = std::ranges::find(Job.Refused, task_on_server(Index, Server)) != Job.Refused.end();
    if (Tried || !Servers.fits(Job.Tasks[Index].Fit, Server))
      continue;
    startTask(Job, Position, {Server, Now + Job.Tasks[Index].SizeMs / State.speed()}, true);
    ++Probes;
    return true;
  }
  return false;
}

} // namespace yuccaplank::model
