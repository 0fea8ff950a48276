// Counts the answered jobs of each queue in sliding windows, and how many met their objective.
#pragma once

#include "report.pb.h"
#include "yuccaplank/runtime/clock.hpp"

#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::entry {

/// Lengths of the windows in seconds: 5 minutes, 1 hour, 6 hours.
inline constexpr std::uint32_t BurnWindowsS[] = {300, 3600, 21600};

class burn_recorder {
public:
  virtual ~burn_recorder() = default;
  /// Counts one answered job.
  virtual void record(const std::string &Queue, bool WithinObjective) = 0;
  /// Returns the counts of every recorded queue for each window.
  [[nodiscard]] virtual std::vector<schema::burn_queue> windows() const = 0;
};

std::unique_ptr<burn_recorder> makeBurnRecorder(const runtime::clock &Clock);

} // namespace yuccaplank::entry
