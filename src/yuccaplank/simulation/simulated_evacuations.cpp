#include "simulated_evacuations.hpp"

#include <fmt/format.h>

namespace yuccaplank::simulation {
namespace {

using runtime::duration;
using runtime::fromMs;

// Time after the request for an evacuation from which no start may be ordered in the domain.
constexpr double EvacuationLimitMs = 5000;

} // namespace

void simulated_evacuations::start() {
  Context.Fleet.servers().observeStartOrders(
      [this](const std::string &Vm, const std::string &Server) { onStartOrder(Vm, Server); });
  std::uint64_t Count = 1 + Context.Random.next() % Context.Options.Domains;
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    std::string Domain =
        Context.Fleet.domainOf(static_cast<std::uint32_t>(Context.Random.next() % Context.Options.Domains));
    duration Begin = fromMs(2500 * Context.Random.uniform());
    // Evacuations that end within a second test the order of changes, longer ones the limit.
    for (int Repetition = Context.Random.uniform() < 0.3 ? 2 : 0; Repetition > 0; --Repetition) {
      schedule(Domain, Begin, fromMs(900 * Context.Random.uniform()));
      Begin += fromMs(1000);
    }
    schedule(Domain, Begin, fromMs(5000 + 4000 * Context.Random.uniform()));
  }
}

void simulated_evacuations::schedule(const std::string &Domain, duration Begin, duration Length) {
  Context.Executor.after(Begin, [this, Domain] { setEvacuated(Domain, true); });
  Context.Executor.after(Begin + Length, [this, Domain] { setEvacuated(Domain, false); });
}

// The store turns some VMs away for seconds. These learn of the change from the others.
void simulated_evacuations::setEvacuated(const std::string &Domain, bool IsEvacuated) {
  Context.trace(fmt::format("{} {}", Domain, IsEvacuated ? "is evacuated" : "is taken back"));
  if (IsEvacuated)
    EvacuatedAt.try_emplace(Domain, Context.now());
  else
    EvacuatedAt.erase(Domain);
  Context.Fleet.setEvacuated(Domain, IsEvacuated, [this](const std::string &) {
    return fromMs(Context.Random.uniform() < 0.3 ? 4000 : 40 * Context.Random.uniform());
  });
}

void simulated_evacuations::onStartOrder(const std::string &Vm, const std::string &Server) {
  auto Evacuated = EvacuatedAt.find(Context.Fleet.servers().domainOf(Server));
  if (Evacuated == EvacuatedAt.end())
    return;
  duration Age = Context.now() - Evacuated->second;
  if (Age > fromMs(EvacuationLimitMs))
    OnViolation(fmt::format("{} orders a start on {} {:.0f} ms after {} was evacuated", Vm, Server,
                            runtime::toMs(Age), Evacuated->first));
}

} // namespace yuccaplank::simulation
