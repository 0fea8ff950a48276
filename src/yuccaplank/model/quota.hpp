// Limits of one service: running tasks, starts a second, and retries. Times in milliseconds.
#pragma once

#include "service.pb.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace yuccaplank::model {

/// Running tasks and starts a second; each failure domain enforces its share.
class start_quota {
public:
  void configure(const schema::service_quota &Quota, double Share) {
    FleetRunning = Quota.max_running_tasks();
    FleetPerMs = Quota.task_starts_per_s() / 1000.0;
    setShare(Share);
  }
  void setShare(double Share) {
    MaxRunning = FleetRunning == 0 ? 0 : std::max(1.0, FleetRunning * Share);
    PerMs = FleetPerMs * Share;
    // A burst of 100 ms, and one start at least, so that low rates are reached.
    Burst = std::max(1.0, PerMs * 100);
  }
  /// Whether one more task may start.
  [[nodiscard]] bool allows(double NowMs) {
    refill(NowMs);
    return (MaxRunning == 0 || Running + 1 <= MaxRunning) && (PerMs == 0 || Tokens >= 1);
  }
  void started() {
    ++Running;
    if (PerMs > 0)
      Tokens -= 1;
  }
  void ended() { Running = std::max(0.0, Running - 1); }
  /// Time at which the rate allows a start; 0 when only the end of a task can.
  [[nodiscard]] double nextStart(double NowMs) const {
    return PerMs > 0 && Tokens < 1 ? NowMs + (1 - Tokens) / PerMs : 0;
  }
  /// Time that this quota needs for Tasks tasks of MeanMs each.
  [[nodiscard]] double timeFor(double Tasks, double MeanMs) const {
    double ByRate = PerMs > 0 ? std::max(0.0, Tasks - Burst) / PerMs : 0;
    double ByRunning = MaxRunning > 0 ? (Tasks - MaxRunning) * MeanMs / MaxRunning : 0;
    return std::max({0.0, ByRate, ByRunning});
  }

private:
  void refill(double NowMs) {
    Tokens = std::min(Burst, Tokens + (NowMs - LastMs) * PerMs);
    LastMs = NowMs;
  }
  double FleetRunning = 0;
  double FleetPerMs = 0;
  double MaxRunning = 0;
  double PerMs = 0;
  double Burst = 1;
  double Tokens = 1;
  double LastMs = 0;
  double Running = 0;
};

/// Retries as a percentage of starts, with an allowance so that services with few starts can retry.
class retry_budget {
public:
  void configure(const schema::service_retry &Retry) {
    Fraction = Retry.has_budget_percent() ? Retry.budget_percent() / 100.0 : 0.1;
    MaxAttempts = Retry.max_attempts() == 0 ? 3 : Retry.max_attempts();
    if (Fraction == 0)
      Tokens = 0;
  }
  void started() { Tokens = std::min(MaxTokens, Tokens + Fraction); }
  /// Takes one retry from the budget; Attempts have been made.
  [[nodiscard]] bool take(std::uint32_t Attempts) {
    if (Attempts >= MaxAttempts || Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr double MaxTokens = 100;
  double Fraction = 0.1;
  std::uint32_t MaxAttempts = 3;
  /// The allowance of a new service.
  double Tokens = 10;
};

} // namespace yuccaplank::model
