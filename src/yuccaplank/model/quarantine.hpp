// Decides when a server fails so much more than the fleet that it gets no work, and when it is tried again.
#pragma once

#include "runtime_estimator.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace yuccaplank::model {

/// Failure history of one server.
struct server_health {
  /// Logarithm of the likelihood that the server fails most tasks over that it is like the fleet; at least 0.
  double Evidence = 0;
  /// The last outcome was a failure that its kind does not explain: one task at a time is tried.
  bool Suspect = false;
  bool TrialRunning = false;
  double LastFailureMs = 0;
  bool Quarantined = false;
  double ProbeAtMs = 0;
  double BackoffMs = 0;
  std::uint32_t GoodProbes = 0;
};

/// Failure rates of task kinds over the fleet.
class failure_rates {
public:
  /// Failure probability of the kind on a working server.
  [[nodiscard]] double rate(kind_id Kind) const;
  void record(kind_id Kind, std::uint32_t Server, bool Failed, std::size_t ServerCount);

private:
  struct kind_failures {
    double Rate = 0;
    /// Servers of the last failures. Further failures of these do not count, because one bad server must not
    /// pass for a bad kind.
    std::array<std::uint32_t, 4> Recent{};
    std::uint32_t Count = 0;
  };
  std::vector<kind_failures> Kinds;
};

/// Takes in an outcome; returns whether the evidence now asks for quarantine.
bool recordOutcome(server_health &Health, double KindRate, bool Failed);
/// Starts a quarantine or, after a failed probe, prolongs it.
void enterQuarantine(server_health &Health, double NowMs, double Jitter);
/// Takes in a probe's success; returns whether the server is readmitted.
bool probeSucceeded(server_health &Health, double NowMs);

/// Most servers that may be quarantined at once.
std::size_t quarantineLimit(std::size_t ServerCount);

} // namespace yuccaplank::model
