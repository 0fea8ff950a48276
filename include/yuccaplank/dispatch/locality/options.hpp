// Options and counters of the placement of tasks near their data.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>

namespace yuccaplank::dispatch::locality {

/// How a task waits for a server on the rack of its data while servers elsewhere are free. All rules but
/// Expected exist for comparison (docs/design/data-locality.md).
enum class wait_rule : std::uint8_t {
  /// Waits while the expected wait is shorter than the time that a run elsewhere takes longer.
  Expected,
  /// Places tasks without regard to their rack.
  Ignore,
  /// Waits as long as the rack has a usable server.
  AlwaysWait,
  /// Waits for FixedWait.
  FixedWait,
};

struct options {
  wait_rule Rule = wait_rule::Expected;
  /// Largest share of the time until its objective that a task may wait by choice; 0 sets no limit of its
  /// own.
  double MaxWaitShare = 0;
  runtime::duration FixedWait = std::chrono::milliseconds(100);
  /// Time over which the turnover of a rack is observed. It covers the run time of nearly all tasks.
  runtime::duration TurnoverWindow = std::chrono::milliseconds(1000);
};

/// Numbers of tasks since the start. Only tasks with a preferred rack count.
struct counters {
  std::uint64_t PlacedOnRack = 0;
  std::uint64_t PlacedElsewhere = 0;
  /// Of the tasks above, those whose job had waited for the rack by choice.
  std::uint64_t WaitsPaid = 0;
  std::uint64_t WaitsGivenUp = 0;
};

} // namespace yuccaplank::dispatch::locality
