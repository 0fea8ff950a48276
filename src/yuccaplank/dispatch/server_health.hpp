// Speed of one backend server, and its quarantine after failures.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace yuccaplank::dispatch {

/// Learns from the results of runs. After several consecutive runs without a result the server is quarantined
/// for a time that doubles with each quarantine. It is then on probation, with one run at a time, until one
/// is done.
class server_health {
public:
  server_health(std::uint32_t FailuresToQuarantine, runtime::duration Initial, runtime::duration Max)
      : FailuresToQuarantine(FailuresToQuarantine), Initial(Initial), Max(Max) {}

  /// Natural logarithm of run time divided by declared time.
  [[nodiscard]] double slowness() const { return Slowness; }
  [[nodiscard]] bool usable() const { return !QuarantinedUntil; }
  [[nodiscard]] bool onProbation() const { return Probation; }
  [[nodiscard]] std::uint32_t quarantines() const { return Quarantines; }

  void onDone(double TookMs, std::uint32_t DeclaredMs) {
    Failures = 0;
    Quarantines = 0;
    Probation = false;
    if (DeclaredMs == 0)
      return;
    ++Observations;
    double Weight = std::max(1.0 / (Observations + PriorWeight), MinWeight);
    Slowness += Weight * (std::log(std::max(TookMs, 1.0) / DeclaredMs) - Slowness);
  }

  /// Records a run that ended without a result. Returns whether this failure starts a quarantine.
  bool onFailure(runtime::time_point Now) {
    ++Failures;
    if (QuarantinedUntil || (!Probation && Failures < FailuresToQuarantine))
      return false;
    QuarantinedUntil = Now + std::min(Initial * (1U << std::min(Quarantines, 4U)), Max);
    ++Quarantines;
    Probation = true;
    return true;
  }

  /// Ends a quarantine that has expired, and returns whether it did.
  bool endExpiredQuarantine(runtime::time_point Now) {
    if (!QuarantinedUntil || Now < *QuarantinedUntil)
      return false;
    QuarantinedUntil.reset();
    return true;
  }

private:
  // Number of observations that the initial assumption of ordinary speed counts as.
  static constexpr double PriorWeight = 1;
  // Limits the influence of a server's former speed to about ten runs.
  static constexpr double MinWeight = 0.1;

  std::uint32_t FailuresToQuarantine;
  runtime::duration Initial;
  runtime::duration Max;
  double Slowness = 0;
  double Observations = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Quarantines = 0;
  bool Probation = false;
  std::optional<runtime::time_point> QuarantinedUntil;
};

} // namespace yuccaplank::dispatch
