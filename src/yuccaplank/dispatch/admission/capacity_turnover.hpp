// The capacity of a pool, and the rate at which it becomes free, as observed.
#pragma once

#include "../decayed_sum.hpp"

#include <cstdint>
#include <optional>

namespace yuccaplank::dispatch::admission {

/// Cores of the servers that take tasks, in thousandths.
struct core_usage {
  std::int64_t Capacity = 0;
  std::int64_t Busy = 0;
};

/// Learns how long cores stay in use. Declared run times are not used, since they are often wrong.
class capacity_turnover {
public:
  /// The usage of one server has changed.
  void onChange(runtime::time_point Now, const core_usage &Former, const core_usage &Current);
  [[nodiscard]] const core_usage &usage() const { return Usage; }
  /// Expected release of cores, in thousandths per millisecond, with the cores that are in use now; nothing
  /// until enough releases were observed, and while servers come and go.
  [[nodiscard]] std::optional<double> releaseRate(runtime::time_point Now) const;

private:
  // Long enough for a few runs of a short task, short enough to follow a burst.
  static constexpr runtime::duration TimeConstant = std::chrono::milliseconds(400);
  static constexpr runtime::duration MinObservation = std::chrono::milliseconds(200);
  // When an owner is lost, its servers are back under another one within this time. Until then, the cores in
  // use say little about the rate.
  static constexpr runtime::duration SettlingTime = std::chrono::milliseconds(300);
  static constexpr double CapacityTolerance = 0.1;
  // With fewer releases within the time constant, as on a small site, the error of the rate exceeds 6 %, and
  // the difference to the arrivals says too little to refuse a job.
  static constexpr double MinReleases = 300;

  void setUsage(runtime::time_point Now, const core_usage &Updated);

  core_usage Usage;
  std::int64_t SettledCapacity = 0;
  runtime::time_point CapacityChangedAt{};
  std::optional<runtime::time_point> ObservedSince;
  // In thousandths of a core times milliseconds.
  decayed_sum BusyTime{TimeConstant};
  decayed_sum Released{TimeConstant};
  // Number of releases.
  decayed_sum Releases{TimeConstant};
};

} // namespace yuccaplank::dispatch::admission
