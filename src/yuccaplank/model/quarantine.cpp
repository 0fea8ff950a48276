#include "quarantine.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaplank::model {
namespace {

/// Failure probability that is assumed of a broken server.
constexpr double BrokenRate = 0.9;
/// Lower bound of a kind's rate; lower values would condemn a server for two unrelated failures.
constexpr double MinRate = 0.05;
constexpr double RateGain = 0.1;
/// Three failures in a row of kinds that otherwise do not fail: 3 * ln(0.9 / 0.05) = 8.7.
constexpr double QuarantineEvidence = 8;
/// Failures of kinds above this rate do not make a server suspect.
constexpr double SuspectRate = 0.3;
constexpr double FirstBackoffMs = 1000;
constexpr double MaxBackoffMs = 60'000;
constexpr std::uint32_t ProbesToReadmit = 3;
constexpr double MaxQuarantinedShare = 0.3;

} // namespace

double failure_rates::rate(kind_id Kind) const {
  return std::max(MinRate, Kind < Kinds.size() ? Kinds[Kind].Rate : 0);
}

void failure_rates::record(kind_id Kind, std::uint32_t Server, bool Failed, std::size_t ServerCount) {
  if (Kind >= Kinds.size())
    Kinds.resize(Kind + 1);
  auto &State = Kinds[Kind];
  if (Failed) {
    auto Window = std::min({State.Recent.size(), ServerCount / 4, static_cast<std::size_t>(State.Count)});
    for (std::size_t Back = 1; Back <= Window; ++Back)
      if (State.Recent[(State.Count - Back) % State.Recent.size()] == Server)
        return;
    State.Recent[State.Count++ % State.Recent.size()] = Server;
  }
  State.Rate += RateGain * ((Failed ? 1.0 : 0.0) - State.Rate);
}

bool recordOutcome(server_health &Health, double KindRate, bool Failed) {
  double Rate = std::min(KindRate, BrokenRate);
  Health.Evidence += Failed ? std::log(BrokenRate / Rate) : std::log((1 - BrokenRate) / (1 - Rate));
  Health.Evidence = std::max(0.0, Health.Evidence);
  Health.Suspect = Failed && KindRate < SuspectRate;
  return Health.Evidence >= QuarantineEvidence;
}

void enterQuarantine(server_health &Health, double NowMs, double Jitter) {
  Health.BackoffMs = std::clamp(Health.BackoffMs * 2, FirstBackoffMs, MaxBackoffMs);
  Health.Quarantined = true;
  Health.GoodProbes = 0;
  Health.ProbeAtMs = NowMs + Health.BackoffMs * (0.75 + 0.5 * Jitter);
}

bool probeSucceeded(server_health &Health, double NowMs) {
  Health.ProbeAtMs = NowMs;
  if (++Health.GoodProbes < ProbesToReadmit)
    return false;
  // Half of the backoff is kept, so that a server that fails again soon is tried less often.
  Health = {.BackoffMs = Health.BackoffMs / 2};
  return true;
}

std::size_t quarantineLimit(std::size_t ServerCount) {
  auto Share = static_cast<std::size_t>(static_cast<double>(ServerCount) * MaxQuarantinedShare);
  // A share of few servers rounds down to none, and one that fails everything would then fail most jobs.
  return ServerCount >= 2 ? std::max<std::size_t>(Share, 1) : 0;
}

} // namespace yuccaplank::model
