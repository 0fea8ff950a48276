#include "admission_control.hpp"

#include <xxhash.h>

#include <algorithm>

namespace yuccaplank::dispatch::admission {

using runtime::duration;
using runtime::time_point;

namespace {

// Callers are asked to come back within this share of the time until the backlog has drained, after it.
constexpr double RetrySpread = 0.5;
constexpr std::uint64_t SpreadSteps = 1024;

} // namespace

void admission_control::onServerChange(time_point Now, const std::string &Pool, const core_usage &Former,
                                       const core_usage &Current) {
  Pools[Pool].turnover().onChange(Now, Former, Current);
}

void admission_control::onArrival(time_point Now, const waiting_demand &Demand) {
  Pools[Demand.Pool].onArrival(Now, Demand.Priority, Demand.Cpu);
}

void admission_control::beginPass() {
  for (auto &[Name, Pool] : Pools)
    Pool.beginPass();
}

std::optional<duration> admission_control::predictWait(time_point Now, const waiting_demand &Demand) const {
  auto Pool = Pools.find(Demand.Pool);
  if (!Options.PredictStarts || Pool == Pools.end())
    return std::nullopt;
  return Pool->second.predictWait(Now, Demand.Urgency, Pool->second.waitingCpu() + Demand.Cpu);
}

void admission_control::addWaiting(const waiting_demand &Demand) {
  Pools[Demand.Pool].addWaiting(Demand.Priority, Demand.Cpu);
}

std::optional<refusal> admission_control::judge(time_point Now, const waiting_demand &Demand) {
  pool_load &Pool = Pools[Demand.Pool];
  auto Wait = Options.PredictStarts ? Pool.predictWait(Now, Demand.Urgency, Pool.waitingCpu()) : std::nullopt;
  if (!Wait)
    return std::nullopt;
  double Margin = Pool.waitMargin(Now, Options.WaitMargin);
  bool TooLong = runtime::toMs(*Wait) > Margin * runtime::toMs(Demand.LatestStart - Now);
  if (!TooLong)
    return std::nullopt;
  duration RetryAfter = Pool.drainTime(Now);
  Pool.onRefused(Now, Demand.Priority);
  Pool.addWaiting(Demand.Priority, -Demand.Cpu);
  return refusal{*Wait, spreadRetryAfter(RetryAfter, Demand.Job)};
}

double admission_control::accrueShare(time_point Now, const std::string &Pool, const std::string &Queue,
                                      std::uint32_t Priority) {
  return Shares.accrue(Now, Queue, Priority, Pools[Pool].turnover().usage().Capacity);
}

void admission_control::onGranted(time_point Now, const schema::place_job &Job, std::uint32_t Priority) {
  Pools[Job.pool()].onGranted(Now, Priority, Job.size().cpu());
  Shares.charge(Job.queue(), Job.size().cpu(), Job.estimate_ms());
}

std::map<std::string, std::vector<backlog_summary>> admission_control::backlogs(time_point Now) const {
  std::map<std::string, std::vector<backlog_summary>> Result;
  for (const auto &[Name, Pool] : Pools)
    if (auto Summaries = Pool.backlogs(Now); !Summaries.empty())
      Result[Name] = std::move(Summaries);
  return Result;
}

duration spreadRetryAfter(duration RetryAfter, job_id Job) {
  std::uint64_t Digits = Job.digits();
  std::uint64_t Step = XXH64(&Digits, sizeof(Digits), 0) % SpreadSteps;
  double Position = static_cast<double>(Step) / static_cast<double>(SpreadSteps);
  return std::chrono::duration_cast<duration>(RetryAfter * (1 + RetrySpread * Position));
}

} // namespace yuccaplank::dispatch::admission
