// Runs functions later and in the order in which they were added, as a queue that is worked off late does.
#pragma once

#include "yuccaplank/runtime/executor.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace yuccaplank::simulation {

class delay_line {
public:
  explicit delay_line(runtime::executor &Executor) : Executor(Executor) {}

  /// What is added from now on runs this much later; when the delay falls, it still follows what is under
  /// way.
  void setDelay(runtime::duration Time) { Delay = Time; }

  /// Runs the function at once when there is no delay and nothing is under way.
  void add(std::function<void()> Function) {
    runtime::time_point Now = Executor.clock().now();
    if (Delay == runtime::duration::zero() && UnderWay == 0) {
      Function();
      return;
    }
    LastDue = std::max(LastDue, Now + Delay);
    ++UnderWay;
    Executor.after(LastDue - Now, [this, Function = std::move(Function)] {
      --UnderWay;
      Function();
    });
  }

private:
  runtime::executor &Executor;
  runtime::duration Delay{};
  runtime::time_point LastDue{};
  std::size_t UnderWay = 0;
};

} // namespace yuccaplank::simulation
