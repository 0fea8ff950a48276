// Decides whether a task takes a free server outside the rack of its data or waits for one on that rack.
#pragma once

#include "yuccaplank/dispatch/locality/options.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace yuccaplank::dispatch::locality {

/// What is known when a server outside the preferred rack is free. Slownesses are natural logarithms.
struct situation {
  /// Estimated time of the task on a server of normal speed, and the factor on it outside the rack.
  double EstimateMs = 0;
  double RemoteFactor = 1;
  /// Remaining times until the objective, and until an answer has no more value.
  double ToObjectiveMs = 0;
  double ToUselessMs = 0;
  /// Best free server on the rack.
  std::optional<double> FreeSlowness;
  /// Best free server elsewhere.
  double ElsewhereSlowness = 0;
  /// Whether any server of the rack accepts tasks of this size, and the mean slowness of those.
  bool RackUsable = false;
  double RackSlowness = 0;
  /// Expected time until a server on the rack is free for this task, after the tasks before it.
  double ExpectedWaitMs = 0;
  /// Time since the job first waited for the rack by choice, and the limit for it.
  double WaitedMs = 0;
  double MaxWaitMs = 0;
  /// Time since a task found no free server in the whole pool.
  double SinceFullMs = 0;
};

enum class step : std::uint8_t { TakePreferred, TakeElsewhere, Wait };

/// Why a task goes elsewhere or waits.
enum class cause : std::uint8_t {
  None,
  /// No server on the rack accepts tasks of this size: it is gone, evacuated or quarantined.
  RackUnusable,
  /// A run elsewhere ends sooner than a run on the rack that starts now.
  ElsewhereFaster,
  /// The expected wait is longer than it gains.
  LongQueue,
  /// The task has waited for as long as it may.
  WaitedEnough,
  /// A run elsewhere ends within the objective, one on the rack after the wait does not.
  Objective,
  /// A run on the rack that starts now would end when the answer has no more value.
  Useless,
};
std::string_view causeName(cause Cause);

struct decision {
  step Step = step::TakePreferred;
  cause Cause = cause::None;
  /// With Wait: time after which the task goes elsewhere if the situation stays the same.
  double WaitAtMostMs = 0;
};

decision decide(const situation &Situation, const options &Options);

} // namespace yuccaplank::dispatch::locality
