#include "decision.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace yuccaplank::dispatch::locality {
namespace {

constexpr auto CauseNames = std::to_array<std::string_view>(
    {"none", "rack_unusable", "elsewhere_faster", "long_queue", "waited_enough", "objective", "useless"});

decision takeElsewhere(cause Cause) { return {step::TakeElsewhere, Cause, 0}; }

decision waitAtMost(double Ms) { return {step::Wait, cause::None, Ms}; }

decision decideByExpectation(const situation &Situation, double LocalMs, double RemoteMs) {
  double GainMs = RemoteMs - LocalMs;
  if (GainMs <= 0)
    return takeElsewhere(cause::ElsewhereFaster);
  if (Situation.WaitedMs >= Situation.MaxWaitMs)
    return takeElsewhere(cause::WaitedEnough);
  double LimitMs = Situation.MaxWaitMs - Situation.WaitedMs;
  // A run elsewhere occupies its server for RemoteMs. If the pool was full within the last time of that
  // length, other tasks probably wait for that server meanwhile, and they need less of its time.
  if (Situation.SinceFullMs < RemoteMs)
    return LocalMs <= Situation.ToUselessMs ? waitAtMost(std::min(LimitMs, Situation.ToUselessMs - LocalMs))
                                            : takeElsewhere(cause::Useless);
  bool RemoteInTime = RemoteMs <= Situation.ToObjectiveMs;
  bool LocalInTime = Situation.ExpectedWaitMs + LocalMs <= Situation.ToObjectiveMs;
  if (RemoteInTime && !LocalInTime)
    return takeElsewhere(cause::Objective);
  if (LocalInTime && !RemoteInTime)
    return waitAtMost(std::min(LimitMs, Situation.ToObjectiveMs - LocalMs));
  if (Situation.ExpectedWaitMs > GainMs)
    return takeElsewhere(cause::LongQueue);
  // The expectation may be wrong again and again. A total wait of at most the gain bounds the loss.
  if (Situation.WaitedMs >= GainMs)
    return takeElsewhere(cause::WaitedEnough);
  LimitMs = std::min(LimitMs, GainMs - Situation.WaitedMs);
  return waitAtMost(RemoteInTime ? std::min(LimitMs, Situation.ToObjectiveMs - RemoteMs) : LimitMs);
}

} // namespace

std::string_view causeName(cause Cause) { return CauseNames.at(static_cast<std::size_t>(Cause)); }

decision decide(const situation &Situation, const options &Options) {
  double RemoteMs = Situation.EstimateMs * Situation.RemoteFactor * std::exp(Situation.ElsewhereSlowness);
  if (Situation.FreeSlowness) {
    bool IsRackFaster = Situation.EstimateMs * std::exp(*Situation.FreeSlowness) <= RemoteMs;
    return IsRackFaster ? decision{} : takeElsewhere(cause::ElsewhereFaster);
  }
  if (!Situation.RackUsable)
    return takeElsewhere(cause::RackUnusable);
  switch (Options.Rule) {
  case wait_rule::Ignore:
    return takeElsewhere(cause::None);
  case wait_rule::AlwaysWait:
    return waitAtMost(Situation.ToUselessMs);
  case wait_rule::FixedWait: {
    double LeftMs = runtime::toMs(Options.FixedWait) - Situation.WaitedMs;
    return LeftMs > 0 ? waitAtMost(LeftMs) : takeElsewhere(cause::WaitedEnough);
  }
  case wait_rule::Expected:
    break;
  }
  return decideByExpectation(Situation, Situation.EstimateMs * std::exp(Situation.RackSlowness), RemoteMs);
}

} // namespace yuccaplank::dispatch::locality
