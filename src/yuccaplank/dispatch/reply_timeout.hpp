// Learns after which time without a reply an order to a backend server has probably been lost or delayed, and
// how often that happens.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <algorithm>
#include <utility>

namespace yuccaplank::dispatch {

/// Estimates the mean and the deviation of the reply times of all servers of an owner, as TCP's
/// retransmission timer does (RFC 6298). A reply that arrives after the timeout still counts, so that an
/// owner or a link that has become slow raises the timeout. A reply that never arrives does not.
class reply_timeout {
public:
  reply_timeout(runtime::duration Min, runtime::duration Initial, runtime::duration Max)
      : Min(Min), Initial(Initial), Max(Max) {}

  void onReply(runtime::duration Took) {
    if (!std::exchange(HasReply, true)) {
      Mean = Took;
      Deviation = Took / 2;
      return;
    }
    runtime::duration Error = Took > Mean ? Took - Mean : Mean - Took;
    Deviation += (Error - Deviation) / DeviationDivisor;
    Mean += (Took - Mean) / MeanDivisor;
  }

  /// Records whether the reply to an order was overdue.
  void recordOutcome(bool Overdue) { OverdueShare += OutcomeWeight * ((Overdue ? 1.0 : 0.0) - OverdueShare); }
  /// Whether so many of the latest replies were overdue that waiting for another one is a bad plan.
  [[nodiscard]] bool repliesGetLost() const { return OverdueShare > MaxOverdueShare; }

  [[nodiscard]] runtime::duration value() const {
    return HasReply ? std::clamp(Mean + DeviationFactor * Deviation, Min, Max) : Initial;
  }

private:
  static constexpr int MeanDivisor = 8;
  static constexpr int DeviationDivisor = 4;
  static constexpr int DeviationFactor = 4;
  // Limits the memory to about a hundred orders.
  static constexpr double OutcomeWeight = 0.01;
  static constexpr double MaxOverdueShare = 0.015;

  runtime::duration Min;
  runtime::duration Initial;
  runtime::duration Max;
  // Mean and Deviation are known after the first reply.
  bool HasReply = false;
  runtime::duration Mean{};
  runtime::duration Deviation{};
  double OverdueShare = 0;
};

} // namespace yuccaplank::dispatch
