// Event loop of a process, built on h2o's evloop.
#pragma once

#include "yuccaplank/runtime/executor.hpp"

struct st_h2o_evloop_t;

namespace yuccaplank::runtime {

/// Executor that also drives sockets. Each loop belongs to one thread.
class loop : public executor {
public:
  /// Handle for h2o's socket functions.
  virtual st_h2o_evloop_t *native() = 0;
  /// Runs until stop(); may be called again afterwards.
  virtual void run() = 0;
  /// Ends run() after the current function.
  virtual void stop() = 0;
  /// Makes the loop call Handler for the signals SIGTERM, SIGINT and SIGHUP.
  virtual void setSignalHandler(std::function<void(int Signal)> Handler) = 0;
  /// Makes the loop call Handler before anything else if it has not run for Threshold or longer, for example
  /// after SIGSTOP.
  virtual void setPauseHandler(duration Threshold, std::function<void(duration Pause)> Handler) = 0;
  /// Makes the loop call Handler after the sockets were polled, in each iteration. It does not make the loop
  /// iterate more often. An empty function ends this.
  virtual void setIterationHandler(std::function<void()> Handler) = 0;
  /// Number of iterations that have begun. Each iteration polls the sockets once, after posted functions and
  /// timers.
  [[nodiscard]] virtual std::uint64_t iterations() const = 0;
  /// Start of the iteration before the current one, on the clock that includes suspension. What is read now
  /// arrived later, because that iteration has polled the sockets since.
  [[nodiscard]] virtual time_point previousIteration() const = 0;
};

std::unique_ptr<loop> makeLoop();

/// Blocks the signals that a loop handles. Called first in a process, so that a signal during its start does
/// not end it; the handler of the loop receives the signal later.
void blockSignals();

} // namespace yuccaplank::runtime
