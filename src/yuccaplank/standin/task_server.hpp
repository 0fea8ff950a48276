// A backend server of the users' platform as its pages describe it: leases, fencing tokens, runs and their
// ends. No I/O.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::standin {

/// What a run takes and how long it works.
struct run_work {
  std::uint32_t Cpu = 0;
  runtime::duration Duration{};
  bool Fails = false;
};

/// The specification that tells a stand-in what a run does: "cpu milliseconds".
std::string encodeWork(const run_work &Work);
/// No work for a specification of another form.
run_work decodeWork(const std::string &Specification);

struct task_server_options {
  runtime::duration MaxLease = std::chrono::milliseconds(1000);
  /// Time from a stop order to the end.
  runtime::duration StopDelay = std::chrono::milliseconds(20);
  /// Speed of the server's clock; 0.98 is 2 % slow.
  double ClockRate = 1;
};

/// One incarnation of a server. Time comes with each call and never goes back.
class task_server {
public:
  task_server(std::int64_t IncarnationStartMs, task_server_options Options)
      : IncarnationStartMs(IncarnationStartMs), Options(Options) {}

  /// Carries out a start; Accepted also when the run is already there.
  dispatch::order_outcome start(runtime::time_point Now, const dispatch::start_order &Order,
                                const run_work &Work);
  dispatch::order_outcome stop(runtime::time_point Now, const dispatch::run_key &Run,
                               std::uint64_t FencingToken);
  /// Renews the lease and tells what runs; Accepted or Fenced.
  dispatch::hold_reply hold(runtime::time_point Now, const dispatch::hold_order &Order);

  /// Lets the time pass: ends runs that are done, stopped or without a lease.
  void advance(runtime::time_point Now);
  /// When advance() changes something next, if nothing is ordered; nothing when nothing runs.
  [[nodiscard]] std::optional<runtime::time_point> nextEventTime() const;
  /// Whether there are ends that have not been observed.
  [[nodiscard]] bool hasUnobservedEnds() const { return !Ends.empty(); }
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

  bool rejectStaleToken(std::uint64_t FencingToken);
  void extendLease(runtime::time_point Now, std::int64_t LeaseEndMs);
  void endRun(std::map<dispatch::task_key, running_task>::iterator Task, dispatch::run_end End);
  [[nodiscard]] runtime::time_point fromClock(std::int64_t ClockMs) const;

  std::int64_t IncarnationStartMs;
  task_server_options Options;
  std::uint64_t HighestToken = 0;
  runtime::time_point LeaseEnd{};
  std::map<dispatch::task_key, running_task> Runs;
  // Highest run of each task that has ended or was stopped here.
  std::map<dispatch::task_key, std::uint32_t> HighestEndedRuns;
  std::deque<dispatch::listed_end> Ends;
  std::uint64_t LastEndNumber = 0;
};

} // namespace yuccaplank::standin
