#include "advisor.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaplank::dispatch::locality {

namespace {

bool hasPlace(const schema::place_job &Request) {
  return Request.remote_factor() > 1 && (!Request.rack().empty() || Request.same_rack());
}

const std::string &preferredRack(const schema::place_job &Request, const job_place &Place) {
  return Request.rack().empty() ? Place.Rack : Request.rack();
}

} // namespace

bool advisor::concerns(const schema::place_job &Request) const {
  return Options.Rule != wait_rule::Ignore && hasPlace(Request);
}

void advisor::beginPass(const std::vector<std::string> &FullPools) {
  for (const std::string &Pool : FullPools)
    LastFullAt[Pool] = Clock.now();
  for (rack_state *State : WaitedForBefore)
    State->HadWaiting = false;
  WaitedForBefore.clear();
  WaitedForBefore.swap(WaitedFor);
  for (rack_state *State : WaitedForBefore) {
    State->HadWaiting = true;
    State->WaitingCpu = 0;
  }
  if (WaitedForBefore.empty() && Clock.now() - PurgedAt >= PurgeInterval)
    purge();
}

// A server without a rack counts as a rack of its own, so racks come and go with servers.
void advisor::purge() {
  PurgedAt = Clock.now();
  std::erase_if(Racks, [this](const auto &Entry) {
    return Entry.second.Turnover.unusedSince() + PurgeInterval < PurgedAt;
  });
}

bool advisor::keepsWaiting(const schema::place_job &Request, const job_place &Place,
                           std::size_t WaitingTasks) {
  if (!Place.Waits || Clock.now() >= Place.NextDecisionAt)
    return false;
  rack_state &State = rackState(Request.pool(), Place.Rack);
  if (State.Changes != Place.RackChanges)
    return false;
  addWaiting(State, static_cast<double>(Request.size().cpu()) * static_cast<double>(WaitingTasks));
  return true;
}

void advisor::addWaiting(rack_state &State, double Cpu) {
  if (State.WaitingCpu == 0)
    WaitedFor.push_back(&State);
  // A task that needs no cores waits, too.
  State.WaitingCpu += std::max(Cpu, 1.0);
}

advisor::rack_state &advisor::rackState(const std::string &Pool, const std::string &Rack) {
  return Racks.try_emplace({Pool, Rack}, rack_state{rack_turnover(Options.TurnoverWindow)}).first->second;
}

pool_index::choice advisor::choose(const schema::place_job &Request, job_place &Place,
                                   std::size_t WaitingTasks, const job_times &Times, const pool_index &Pool,
                                   const pool_index::choice &Best, const std::string &BestRack,
                                   const std::function<bool(const std::string &)> &IsExcluded) {
  Place.Waits = false;
  if (!Request.rack().empty())
    Place.Rack = Request.rack();
  else if (!Place.Fixed)
    Place.Rack = Pool.findRackWithRoom(Request.size(), WaitingTasks);
  auto View = Pool.viewRack(Place.Rack, Request.size(), Times.MaxSlowness, IsExcluded);
  Place.RackUnusable = !View.Usable;
  // The best free server of the pool is at least as fast as all others.
  bool IsOnRack = BestRack == Place.Rack;
  situation Situation;
  Situation.EstimateMs = Request.estimate_ms();
  Situation.RemoteFactor = Request.remote_factor();
  Situation.ToObjectiveMs = Times.ToObjectiveMs;
  Situation.ToUselessMs = Times.ToUselessMs;
  if (View.Free.Id)
    Situation.FreeSlowness = View.FreeSlowness;
  Situation.ElsewhereSlowness = Pool.slownessOf(*Best.Id);
  Situation.RackUsable = View.Usable;
  Situation.RackSlowness = View.MeanSlowness;
  rack_state &State = rackState(Request.pool(), Place.Rack);
  if (!View.Free.Id)
    Situation.ExpectedWaitMs = State.Turnover.expectedWaitMs(State.WaitingCpu + Request.size().cpu(),
                                                             Request.estimate_ms(), Clock.now());
  Situation.MaxWaitMs = Place.WaitingSince ? Place.MaxWaitMs : maxWaitMs(Times.ToObjectiveMs);
  if (Place.WaitingSince)
    Situation.WaitedMs = runtime::toMs(Clock.now() - *Place.WaitingSince);
  Situation.SinceFullMs = sinceFullMs(Request.pool());
  decision Decision = IsOnRack ? decision{} : decide(Situation, Options);
  if (Decision.Step == step::Wait) {
    wait(Request, Place, State, Times.ToObjectiveMs);
    Place.NextDecisionAt =
        Clock.now() + std::min(DecisionInterval, runtime::fromMs(std::max(Decision.WaitAtMostMs, 0.0)));
    return {};
  }
  if (Decision.Step == step::TakePreferred) {
    pool_index::choice Local = View.Free.Id ? View.Free : Best;
    // A server that is too slow for the objective is left to others if the rack has one that is fast enough.
    bool WaitForFasterServer = !Local.FastEnough && View.Usable && View.MinSlowness <= Times.MaxSlowness;
    return WaitForFasterServer ? pool_index::choice{} : Local;
  }
  double Added = std::log(Situation.RemoteFactor);
  bool TooSlow = Situation.ElsewhereSlowness + Added > Times.MaxSlowness;
  if (TooSlow && Pool.anyServerFastEnough(Times.MaxSlowness - Added))
    return {};
  logGivenUp(Request, Place, Situation, Decision.Cause);
  return Best;
}

void advisor::wait(const schema::place_job &Request, job_place &Place, rack_state &State,
                   double ToObjectiveMs) {
  if (!Place.WaitingSince) {
    Place.WaitingSince = Clock.now();
    Place.MaxWaitMs = maxWaitMs(ToObjectiveMs);
  }
  Place.Waits = true;
  Place.RackChanges = State.Changes;
  addWaiting(State, Request.size().cpu());
}

double advisor::sinceFullMs(const std::string &Pool) const {
  auto Found = LastFullAt.find(Pool);
  return Found == LastFullAt.end() ? HUGE_VAL : runtime::toMs(Clock.now() - Found->second);
}

double advisor::maxWaitMs(double ToObjectiveMs) const {
  return Options.MaxWaitShare > 0 ? Options.MaxWaitShare * std::max(ToObjectiveMs, 0.0) : HUGE_VAL;
}

double advisor::onGranted(const schema::place_job &Request, job_place &Place, const std::string &Rack) {
  if (!hasPlace(Request) && WaitedFor.empty() && WaitedForBefore.empty())
    return 1;
  if (Request.same_rack() && Request.rack().empty() && !Place.Fixed) {
    Place.Rack = Rack;
    Place.Fixed = true;
  }
  const std::string &Preferred = preferredRack(Request, Place);
  bool OnRack = hasPlace(Request) && Rack == Preferred;
  rack_state &State = rackState(Request.pool(), Rack);
  if (State.HadWaiting || State.WaitingCpu > 0)
    State.Turnover.onGrantedWhileWaiting(OnRack);
  if (!hasPlace(Request))
    return 1;
  ++(OnRack ? Counters.PlacedOnRack : Counters.PlacedElsewhere);
  if (Place.WaitingSince)
    ++(OnRack ? Counters.WaitsPaid : Counters.WaitsGivenUp);
  return OnRack ? 1 : Request.remote_factor();
}

double advisor::expectedFactor(const schema::place_job &Request, const job_place &Place) const {
  return concerns(Request) && Place.RackUnusable ? Request.remote_factor() : 1;
}

void advisor::onUsedChanged(const std::string &Pool, const std::string &Rack, std::int64_t Cpu) {
  if (Cpu == 0)
    return;
  rack_state &State = rackState(Pool, Rack);
  State.Turnover.onUsedChanged(Cpu, Clock.now());
  State.Changes += Cpu < 0 ? 1 : 0;
}

void advisor::onServerRemoved(const std::string &Pool, const std::string &Rack, std::int64_t UsedCpu) {
  if (UsedCpu > 0)
    rackState(Pool, Rack).Turnover.onServerRemoved(UsedCpu, Clock.now());
}

void advisor::logGivenUp(const schema::place_job &Request, const job_place &Place, const situation &Situation,
                         cause Cause) const {
  runtime::log(runtime::log_level::Info, "place_given_up",
               {{"job", formatJob(jobOf(Request))},
                {"rack", Place.Rack},
                {"reason", std::string(causeName(Cause))},
                {"waited_ms", Situation.WaitedMs},
                {"expected_wait_ms", std::min(Situation.ExpectedWaitMs, 1e9)},
                {"estimate_ms", Situation.EstimateMs},
                {"factor", Situation.RemoteFactor},
                {"objective_left_ms", Situation.ToObjectiveMs}});
}

} // namespace yuccaplank::dispatch::locality
