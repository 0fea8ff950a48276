#include "capacity_turnover.hpp"

#include <cstdlib>

namespace yuccaplank::dispatch::admission {

using runtime::time_point;

void capacity_turnover::onChange(time_point Now, const core_usage &Former, const core_usage &Current) {
  // A server that comes or goes releases nothing, whatever runs there.
  bool IsUsable = Former.Capacity > 0 && Current.Capacity > 0;
  if (IsUsable && Current.Busy < Former.Busy) {
    Released.add(Now, static_cast<double>(Former.Busy - Current.Busy));
    Releases.add(Now, 1);
    if (!ObservedSince)
      ObservedSince = Now;
  }
  setUsage(Now,
           {Usage.Capacity + Current.Capacity - Former.Capacity, Usage.Busy + Current.Busy - Former.Busy});
}

void capacity_turnover::setUsage(time_point Now, const core_usage &Updated) {
  BusyTime.addSinceUpdate(Now, static_cast<double>(Usage.Busy));
  Usage = Updated;
  auto Difference = static_cast<double>(std::abs(Usage.Capacity - SettledCapacity));
  if (Difference > CapacityTolerance * static_cast<double>(SettledCapacity)) {
    SettledCapacity = Usage.Capacity;
    CapacityChangedAt = Now;
  }
}

std::optional<double> capacity_turnover::releaseRate(time_point Now) const {
  decayed_sum Current = BusyTime;
  Current.addSinceUpdate(Now, static_cast<double>(Usage.Busy));
  double CoreTime = Current.value(Now);
  double ReleasedCores = Released.value(Now);
  bool Observed = ObservedSince && Now - *ObservedSince >= MinObservation;
  bool Settled = Now - CapacityChangedAt >= SettlingTime;
  if (Usage.Busy <= 0 || Usage.Capacity <= 0)
    return std::nullopt;
  if (!Observed || !Settled || Releases.value(Now) < MinReleases || CoreTime <= 0)
    return std::nullopt;
  // By Little's law, CoreTime / ReleasedCores is the mean time for which a core stays in use.
  return static_cast<double>(Usage.Busy) * ReleasedCores / CoreTime;
}

} // namespace yuccaplank::dispatch::admission
