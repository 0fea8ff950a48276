// Runs functions after a delay and in the order in which they were added, like a queue with a backlog.
#pragma once

#include "yuccaplank/runtime/executor.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace yuccaplank::simulation {

class delay_line {
public:
  explicit delay_line(runtime::executor &Executor) : Executor(Executor) {}

  /// Delays the functions that are added from now on. They still run after all pending ones when the delay
  /// has been reduced.
  void setDelay(runtime::duration NewDelay) { Delay = NewDelay; }

  /// Runs the function at once when there is no delay and no function is pending.
  void add(std::function<void()> Function) {
    runtime::time_point Now = Executor.clock().now();
    if (Delay == runtime::duration::zero() && PendingCalls == 0) {
      Function();
      return;
    }
    LastDue = std::max(LastDue, Now + Delay);
    ++PendingCalls;
    Executor.after(LastDue - Now, [this, Function = std::move(Function)] {
      --PendingCalls;
      Function();
    });
  }

private:
  runtime::executor &Executor;
  runtime::duration Delay{};
  runtime::time_point LastDue{};
  std::size_t PendingCalls = 0;
};

} // namespace yuccaplank::simulation
