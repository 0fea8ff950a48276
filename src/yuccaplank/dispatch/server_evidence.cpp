#include "server_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccaplank::dispatch {
namespace {

// Number of runs at the lowest share that the initial assumption counts as.
constexpr double PriorRuns = 50;

// Share of runs that fail on sound servers.
constexpr double MinFailedShare = 0.002;
// Faulty servers fail half of their runs or more.
constexpr double FaultyFailedShare = 0.5;
// At the lowest share, two failures within five runs reach this value (2 * ln 250 - 3 * ln 2 = 8.97). A sound
// server with 10 runs a second then is quarantined once in 1.7 hours.
constexpr double FailureThreshold = 8;

// A job should be answered within 1.6 times its run time and 60 ms, so a run is late by then in most cases.
// Declared times have a log-normal error of spread 0.4: 4 % of the runs on sound servers take longer.
constexpr double LongFactor = 2;
constexpr double LongMarginMs = 50;
constexpr double MinLongShare = 0.04;
// Share of the runs that never end on a server that hangs. On slow servers all runs are long.
constexpr double FaultyLongShare = 0.4;
// At the lowest share, two long runs in succession reach this value (2 * ln 10 = 4.6), or three within seven
// runs. It only changes the order in which servers are chosen.
constexpr double AvoidThreshold = 4;
// The same for three long runs in succession (6.9). Runs are stopped, which wastes their work.
constexpr double StopThreshold = 6;

// Slow servers take 5 to 8 times as long. The factor of 4 is 3.5 times the spread of the error of declared
// times; with a factor of 2.7, days without faulty servers lost 0.0007 of their credit.
constexpr double StepDeviation = 1.4;
// Number of observations that the initial assumption of ordinary speed counts as.
constexpr double PriorObservations = 1;
// Limits the influence of a server's former speed to about ten runs.
constexpr double MinWeight = 0.1;
// Servers are slow for about 8 s. A trial every 2 s costs at most four late runs meanwhile.
constexpr auto StepTimeout = std::chrono::seconds(2);

// Returns the slowness of the long run that follows the slowest one. Of several runs of one job only the
// slowest counts, because the declared time of a job is wrong for all of them.
double secondSlowness(const std::vector<long_run> &InProgress) {
  if (InProgress.empty())
    return 0;
  auto Slower = [](const long_run &A, const long_run &B) { return A.Slowness < B.Slowness; };
  const long_run &First = *std::ranges::max_element(InProgress, Slower);
  double Second = 0;
  for (const long_run &Run : InProgress)
    if (Run.Job != First.Job)
      Second = std::max(Second, Run.Slowness);
  return Second;
}

} // namespace

void share_estimate::record(bool HasProperty, runtime::time_point Now) {
  Hits.add(Now, HasProperty ? 1 : 0);
  Total.add(Now, 1);
}

double share_estimate::shareWithout(const share_estimate &Part, double Min, runtime::time_point Now) const {
  double OtherHits = std::max(0.0, Hits.value(Now) - Part.Hits.value(Now));
  double OtherTotal = std::max(OtherHits, Total.value(Now) - Part.Total.value(Now));
  return std::max(Min, (OtherHits + PriorRuns * Min) / (OtherTotal + PriorRuns));
}

void recent_outcomes::record(bool HasProperty) {
  constexpr std::uint32_t MaxCount = 16;
  Bits = (Bits << 1U) | (HasProperty ? 1U : 0U);
  Count = std::min(Count + 1, MaxCount);
}

double recent_outcomes::evidence(double Sound, double Faulty) const {
  if (Sound >= Faulty)
    return 0;
  double WithProperty = std::log(Faulty / Sound);
  double Without = std::log((1 - Faulty) / (1 - Sound));
  double Sum = 0;
  double Highest = 0;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Sum += ((Bits >> Index) & 1U) != 0 ? WithProperty : Without;
    Highest = std::max(Highest, Sum);
  }
  return Highest;
}

void failure_evidence::record(bool Failed, runtime::time_point Now) {
  Fleet.Failed.record(Failed, Now);
  Own.record(Failed, Now);
  Recent.record(Failed);
}

void failure_evidence::onDone(runtime::time_point Now) {
  FailuresOfJob = 0;
  record(false, Now);
}

void failure_evidence::onFailure(job_id Job, runtime::time_point Now) {
  if (std::exchange(LastFailedJob, Job) != Job)
    FailuresOfJob = 0;
  if (FailuresOfJob++ % 2 == 0)
    record(true, Now);
}

double failure_evidence::value(runtime::time_point Now) const {
  return Recent.evidence(Fleet.Failed.shareWithout(Own, MinFailedShare, Now), FaultyFailedShare);
}

bool failure_evidence::isFaulty(runtime::time_point Now) const { return value(Now) >= FailureThreshold; }

runtime::duration long_run_evidence::limit(double ExpectedMs) {
  return runtime::fromMs(ExpectedMs * LongFactor + LongMarginMs);
}

void long_run_evidence::record(bool IsLong, runtime::time_point Now) {
  Fleet.Long.record(IsLong, Now);
  Own.record(IsLong, Now);
  Recent.record(IsLong);
}

void long_run_evidence::onLong(job_id Job, runtime::time_point Now) {
  if (std::exchange(LastLongJob, Job) != Job)
    record(true, Now);
}

double long_run_evidence::value(runtime::time_point Now) const {
  return Recent.evidence(Fleet.Long.shareWithout(Own, MinLongShare, Now), FaultyLongShare);
}

double long_run_evidence::slowness(const std::vector<long_run> &InProgress, runtime::time_point Now) const {
  double Second = secondSlowness(InProgress);
  return Second > 0 && value(Now) >= AvoidThreshold ? Second : 0;
}

bool long_run_evidence::isStrong(const std::vector<long_run> &InProgress, runtime::time_point Now) const {
  return secondSlowness(InProgress) > 0 && value(Now) >= StopThreshold;
}

void speed_estimate::onDone(job_id Job, double TookMs, std::uint32_t DeclaredMs, runtime::time_point Now) {
  if (DeclaredMs == 0)
    return;
  ObservedAt = Now;
  double Observed = std::log(std::max(TookMs, 1.0) / DeclaredMs);
  double Deviation = Observed - (LastDeviation != 0 ? BeforeDeviation : Slowness);
  bool Large = std::abs(Deviation) > StepDeviation;
  bool Agrees = Large && Job != LastJob && LastDeviation * Deviation > 0;
  if (Agrees) {
    if (!std::exchange(Stepped, Deviation > 0))
      BeforeStep = BeforeDeviation;
    Slowness = (LastObserved + Observed) / 2;
    Observations = 2;
    LastDeviation = 0;
    return;
  }
  // Tasks of one job that end after each other count as one observation of a step.
  if (!Large || LastDeviation * Deviation <= 0) {
    LastDeviation = Large ? Deviation : 0;
    BeforeDeviation = Slowness;
    LastObserved = Observed;
    LastJob = Job;
  }
  ++Observations;
  Slowness += std::max(1.0 / (Observations + PriorObservations), MinWeight) * (Observed - Slowness);
}

bool speed_estimate::resetStaleStep(runtime::time_point Now) {
  if (!Stepped || Now - ObservedAt < StepTimeout)
    return false;
  // If the next run is slow, too, the estimate returns at once.
  LastObserved = Slowness;
  LastDeviation = StepDeviation;
  BeforeDeviation = BeforeStep;
  LastJob = {};
  Stepped = false;
  Slowness = BeforeStep;
  return true;
}

} // namespace yuccaplank::dispatch
