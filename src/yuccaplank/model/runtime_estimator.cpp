#include "runtime_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaplank::model {
namespace {

/// Weight left of an observation after one more; remembers about 200 tasks of a kind.
constexpr double KindForgetting = 0.995;
/// Pulls the slope towards 1, a fixed factor between declared and real time, while declared times hardly
/// vary.
constexpr double SlopePrior = 0.3;
/// Uncertainty of a kind before its first task: declared times are off by up to 10x either way.
constexpr double PriorVariance = 1.0;
constexpr double PriorWeight = 0.2;
/// Growth of a speed's variance per observation, which lets the belief follow slow changes.
constexpr double SpeedDrift = 2e-4;
/// Observations in a row beyond three standard deviations after which the speed is learnt anew.
constexpr int SurpriseLimit = 3;
constexpr double MaxSpeedVariance = 0.25;
constexpr double FleetGain = 0.01;
/// Kinds beyond this number share one entry a service, since callers choose the names.
constexpr std::size_t MaxKinds = 20'000;
constexpr std::string_view OtherKinds = "\1";

} // namespace

double runtime_estimator::kind_state::slope() const {
  return (Covariance * Weight + SlopePrior) / (VarianceX * Weight + SlopePrior);
}

double runtime_estimator::kind_state::residualVariance() const {
  double Slope = slope();
  double Residual = std::max(0.0, VarianceY - 2 * Slope * Covariance + Slope * Slope * VarianceX);
  return (Residual * Weight + PriorVariance * PriorWeight) / (Weight + PriorWeight);
}

double runtime_estimator::logDeclared(const kind_state &Kind, double DeclaredMs) {
  return DeclaredMs > 0 ? std::log(DeclaredMs) : Kind.MeanX;
}

kind_id runtime_estimator::kind(std::string_view Service, std::string_view Kind) {
  std::string Name;
  Name.reserve(Service.size() + Kind.size() + 1);
  Name.append(Service).append(1, '\0').append(Kind);
  if (Kinds.size() >= MaxKinds && Kind != OtherKinds && !Names.contains(Name))
    return kind(Service, OtherKinds);
  auto [Found, New] = Names.try_emplace(std::move(Name), static_cast<kind_id>(Kinds.size()));
  if (New)
    Kinds.emplace_back();
  return Found->second;
}

size_estimate runtime_estimator::estimate(kind_id Kind, double DeclaredMs) const {
  const auto &State = Kinds[Kind];
  if (State.Weight == 0)
    return {DeclaredMs > 0 ? std::log(DeclaredMs) : FleetLog, std::sqrt(PriorVariance)};
  double X = logDeclared(State, DeclaredMs);
  return {State.MeanY + State.slope() * (X - State.MeanX), std::sqrt(State.residualVariance())};
}

void runtime_estimator::observe(kind_id Kind, double DeclaredMs, double RunMs, speed_belief &Speed) {
  auto &State = Kinds[Kind];
  double LogRun = std::log(std::max(RunMs, 0.01));
  auto Expected = estimate(Kind, DeclaredMs);
  double NoiseVariance = Expected.Spread * Expected.Spread;
  // The deviation is shared between the server and the kind in proportion to their uncertainty.
  double KindVariance = NoiseVariance / (State.Weight + PriorWeight);
  double Deviation = Expected.Log - LogRun - Speed.Log;
  double Total = Speed.Variance + KindVariance + NoiseVariance;
  bool Surprise = State.Weight > 5 && Deviation * Deviation > 9 * Total;
  Speed.Surprises = Surprise ? Speed.Surprises + 1 : 0;
  if (Speed.Surprises >= SurpriseLimit) {
    Speed.Variance = MaxSpeedVariance;
    Speed.Surprises = 0;
    Total = Speed.Variance + KindVariance + NoiseVariance;
  }
  double OldVariance = Speed.Variance;
  double OldLog = Speed.Log;
  double Gain = Speed.Variance / Total;
  // A single deviation counts at most as three standard deviations.
  double Bound = 3 * std::sqrt(Total);
  Speed.Log += Gain * std::clamp(Deviation, -Bound, Bound);
  Speed.Variance = std::min(MaxSpeedVariance, Speed.Variance * (1 - Gain) + SpeedDrift);

  double X = logDeclared(State, DeclaredMs);
  double Y = LogRun + OldLog;
  // Runs on servers of unknown speed say less about the kind.
  double New = std::max(0.05, NoiseVariance) / (std::max(0.05, NoiseVariance) + OldVariance);
  State.Weight = State.Weight * KindForgetting + New;
  double Share = New / State.Weight;
  double StepX = X - State.MeanX;
  double StepY = Y - State.MeanY;
  State.MeanX += Share * StepX;
  State.MeanY += Share * StepY;
  State.VarianceX = (1 - Share) * (State.VarianceX + Share * StepX * StepX);
  State.Covariance = (1 - Share) * (State.Covariance + Share * StepX * StepY);
  State.VarianceY = (1 - Share) * (State.VarianceY + Share * StepY * StepY);
  FleetLog += FleetGain * (Y - FleetLog);
}

} // namespace yuccaplank::model
