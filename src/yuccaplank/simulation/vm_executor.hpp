// Executor of one simulated VM. It can be stopped, as by SIGSTOP, ended, as by SIGKILL, and lag, as a process
// that has more to do than its processor bears.
#pragma once

#include "delay_line.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <deque>
#include <functional>

namespace yuccaplank::simulation {

struct vm_lag {
  runtime::duration Arrivals{};
  /// Whether timers lag as arrivals do.
  bool Timers = false;
  runtime::duration Sends{};
};

/// Passes everything to the common executor; what becomes due while the VM is paused runs when it
/// resumes, and nothing runs after its end.
class vm_executor final : public runtime::executor {
public:
  explicit vm_executor(runtime::executor &Executor)
      : Executor(Executor), Incoming(Executor), Outgoing(Executor) {}
  [[nodiscard]] const runtime::clock &clock() const override { return Executor.clock(); }
  // What one turn leaves to the next is not late by itself.
  void post(std::function<void()> Function) override { Executor.post(obeying(std::move(Function))); }
  runtime::timer_id after(runtime::duration Delay, std::function<void()> Function) override {
    return Executor.after(Delay, [this, Late = guard(Function), Function = obeying(Function)] {
      if (TimersLag)
        Late();
      else
        Function();
    });
  }
  void cancel(runtime::timer_id Timer) override { Executor.cancel(Timer); }

  /// Wraps a function that something from outside or a timer calls, so that it obeys the state of the VM.
  std::function<void()> guard(std::function<void()> Function) {
    return [this, Function = obeying(std::move(Function))] { Incoming.add(Function); };
  }

  /// What arrives is dealt with this much later, and so is what becomes due; what the VM sends leaves later.
  void setLag(const vm_lag &Lag) {
    Incoming.setDelay(Lag.Arrivals);
    TimersLag = Lag.Timers;
    Outgoing.setDelay(Lag.Sends);
  }
  /// Runs Function when what the VM sends now reaches the network; not at all after the VM's end.
  void sendOut(std::function<void()> Function) { Outgoing.add(obeyingEnd(std::move(Function))); }

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
  std::function<void()> obeying(std::function<void()> Function) {
    return [this, Function = std::move(Function)] {
      if (!Alive)
        return;
      if (Paused)
        Held.push_back(Function);
      else
        Function();
    };
  }
  std::function<void()> obeyingEnd(std::function<void()> Function) {
    return [this, Function = std::move(Function)] {
      if (Alive)
        Function();
    };
  }

  runtime::executor &Executor;
  delay_line Incoming;
  delay_line Outgoing;
  bool TimersLag = false;
  bool Alive = true;
  bool Paused = false;
  runtime::time_point PausedAt{};
  std::deque<std::function<void()>> Held;
};

} // namespace yuccaplank::simulation
