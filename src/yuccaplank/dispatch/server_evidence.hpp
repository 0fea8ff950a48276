// What the observed runs of one backend server tell about it, compared with the other servers of its owner.
#pragma once

#include "decayed_sum.hpp"
#include "yuccaplank/dispatch/job_id.hpp"

#include <cstdint>
#include <vector>

namespace yuccaplank::dispatch {

/// Share of recent runs with a property. Observations lose weight with time.
class share_estimate {
public:
  void record(bool HasProperty, runtime::time_point Now);
  /// Share among the runs that are counted here but not in Part. Without many of them it is close to Min.
  [[nodiscard]] double shareWithout(const share_estimate &Part, double Min, runtime::time_point Now) const;

private:
  // Tasks that fail on every server do so for about 3 s. The share has to follow their beginning and end.
  static constexpr runtime::duration TimeConstant = std::chrono::seconds(3);

  decayed_sum Hits{TimeConstant};
  decayed_sum Total{TimeConstant};
};

/// Outcomes of the latest runs of one server, for a sequential probability ratio test.
class recent_outcomes {
public:
  void record(bool HasProperty);
  void clear() { Count = 0; }
  /// Returns the natural logarithm of the likelihood ratio between a faulty server, whose runs have the
  /// property with probability Faulty, and a sound one, for the sequence of latest runs that speaks most
  /// against the server. At least 0.
  [[nodiscard]] double evidence(double Sound, double Faulty) const;

private:
  // Bits of the latest outcomes, the newest one lowest.
  std::uint32_t Bits = 0;
  std::uint32_t Count = 0;
};

/// Shares over all servers of an owner. Tasks that fail or take long on every server raise them.
struct fleet_shares {
  share_estimate Failed;
  share_estimate Long;
};

/// Failures of the runs of one server. Of successive failures of tasks of one job every second one counts,
/// because they may have their cause in the job.
class failure_evidence {
public:
  explicit failure_evidence(fleet_shares &Fleet) : Fleet(Fleet) {}
  void onDone(runtime::time_point Now);
  void onFailure(job_id Job, runtime::time_point Now);
  /// Forgets the outcomes, after consequences have been drawn from them.
  void clear() { Recent.clear(); }
  [[nodiscard]] double value(runtime::time_point Now) const;
  /// Whether the evidence suffices to quarantine the server.
  [[nodiscard]] bool isFaulty(runtime::time_point Now) const;

private:
  void record(bool Failed, runtime::time_point Now);

  fleet_shares &Fleet;
  share_estimate Own;
  recent_outcomes Recent;
  job_id LastFailedJob;
  std::uint32_t FailuresOfJob = 0;
};

/// Run in progress that has taken much longer than expected.
struct long_run {
  job_id Job;
  /// Natural logarithm of the time so far divided by the declared time.
  double Slowness = 0;
};

/// Runs of one server that take much longer than expected, counted before they end.
class long_run_evidence {
public:
  explicit long_run_evidence(fleet_shares &Fleet) : Fleet(Fleet) {}
  /// Returns the time from which a run counts as long.
  [[nodiscard]] static runtime::duration limit(double ExpectedMs);
  void onDoneInTime(runtime::time_point Now) { record(false, Now); }
  /// Called once for each run that has become long.
  void onLong(job_id Job, runtime::time_point Now);
  void clear() { Recent.clear(); }
  /// Returns the least slowness that the long runs in progress show; 0 if they are no evidence that the
  /// server is slow.
  [[nodiscard]] double slowness(const std::vector<long_run> &InProgress, runtime::time_point Now) const;
  /// Whether the server most probably hangs or has become slow, so that its long runs should be placed
  /// elsewhere.
  [[nodiscard]] bool isStrong(const std::vector<long_run> &InProgress, runtime::time_point Now) const;

private:
  void record(bool IsLong, runtime::time_point Now);
  [[nodiscard]] double value(runtime::time_point Now) const;

  fleet_shares &Fleet;
  share_estimate Own;
  recent_outcomes Recent;
  job_id LastLongJob;
};

/// Estimate of the natural logarithm of run time divided by declared time. It averages over about ten runs,
/// but follows a step after two runs of different jobs that agree.
class speed_estimate {
public:
  [[nodiscard]] double slowness() const { return Slowness; }
  void onDone(job_id Job, double TookMs, std::uint32_t DeclaredMs, runtime::time_point Now);
  /// Other servers are preferred to one that is thought slow, so it may get no run that shows its recovery.
  /// Returns whether the estimate was reset to its value before the step for this reason.
  bool resetStaleStep(runtime::time_point Now);

private:
  double Slowness = 0;
  double Observations = 0;
  // Deviation of the latest observation from the estimate before it; 0 if it was not large.
  double LastDeviation = 0;
  double BeforeDeviation = 0;
  double LastObserved = 0;
  job_id LastJob;
  bool Stepped = false;
  double BeforeStep = 0;
  runtime::time_point ObservedAt{};
};

} // namespace yuccaplank::dispatch
