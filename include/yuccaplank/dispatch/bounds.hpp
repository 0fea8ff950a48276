// Checks and adjusts the times that keep a job from running twice when its caller sends it again.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"

namespace yuccaplank::dispatch {

/// Limits that the platform sets.
struct platform_bounds {
  /// Longest lease that a server grants.
  runtime::duration MaxLease = std::chrono::milliseconds(1000);
  /// Delay after which a caller whose connection broke sends its job again.
  runtime::duration ResendDelay = std::chrono::milliseconds(1300);
  /// Longest time from a stop order to the end of the run.
  runtime::duration MaxStopDelay = std::chrono::milliseconds(50);
};

/// Shortens the times in Options so that nothing of the first submission still runs when a job is resent.
/// Returns false if the remaining times are too short to be useful.
bool applyBounds(const platform_bounds &Bounds, entry_vm_options &Options);

/// Whether the times in Options keep this guarantee under the given bounds.
bool satisfiesBounds(const platform_bounds &Bounds, const entry_vm_options &Options);

} // namespace yuccaplank::dispatch
