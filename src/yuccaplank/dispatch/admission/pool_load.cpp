#include "pool_load.hpp"

#include <algorithm>
#include <limits>

namespace yuccaplank::dispatch::admission {

using runtime::duration;
using runtime::time_point;

void pool_load::onArrival(time_point Now, std::uint32_t Priority, std::int64_t Cpu) {
  // A new placer is told of all waiting jobs at once, which says nothing about the rate at which they arrive.
  if (!Turnover.releaseRate(Now))
    return;
  auto [Rate, IsNew] = Arrivals.try_emplace(Priority, RateTimeConstant);
  Rate->second.add(Now, static_cast<double>(Cpu));
}

void pool_load::onGranted(time_point Now, std::uint32_t Priority, std::int64_t Cpu) {
  auto [Rate, IsNew] = Grants.try_emplace(Priority, RateTimeConstant);
  Rate->second.add(Now, static_cast<double>(Cpu));
}

void pool_load::beginPass() {
  TotalWaitingCpu = 0;
  WaitingCpu.clear();
}

void pool_load::addWaiting(std::uint32_t Priority, std::int64_t Cpu) {
  TotalWaitingCpu += Cpu;
  WaitingCpu[Priority] = TotalWaitingCpu;
}

void pool_load::onRefused(time_point Now, std::uint32_t Priority) {
  if (!overloaded(Now))
    OverloadedSince = Now;
  LastRefusedAt = Now;
  LastRefusal[Priority] = Now;
}

bool pool_load::overloaded(time_point Now) const {
  return OverloadedSince && Now - LastRefusedAt <= OverloadGap;
}

double pool_load::arrivalRateBefore(time_point Now, std::uint32_t Priority) const {
  double Rate = 0;
  for (const auto &[Urgency, Sum] : Arrivals)
    if (Urgency < Priority)
      Rate += Sum.ratePerMs(Now);
  return Rate;
}

double pool_load::grantRate(time_point Now, std::uint32_t Priority) const {
  auto Found = Grants.find(Priority);
  return Found == Grants.end() ? 0 : Found->second.ratePerMs(Now);
}

std::optional<duration> pool_load::predictWait(time_point Now, std::uint32_t Priority,
                                               std::int64_t WaitingAheadCpu) const {
  auto ReleaseRate = Turnover.releaseRate(Now);
  if (!ReleaseRate)
    return std::nullopt;
  // The difference is inaccurate when more urgent jobs take most of what is released. What jobs of the
  // priority get now is a lower bound.
  double Available = std::max(*ReleaseRate - arrivalRateBefore(Now, Priority), grantRate(Now, Priority));
  double MaxWaitMs = runtime::toMs(MaxWait);
  if (Available * MaxWaitMs <= static_cast<double>(WaitingAheadCpu))
    return MaxWait;
  return runtime::fromMs(static_cast<double>(WaitingAheadCpu) / Available);
}

duration pool_load::drainTime(time_point Now) const {
  duration Overload = overloaded(Now) ? duration(Now - *OverloadedSince) : duration::zero();
  auto Drain = predictWait(Now, std::numeric_limits<std::uint32_t>::max(), TotalWaitingCpu);
  duration Expected = Drain && *Drain < MaxWait ? *Drain : Overload;
  return std::clamp<duration>(Expected, MinRetryAfter, MaxWait);
}

double pool_load::waitMargin(time_point Now, double Min) const {
  auto ReleaseRate = Turnover.releaseRate(Now);
  if (!ReleaseRate)
    return 1;
  double Excess = arrivalRateBefore(Now, std::numeric_limits<std::uint32_t>::max()) / *ReleaseRate - 1;
  return std::clamp(1 - MarginSlope * Excess, Min, 1.0);
}

std::vector<backlog_summary> pool_load::backlogs(time_point Now) const {
  std::vector<backlog_summary> Summaries;
  for (const auto &[Priority, RefusedAt] : LastRefusal) {
    if (Now - RefusedAt > OverloadGap)
      continue;
    auto Waiting = WaitingCpu.find(Priority);
    auto Wait = predictWait(Now, Priority, Waiting == WaitingCpu.end() ? 0 : Waiting->second);
    if (Wait)
      Summaries.push_back({Priority, *Wait, drainTime(Now)});
  }
  return Summaries;
}

} // namespace yuccaplank::dispatch::admission
