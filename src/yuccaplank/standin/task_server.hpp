// In-memory model of a backend server, according to the platform's documentation: leases, fencing tokens, and
// runs with their ends. It does no I/O.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::standin {

/// The resources and the duration of a run.
struct run_work {
  std::uint32_t Cpu = 0;
  runtime::duration Duration{};
  bool Fails = false;
  /// Index of the task of the job that crashes each server that starts it.
  std::optional<std::uint32_t> CrashingTask = std::nullopt;
  /// Rack outside which the run takes longer; AnyOneRack for the rack of the first run of the job. Empty for
  /// none.
  std::string Rack = {};
};

inline constexpr const char *AnyOneRack = "*";

/// Encodes work as a task specification for stand-in servers: "CPU MILLISECONDS", followed by the index of
/// the crashing task if there is one, and by "rack=NAME" if there is a rack.
std::string encodeWork(const run_work &Work);
/// Decodes a task specification; returns empty work if it has another form.
run_work decodeWork(const std::string &Specification);

struct task_server_options {
  runtime::duration MaxLease = std::chrono::milliseconds(1000);
  /// Delay between a stop order and the end of the run.
  runtime::duration StopDelay = std::chrono::milliseconds(20);
  /// Rate of the server's clock relative to real time; 0.98 is 2 % slow.
  double ClockRate = 1;
  /// Called for each run that ends because its lease has expired; may be empty.
  std::function<void(const dispatch::run_key &Run)> OnLapsed = nullptr;
};

/// One incarnation of a server. The caller passes the current time with each call; it must not decrease.
class task_server {
public:
  task_server(std::int64_t IncarnationStartMs, task_server_options Options)
      : IncarnationStartMs(IncarnationStartMs), Options(std::move(Options)) {}

  /// Executes a start order. The outcome is also Accepted if the run is already running.
  dispatch::order_outcome start(runtime::time_point Now, const dispatch::start_order &Order,
                                const run_work &Work);
  dispatch::order_outcome stop(runtime::time_point Now, const dispatch::run_key &Run,
                               std::uint64_t FencingToken);
  /// Renews the lease and lists the runs. The outcome is Accepted or Fenced.
  dispatch::hold_reply hold(runtime::time_point Now, const dispatch::hold_order &Order);

  /// Advances to the current time: ends the runs that are done, stopped, or whose lease has expired.
  void advance(runtime::time_point Now);
  /// Returns when advance() will next end a run, unless further orders arrive; nothing if no run is active.
  [[nodiscard]] std::optional<runtime::time_point> nextEventTime() const;
  /// Returns whether there are ends of runs that no hold has confirmed as observed.
  [[nodiscard]] bool hasUnobservedEnds() const { return !Ends.empty(); }
  [[nodiscard]] std::vector<dispatch::run_key> unobservedEnds() const;
  [[nodiscard]] std::int64_t clockMs(runtime::time_point Now) const;
  [[nodiscard]] std::uint32_t usedCpu() const;
  [[nodiscard]] std::vector<dispatch::run_key> running() const;
  [[nodiscard]] std::int64_t incarnationStartMs() const { return IncarnationStartMs; }

private:
  struct running_task {
    std::uint32_t Run = 0;
    run_work Work;
    runtime::time_point DoneAt{};
    std::optional<runtime::time_point> StoppedAt;
  };

  // Returns true if a higher fencing token was seen before; otherwise records the token.
  bool rejectStaleToken(std::uint64_t FencingToken);
  void extendLease(runtime::time_point Now, std::int64_t LeaseEndMs);
  void endRun(std::map<dispatch::task_key, running_task>::iterator Task, dispatch::run_end End);
  [[nodiscard]] runtime::time_point fromClock(std::int64_t ClockMs) const;

  std::int64_t IncarnationStartMs;
  task_server_options Options;
  std::uint64_t HighestToken = 0;
  runtime::time_point LeaseEnd{};
  std::map<dispatch::task_key, running_task> Runs;
  // Highest number of an ended or stopped run on this server, by task.
  std::map<dispatch::task_key, std::uint32_t> HighestEndedRuns;
  std::deque<dispatch::listed_end> Ends;
  std::uint64_t LastEndNumber = 0;
};

} // namespace yuccaplank::standin
