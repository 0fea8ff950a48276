#include "simulation_context.hpp"

#include <fmt/format.h>

namespace yuccaplank::simulation {

std::string simulation_context::randomVm() const {
  return simulated_fleet::vmName(static_cast<std::uint32_t>(Random.next() % Options.Vms));
}

std::string simulation_context::randomServer() const {
  auto Names = Fleet.servers().names();
  return Names[Random.next() % Names.size()];
}

void simulation_context::trace(const std::string &Text) const {
  if (Options.Trace)
    fmt::print(stderr, "{:9.2f} {}\n", runtime::toMs(now().time_since_epoch()), Text);
}

} // namespace yuccaplank::simulation
