// Executor of one simulated VM. It can be stopped, as by SIGSTOP, and ended, as by SIGKILL.
#pragma once

#include "yuccaplank/runtime/executor.hpp"

#include <deque>
#include <functional>

namespace yuccaplank::simulation {

/// Passes everything to the common executor; what becomes due while the VM is paused runs when it
/// resumes, and nothing runs after its end.
class vm_executor final : public runtime::executor {
public:
  explicit vm_executor(runtime::executor &Executor) : Executor(Executor) {}
  [[nodiscard]] const runtime::clock &clock() const override { return Executor.clock(); }
  void post(std::function<void()> Function) override { Executor.post(guard(std::move(Function))); }
  runtime::timer_id after(runtime::duration Delay, std::function<void()> Function) override {
    return Executor.after(Delay, guard(std::move(Function)));
  }
  void cancel(runtime::timer_id Timer) override { Executor.cancel(Timer); }

  /// Wraps a function so that it obeys the state of the VM.
  std::function<void()> guard(std::function<void()> Function) {
    return [this, Function = std::move(Function)] {
      if (!Alive)
        return;
      if (Paused)
        Held.push_back(Function);
      else
        Function();
    };
  }

  void end() { Alive = false; }
  void pause() {
    Paused = true;
    PausedAt = clock().now();
  }
  /// Runs OnPause with the length of the pause, then what was held.
  void resume(const std::function<void(runtime::duration)> &OnPause) {
    Paused = false;
    OnPause(clock().now() - PausedAt);
    std::deque<std::function<void()>> Batch;
    Batch.swap(Held);
    for (auto &Function : Batch)
      Function();
  }
  [[nodiscard]] bool alive() const { return Alive; }

private:
  runtime::executor &Executor;
  bool Alive = true;
  bool Paused = false;
  runtime::time_point PausedAt{};
  std::deque<std::function<void()>> Held;
};

} // namespace yuccaplank::simulation
