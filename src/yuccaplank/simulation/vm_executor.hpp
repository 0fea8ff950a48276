// Executor of one simulated VM. It can be paused (as by SIGSTOP), ended (as by SIGKILL), and made to lag like
// a process on an overloaded processor.
#pragma once

#include "delay_line.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace yuccaplank::simulation {

struct vm_lag {
  /// Delay before the VM handles messages and replies that have arrived.
  runtime::duration ArrivalDelay{};
  /// Whether timers are delayed by ArrivalDelay, too.
  bool DelayTimers = false;
  /// Delay before what the VM sends reaches the network.
  runtime::duration SendDelay{};
};

/// Passes all functions to the executor that the whole simulation shares. Functions that become due while the
/// VM is paused run when it resumes; none runs after the VM's end.
class vm_executor final : public runtime::executor {
public:
  /// A VM that posts more functions to itself while no time passes never ends the instant. The whole fleet
  /// starts 26,000 tasks a second, and a start takes five messages: request, grant, order, event and state.
  static constexpr std::uint64_t MaxPostsPerInstant = 130'000;

  explicit vm_executor(runtime::executor &Executor)
      : Executor(Executor), Incoming(Executor), Outgoing(Executor) {}
  [[nodiscard]] const runtime::clock &clock() const override { return Executor.clock(); }
  // Functions that the VM posts to itself are not subject to the lag.
  void post(std::function<void()> Function) override {
    if (std::exchange(Instant, clock().now()) != clock().now())
      PostsInInstant = 0;
    if (Alive && ++PostsInInstant > MaxPostsPerInstant) {
      end();
      if (OnEndlessInstant)
        OnEndlessInstant();
      return;
    }
    Executor.post(holdWhilePaused(std::move(Function)));
  }
  runtime::timer_id after(runtime::duration Delay, std::function<void()> Function) override {
    return Executor.after(Delay, [this, Delayed = guard(Function), Function = holdWhilePaused(Function)] {
      if (DelayTimers)
        Delayed();
      else
        Function();
    });
  }
  void cancel(runtime::timer_id Timer) override { Executor.cancel(Timer); }

  /// Wraps a function that is called from outside the VM or by a timer, so that it is subject to the VM's
  /// lag, pause and end.
  std::function<void()> guard(std::function<void()> Function) {
    return [this, Function = holdWhilePaused(std::move(Function))] { Incoming.add(Function); };
  }

  void setLag(const vm_lag &Lag) {
    Incoming.setDelay(Lag.ArrivalDelay);
    DelayTimers = Lag.DelayTimers;
    Outgoing.setDelay(Lag.SendDelay);
  }
  /// Runs Function when a message that the VM sends now reaches the network, unless the VM has ended by then.
  void sendOut(std::function<void()> Function) { Outgoing.add(dropAfterEnd(std::move(Function))); }

  /// Calls Observer when the VM has been ended because it exceeded MaxPostsPerInstant.
  void observeEndlessInstant(std::function<void()> Observer) { OnEndlessInstant = std::move(Observer); }

  void end() { Alive = false; }
  void pause() {
    Paused = true;
    PausedAt = clock().now();
  }
  /// Calls OnPause with the length of the pause, then runs the functions that became due during it.
  void resume(const std::function<void(runtime::duration)> &OnPause) {
    Paused = false;
    OnPause(clock().now() - PausedAt);
    std::deque<std::function<void()>> Batch;
    Batch.swap(HeldCalls);
    for (auto &Function : Batch)
      Function();
  }
  [[nodiscard]] bool alive() const { return Alive; }

private:
  // Wraps a function so that it waits for the end of a pause, and does not run after the VM's end.
  std::function<void()> holdWhilePaused(std::function<void()> Function) {
    return [this, Function = std::move(Function)] {
      if (!Alive)
        return;
      if (Paused)
        HeldCalls.push_back(Function);
      else
        Function();
    };
  }
  std::function<void()> dropAfterEnd(std::function<void()> Function) {
    return [this, Function = std::move(Function)] {
      if (Alive)
        Function();
    };
  }

  runtime::executor &Executor;
  delay_line Incoming;
  delay_line Outgoing;
  bool DelayTimers = false;
  bool Alive = true;
  bool Paused = false;
  runtime::time_point PausedAt{};
  std::deque<std::function<void()>> HeldCalls;
  runtime::time_point Instant{};
  std::uint64_t PostsInInstant = 0;
  std::function<void()> OnEndlessInstant;
};

} // namespace yuccaplank::simulation
