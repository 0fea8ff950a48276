#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
}

#include "timer_queue.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <deque>

namespace yuccaplank::runtime {
namespace {

// Limits each poll, so that a pause of the process is detected even without events.
constexpr std::int32_t MaxPollMs = 100;
// Limits the iterations in which the last connections close, because an object that outlives the loop never
// releases its timeouts.
constexpr int MaxClosingIterations = 100;

sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  for (int Signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Set, Signal);
  return Set;
}

class loop_impl final : public loop {
public:
  loop_impl() : Native(h2o_evloop_create()) {}
  loop_impl(const loop_impl &) = delete;
  loop_impl &operator=(const loop_impl &) = delete;
  ~loop_impl() override {
    if (SignalSocket)
      h2o_socket_close(SignalSocket);
    closeConnections();
    // The loop is left undestroyed if an object that uses its timeouts outlives it, because h2o would abort.
    if (!hasTimeouts())
      h2o_evloop_destroy(Native);
  }

  [[nodiscard]] const runtime::clock &clock() const override { return systemClock(); }
  void post(std::function<void()> Function) override { Posted.push_back(std::move(Function)); }
  timer_id after(duration Delay, std::function<void()> Function) override {
    return Timers.add(clock().now() + Delay, std::move(Function));
  }
  void cancel(timer_id Timer) override { Timers.cancel(Timer); }
  st_h2o_evloop_t *native() override { return Native; }

  void run() override {
    LastIteration = clock().sinceBoot();
    while (!Stopped) {
      checkPause();
      runPosted();
      runTimers();
      if (Stopped)
        break;
      finishWrites();
      h2o_evloop_run(Native, pollTimeoutMs());
      if (IterationHandler)
        IterationHandler();
    }
    // Allows a later call of run().
    Stopped = false;
  }

  void stop() override { Stopped = true; }

  void setSignalHandler(std::function<void(int)> Handler) override {
    SignalHandler = std::move(Handler);
    blockSignals();
    sigset_t Set = handledSignals();
    int Fd = signalfd(-1, &Set, SFD_NONBLOCK | SFD_CLOEXEC);
    SignalSocket = h2o_evloop_socket_create(Native, Fd, H2O_SOCKET_FLAG_DONT_READ);
    SignalSocket->data = this;
    h2o_socket_read_start(SignalSocket, [](h2o_socket_t *Socket, const char *) {
      static_cast<loop_impl *>(Socket->data)->readSignals(h2o_socket_get_fd(Socket));
    });
  }

  void setPauseHandler(duration Threshold, std::function<void(duration)> Handler) override {
    PauseThreshold = Threshold;
    PauseHandler = std::move(Handler);
  }

  void setIterationHandler(std::function<void()> Handler) override { IterationHandler = std::move(Handler); }

  [[nodiscard]] std::uint64_t iterations() const override { return Iterations; }
  [[nodiscard]] time_point previousIteration() const override { return PreviousStart; }

private:
  [[nodiscard]] bool hasTimeouts() const { return !h2o_linklist_is_empty(&Native->_timeouts); }

  // Lets destroyed servers end. A server has shut its connections down, but its timeouts remain until h2o has
  // completed the writes and read the end of each connection, which takes several iterations.
  void closeConnections() {
    int Closing = 0;
    do {
      h2o_evloop_run(Native, 0);
      // Posted functions may own the rest of a server.
      std::deque<std::function<void()>> Batch;
      Batch.swap(Posted);
    } while ((hasTimeouts() || !Posted.empty()) && ++Closing < MaxClosingIterations);
    // h2o frees closed sockets in the next iteration.
    h2o_evloop_run(Native, 0);
  }

  void checkPause() {
    time_point Now = clock().sinceBoot();
    duration Pause = Now - LastIteration;
    LastIteration = Now;
    // Unlike LastIteration, these are not reset by run(): sockets are not read between two calls of it
    // either.
    PreviousStart = Iterations == 0 ? Now : CurrentStart;
    CurrentStart = Now;
    ++Iterations;
    if (PauseHandler && Pause >= PauseThreshold)
      PauseHandler(Pause);
  }

  void runPosted() {
    // Functions posted by these functions wait for the next iteration, so that sockets are not starved.
    std::deque<std::function<void()>> Batch;
    Batch.swap(Posted);
    for (auto &Function : Batch)
      Function();
  }

  void runTimers() {
    time_point Now = clock().now();
    for (auto Due = Timers.nextDue(); Due && *Due <= Now; Due = Timers.nextDue())
      Timers.pop()();
  }

  // Runs the callbacks of completed writes that posted functions and timers made. h2o expects this before it
  // polls: otherwise a socket that is still polled for an earlier write remains polled after the callback,
  // and h2o aborts when the socket becomes writable.
  void finishWrites() { h2o_timeout__do_post_callback(Native); }

  [[nodiscard]] std::int32_t pollTimeoutMs() const {
    if (!Posted.empty())
      return 0;
    auto Due = Timers.nextDue();
    if (!Due)
      return MaxPollMs;
    auto Wait = std::chrono::ceil<std::chrono::milliseconds>(*Due - clock().now()).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(Wait, 0, MaxPollMs));
  }

  void readSignals(int Fd) {
    signalfd_siginfo Info{};
    while (read(Fd, &Info, sizeof(Info)) == sizeof(Info))
      SignalHandler(static_cast<int>(Info.ssi_signo));
  }

  h2o_evloop_t *Native;
  timer_queue Timers;
  std::deque<std::function<void()>> Posted;
  std::function<void(int)> SignalHandler;
  h2o_socket_t *SignalSocket = nullptr;
  duration PauseThreshold{};
  std::function<void(duration)> PauseHandler;
  std::function<void()> IterationHandler;
  time_point LastIteration{};
  time_point CurrentStart{};
  time_point PreviousStart{};
  std::uint64_t Iterations = 0;
  bool Stopped = false;
};

} // namespace

void blockSignals() {
  sigset_t Set = handledSignals();
  sigprocmask(SIG_BLOCK, &Set, nullptr);
}

std::unique_ptr<loop> makeLoop() { return std::make_unique<loop_impl>(); }

} // namespace yuccaplank::runtime
