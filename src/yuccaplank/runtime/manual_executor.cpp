#include "timer_queue.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <deque>

namespace yuccaplank::runtime {
namespace {

class manual_executor_impl final : public manual_executor {
public:
  [[nodiscard]] const runtime::clock &clock() const override { return Clock; }
  void post(std::function<void()> Function) override { Posted.push_back(std::move(Function)); }
  timer_id after(duration Delay, std::function<void()> Function) override {
    return Timers.add(Clock.now() + Delay, std::move(Function));
  }
  void cancel(timer_id Timer) override { Timers.cancel(Timer); }

  void runPosted() override {
    while (!Posted.empty()) {
      auto Function = std::move(Posted.front());
      Posted.pop_front();
      Function();
    }
  }

  void advance(duration Step) override {
    time_point End = Clock.now() + Step;
    runPosted();
    for (auto Due = Timers.nextDue(); Due && *Due <= End; Due = Timers.nextDue()) {
      if (*Due > Clock.now())
        Clock.advance(*Due - Clock.now());
      Timers.pop()();
      runPosted();
    }
    Clock.advance(End - Clock.now());
  }

private:
  manual_clock Clock;
  timer_queue Timers;
  std::deque<std::function<void()>> Posted;
};

} // namespace

std::unique_ptr<manual_executor> makeManualExecutor() { return std::make_unique<manual_executor_impl>(); }

} // namespace yuccaplank::runtime
