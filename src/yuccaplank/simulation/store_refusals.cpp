#include "store_refusals.hpp"

#include <fmt/format.h>

namespace yuccaplank::simulation {
namespace {

using runtime::fromMs;

constexpr auto ReadInterval = std::chrono::milliseconds(500);
constexpr double MinRefusalMs = 4000;
constexpr double MaxRefusalMs = 9000;
// Shortest and longest time between the beginnings of two refusals.
constexpr double MinGapMs = 500;
constexpr double MaxGapMs = 4000;

} // namespace

void store_refusals::start(runtime::time_point End) {
  Until = End;
  readServers();
  scheduleNext();
}

void store_refusals::readServers() {
  for (std::uint32_t Index = 0; Index < Context.Options.Vms; ++Index) {
    simulated_vm &Process = Context.Fleet.vm(simulated_fleet::vmName(Index));
    Context.Executor.after({}, Process.Executor.guard([&Process] { Process.readServers(); }));
  }
  Context.Executor.after(ReadInterval, [this] { readServers(); });
}

void store_refusals::scheduleNext() {
  Context.Executor.after(fromMs(MinGapMs + (MaxGapMs - MinGapMs) * Context.Random.uniform()), [this] {
    if (Context.now() >= Until)
      return;
    refuseSome();
    scheduleNext();
  });
}

// At least one VM is served, since nobody could tell the others otherwise.
void store_refusals::refuseSome() {
  auto Served = static_cast<std::uint32_t>(Context.Random.next() % Context.Options.Vms);
  double Share = Context.Random.uniform();
  runtime::duration Length = fromMs(MinRefusalMs + (MaxRefusalMs - MinRefusalMs) * Context.Random.uniform());
  for (std::uint32_t Index = 0; Index < Context.Options.Vms; ++Index) {
    std::string Vm = simulated_fleet::vmName(Index);
    bool IsRefused = Index != Served && Context.Random.uniform() < Share;
    Context.Fleet.setStoreRefused(Vm, IsRefused);
    if (!IsRefused)
      continue;
    Context.trace(fmt::format("the store turns {} away", Vm));
    Context.Executor.after(Length, [this, Vm] {
      Context.trace(fmt::format("the store serves {} again", Vm));
      Context.Fleet.setStoreRefused(Vm, false);
    });
  }
}

} // namespace yuccaplank::simulation
