// Runs functions later. The daemon uses the event loop; tests use a manual executor with a manual clock.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace yuccaplank::runtime {

/// Identifies a pending timer; 0 is never issued.
using timer_id = std::uint64_t;

/// Single-threaded executor with timers.
class executor {
public:
  virtual ~executor() = default;
  [[nodiscard]] virtual const runtime::clock &clock() const = 0;
  /// Runs Function after the current one has returned.
  virtual void post(std::function<void()> Function) = 0;
  /// Runs Function once after Delay, unless cancelled.
  virtual timer_id after(duration Delay, std::function<void()> Function) = 0;
  /// Cancels a timer; unknown or expired ids are ignored.
  virtual void cancel(timer_id Timer) = 0;
};

/// Cancels the timer, if there is one, and sets Timer to 0.
inline void cancelTimer(executor &Executor, timer_id &Timer) { Executor.cancel(std::exchange(Timer, 0)); }

/// Executor for tests. Time passes only in advance(), which runs the due timers in order.
class manual_executor : public executor {
public:
  /// Runs posted functions and all timers that become due within Step, and advances the clock by Step.
  virtual void advance(duration Step) = 0;
  /// Runs posted functions until none is left, without advancing the clock.
  virtual void runPosted() = 0;
};

std::unique_ptr<manual_executor> makeManualExecutor();

} // namespace yuccaplank::runtime
