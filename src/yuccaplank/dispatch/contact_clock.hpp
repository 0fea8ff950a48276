// The clock value that this VM sends in heartbeats and that other VMs echo in their replies.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <optional>

namespace yuccaplank::dispatch {

class contact_clock {
public:
  /// An origin that differs between processes makes echoes of an earlier process's clock fall outside the
  /// accepted age.
  contact_clock(const runtime::clock &Clock, std::uint32_t Origin) : Clock(Clock), Origin(Origin) {}

  /// Milliseconds since the origin. The value wraps after 49 days and is never 0, which stands for no value.
  [[nodiscard]] std::uint32_t now() const {
    std::uint32_t Value = Origin + sinceBootMs();
    return Value == 0 ? Value - 1 : Value;
  }

  /// Returns when the clock had the echoed value, rounded down. Returns nothing if that is more than MaxAge
  /// ago or in the future.
  [[nodiscard]] std::optional<runtime::time_point> sentAt(std::uint32_t Echo,
                                                          runtime::duration MaxAge) const {
    std::chrono::milliseconds Age(now() - Echo + 1);
    if (Echo == 0 || Age > MaxAge)
      return std::nullopt;
    return Clock.sinceBoot() - Age;
  }

private:
  [[nodiscard]] std::uint32_t sinceBootMs() const {
    auto SinceBoot = Clock.sinceBoot().time_since_epoch();
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(SinceBoot).count());
  }

  const runtime::clock &Clock;
  std::uint32_t Origin;
};

} // namespace yuccaplank::dispatch
