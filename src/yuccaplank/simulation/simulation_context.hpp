// What the parts of a simulated day share.
#pragma once

#include "fleet_simulation.hpp"
#include "simulated_fleet.hpp"
#include "yuccaplank/runtime/random.hpp"

#include <string>

namespace yuccaplank::simulation {

struct simulation_context {
  const simulation_options &Options;
  runtime::manual_executor &Executor;
  runtime::random &Random;
  simulated_fleet &Fleet;

  [[nodiscard]] runtime::time_point now() const { return Executor.clock().now(); }
  [[nodiscard]] std::string randomVm() const;
  [[nodiscard]] std::string randomServer() const;
  /// Prints the text with the simulated time if the options ask for a trace.
  void trace(const std::string &Text) const;
};

} // namespace yuccaplank::simulation
