// Observes how fast the capacity of a rack becomes free for the tasks that prefer it.
#pragma once

#include "../decayed_sum.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace yuccaplank::dispatch::locality {

/// By Little's law, the rate at which cores become free is the number of cores in use divided by the mean run
/// time. The mean run time is learnt, and the cores in use are known, so that the rate follows a sudden
/// change of the load at once.
class rack_turnover {
public:
  explicit rack_turnover(runtime::duration Window) : UsedTime(Window), Freed(Window) {}

  /// Cores, in thousandths, that are used from now on in addition, or no longer when negative.
  void onUsedChanged(std::int64_t Cpu, runtime::time_point Now) {
    advance(Now);
    Used = std::max<std::int64_t>(0, Used + Cpu);
    if (Cpu < 0)
      Freed.add(Now, -static_cast<double>(Cpu));
  }

  /// Cores, in thousandths, that are gone with their server. Nothing has become free.
  void onServerRemoved(std::int64_t UsedCpu, runtime::time_point Now) {
    advance(Now);
    Used = std::max<std::int64_t>(0, Used - UsedCpu);
  }

  /// Records that cores of the rack were granted while tasks waited for it by choice, and whether to one that
  /// prefers the rack.
  void onGrantedWhileWaiting(bool Prefers) { Share += ShareWeight * ((Prefers ? 1 : 0) - Share); }

  /// Returns the expected time until this many cores have become free for tasks that prefer the rack. Until
  /// runs have ended, a run is expected to take PriorMs.
  [[nodiscard]] double expectedWaitMs(double Cpu, double PriorMs, runtime::time_point Now) {
    advance(Now);
    if (Used <= 0 || Cpu <= 0)
      return Cpu <= 0 ? 0 : HUGE_VAL;
    double RunMs = (UsedTime.value(Now) + Cpu * PriorMs) / (Freed.value(Now) + Cpu);
    return Cpu * RunMs / (static_cast<double>(Used) * std::max(Share, MinShare));
  }

  /// Returns since when no cores have been used; a time in the far future while some are.
  [[nodiscard]] runtime::time_point unusedSince() const {
    return Used > 0 ? runtime::time_point::max() - std::chrono::hours(1) : LastAt;
  }

private:
  // About the last 20 grants determine the share that goes to the tasks which prefer the rack.
  static constexpr double ShareWeight = 0.05;
  static constexpr double MinShare = 0.02;

  void advance(runtime::time_point Now) {
    UsedTime.addSinceUpdate(Now, static_cast<double>(Used));
    LastAt = Now;
  }

  std::int64_t Used = 0;
  // In thousandths of a core times milliseconds.
  decayed_sum UsedTime;
  decayed_sum Freed;
  double Share = 1;
  runtime::time_point LastAt{};
};

} // namespace yuccaplank::dispatch::locality
