// Time sources. All code reads the time through a clock, so that tests can stop and advance it.
#pragma once

#include <chrono>
#include <cstdint>

namespace yuccaplank::runtime {

using duration = std::chrono::nanoseconds;
/// Marks time points of the monotonic clock, so that they cannot be mixed with those of other clocks.
struct clock_tag {
  using duration = runtime::duration;
  using rep = duration::rep;
  using period = duration::period;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): TrivialClock
};
/// Monotonic time.
using time_point = std::chrono::time_point<clock_tag, duration>;

/// Monotonic time and wall-clock time.
class clock {
public:
  virtual ~clock() = default;
  /// Monotonic; its origin has no meaning.
  [[nodiscard]] virtual time_point now() const = 0;
  /// Monotonic; unlike now(), includes the time during which the machine was suspended.
  [[nodiscard]] virtual time_point sinceBoot() const = 0;
  /// Milliseconds since the Unix epoch; may jump.
  [[nodiscard]] virtual std::int64_t unixMs() const = 0;
};

/// Clock of the operating system.
const clock &systemClock();

/// Clock that moves only in advance().
class manual_clock final : public clock {
public:
  explicit manual_clock(std::int64_t StartUnixMs = 1'700'000'000'000) : BaseUnixMs(StartUnixMs) {}
  [[nodiscard]] time_point now() const override { return Current; }
  [[nodiscard]] time_point sinceBoot() const override { return Current; }
  [[nodiscard]] std::int64_t unixMs() const override {
    return BaseUnixMs +
           std::chrono::duration_cast<std::chrono::milliseconds>(Current.time_since_epoch()).count();
  }
  void advance(duration Step) { Current += Step; }

private:
  std::int64_t BaseUnixMs;
  time_point Current{};
};

/// Convert between durations and fractional milliseconds.
inline double toMs(duration Value) { return std::chrono::duration<double, std::milli>(Value).count(); }
inline duration fromMs(double Milliseconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace yuccaplank::runtime
