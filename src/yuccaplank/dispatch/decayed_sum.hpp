// Sum of amounts that lose weight exponentially with their age.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cmath>

namespace yuccaplank::dispatch {

class decayed_sum {
public:
  explicit decayed_sum(runtime::duration TimeConstant) : TimeConstant(TimeConstant) {}

  void add(runtime::time_point Now, double Amount) {
    Sum = value(Now) + Amount;
    UpdatedAt = Now;
  }
  /// Adds an amount that has arrived at a constant rate, per millisecond, since the latest call.
  void addSinceUpdate(runtime::time_point Now, double RatePerMs) {
    double Kept = weight(Now);
    Sum = Sum * Kept + RatePerMs * runtime::toMs(TimeConstant) * (1 - Kept);
    UpdatedAt = Now;
  }
  [[nodiscard]] double value(runtime::time_point Now) const { return Sum * weight(Now); }
  /// Mean amount per millisecond over about the time constant.
  [[nodiscard]] double ratePerMs(runtime::time_point Now) const {
    return value(Now) / runtime::toMs(TimeConstant);
  }

private:
  // Share of the sum that is left at a later time.
  [[nodiscard]] double weight(runtime::time_point Now) const {
    return std::exp(-runtime::toMs(Now - UpdatedAt) / runtime::toMs(TimeConstant));
  }

  runtime::duration TimeConstant;
  double Sum = 0;
  runtime::time_point UpdatedAt{};
};

} // namespace yuccaplank::dispatch
