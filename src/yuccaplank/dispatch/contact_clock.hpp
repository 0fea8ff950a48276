// This VM's clock as it is told in heartbeats and comes back in the answers to them.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <optional>

namespace yuccaplank::dispatch {

class contact_clock {
public:
  /// An origin that differs from process to process keeps an echo of an earlier process's clock outside the
  /// time that counts.
  contact_clock(const runtime::clock &Clock, std::uint32_t Origin) : Clock(Clock), Origin(Origin) {}

  /// Milliseconds from the origin; never 0, which means that nothing is told. It wraps after 49 days.
  [[nodiscard]] std::uint32_t now() const {
    std::uint32_t Value = Origin + sinceBootMs();
    return Value == 0 ? Value - 1 : Value;
  }

  /// When the clock showed a value that another VM has echoed, rounded to the past; nothing when that is more
  /// than Limit ago or in the future.
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
