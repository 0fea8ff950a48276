// Load of one pool of backend servers: demand by priority, turnover of the capacity, and the waits that
// follow from both.
#pragma once

#include "capacity_turnover.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccaplank::dispatch::admission {

/// Summary of the backlog for jobs of one priority.
struct backlog_summary {
  std::uint32_t Priority = 0;
  /// Predicted wait of a job that arrives now.
  runtime::duration Wait{};
  /// Time until the backlog has drained.
  runtime::duration Drain{};
};

class pool_load {
public:
  /// Longest wait that is predicted; also stands for a wait without end.
  static constexpr runtime::duration MaxWait = std::chrono::seconds(30);
  /// Bounds of the time after which refused callers are asked to come back.
  static constexpr runtime::duration MinRetryAfter = std::chrono::seconds(1);

  [[nodiscard]] capacity_turnover &turnover() { return Turnover; }
  [[nodiscard]] const capacity_turnover &turnover() const { return Turnover; }
  /// A new job has arrived that needs so many cores, in thousandths.
  void onArrival(runtime::time_point Now, std::uint32_t Priority, std::int64_t Cpu);
  /// A task of the priority has got cores, in thousandths.
  void onGranted(runtime::time_point Now, std::uint32_t Priority, std::int64_t Cpu);
  /// A job was refused because it would not begin in time.
  void onRefused(runtime::time_point Now, std::uint32_t Priority);
  /// Begins a pass over the waiting jobs in the order of service.
  void beginPass();
  /// A job of the priority waits behind those of the pass so far for cores, in thousandths; with a negative
  /// number, the latest job does not wait after all.
  void addWaiting(std::uint32_t Priority, std::int64_t Cpu);
  /// Cores, in thousandths, that the jobs of the pass so far wait for.
  [[nodiscard]] std::int64_t waitingCpu() const { return TotalWaitingCpu; }

  /// Predicts the wait of a task that has WaitingAheadCpu before it, itself included. More urgent jobs that
  /// arrive meanwhile come before it, too. Returns nothing if too little was observed, and at most MaxWait.
  [[nodiscard]] std::optional<runtime::duration> predictWait(runtime::time_point Now, std::uint32_t Priority,
                                                             std::int64_t WaitingAheadCpu) const;
  /// Time until the backlog has drained, at least MinRetryAfter. While more arrives than becomes free,
  /// nothing tells how long that lasts; the longer it has lasted, the longer it is expected to.
  [[nodiscard]] runtime::duration drainTime(runtime::time_point Now) const;
  /// Returns the share of the time that a job can wait that its predicted wait may take: 1 while little more
  /// arrives than becomes free, since such a backlog drains as soon as arrivals fluctuate, and Min in a
  /// burst.
  [[nodiscard]] double waitMargin(runtime::time_point Now, double Min) const;
  /// The backlogs of the priorities of which jobs were refused lately.
  [[nodiscard]] std::vector<backlog_summary> backlogs(runtime::time_point Now) const;

private:
  static constexpr runtime::duration RateTimeConstant = std::chrono::milliseconds(400);
  // Refusals further apart than this belong to different periods of overload.
  static constexpr runtime::duration OverloadGap = std::chrono::milliseconds(400);

  // Decrease of the margin with the ratio of arrivals to releases.
  static constexpr double MarginSlope = 10;

  // Whether jobs were refused by prediction lately.
  [[nodiscard]] bool overloaded(runtime::time_point Now) const;
  [[nodiscard]] double arrivalRateBefore(runtime::time_point Now, std::uint32_t Priority) const;
  [[nodiscard]] double grantRate(runtime::time_point Now, std::uint32_t Priority) const;

  capacity_turnover Turnover;
  std::map<std::uint32_t, decayed_sum> Arrivals;
  std::map<std::uint32_t, decayed_sum> Grants;
  std::int64_t TotalWaitingCpu = 0;
  // Cores that the latest job of a priority in the pass and those before it wait for.
  std::map<std::uint32_t, std::int64_t> WaitingCpu;
  std::map<std::uint32_t, runtime::time_point> LastRefusal;
  std::optional<runtime::time_point> OverloadedSince;
  runtime::time_point LastRefusedAt{};
};

} // namespace yuccaplank::dispatch::admission
