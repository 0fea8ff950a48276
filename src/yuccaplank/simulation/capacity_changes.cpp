#include "capacity_changes.hpp"

#include <fmt/format.h>

namespace yuccaplank::simulation {
namespace {

using runtime::fromMs;

constexpr double RestartShare = 0.3;
constexpr double MinCapacityCpu = 20000;
constexpr double MaxCapacityCpu = 96000;
// Shortest time that a server takes to restart.
constexpr double ServerRestartMs = 1300;
// Time until a VM has read a change of a server's entry.
constexpr double MaxReadDelayMs = 2000;

} // namespace

void capacity_changes::start(runtime::time_point End) {
  Until = End;
  scheduleNext();
}

void capacity_changes::scheduleNext() {
  Context.Executor.after(fromMs(2000 / Context.Options.CapacityChangesPerSecond * Context.Random.uniform()),
                         [this] {
                           if (Context.now() >= Until)
                             return;
                           changeCapacity(Context.randomServer());
                           scheduleNext();
                         });
}

// Some servers change while they run, others restart with another capacity.
void capacity_changes::changeCapacity(const std::string &Name) {
  bool Restarts = Context.Random.uniform() < RestartShare;
  auto Cpu = static_cast<std::uint32_t>(MinCapacityCpu +
                                        (MaxCapacityCpu - MinCapacityCpu) * Context.Random.uniform());
  Context.trace(
      fmt::format("{} {} with a capacity of {}", Name, Restarts ? "is to restart" : "goes on", Cpu));
  if (!Restarts) {
    setCapacity(Name, Cpu);
    return;
  }
  Context.Fleet.servers().crash(Name);
  Context.Executor.after(fromMs(ServerRestartMs * (1 + Context.Random.uniform())), [this, Name, Cpu] {
    Context.Fleet.servers().setCapacity(Name, Cpu);
    Context.Fleet.servers().start(Name);
    setCapacity(Name, Cpu);
  });
}

void capacity_changes::setCapacity(const std::string &Name, std::uint32_t Cpu) {
  Context.Fleet.servers().setCapacity(Name, Cpu);
  Context.Fleet.publishServers([this] { return fromMs(MaxReadDelayMs * Context.Random.uniform()); });
}

} // namespace yuccaplank::simulation
