// Times that keep a job which its caller sends again from running twice.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"

namespace yuccaplank::dispatch {

/// What the platform sets.
struct platform_bounds {
  /// Longest lease that a server grants.
  runtime::duration MaxLease = std::chrono::milliseconds(1000);
  /// Time after which a caller sends a job again whose connection broke.
  runtime::duration ResendDelay = std::chrono::milliseconds(1300);
  /// Longest time from a stop order to the end of the run.
  runtime::duration MaxStopDelay = std::chrono::milliseconds(50);
};

/// Shortens the times of Options so that by the time of a resent job nothing of the first submission runs.
/// False when that leaves no useful time.
bool applyBounds(const platform_bounds &Bounds, entry_vm_options &Options);

/// Whether the times of Options keep the promise under these bounds.
bool satisfiesBounds(const platform_bounds &Bounds, const entry_vm_options &Options);

} // namespace yuccaplank::dispatch
