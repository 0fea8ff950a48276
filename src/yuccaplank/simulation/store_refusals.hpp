// Lets the store of a simulated day turn random VMs away for seconds, while it serves the others.
#pragma once

#include "simulation_context.hpp"

namespace yuccaplank::simulation {

class store_refusals {
public:
  explicit store_refusals(const simulation_context &Context) : Context(Context) {}

  /// Turns VMs away until the given time. All VMs read the servers' entries continually, to the end of the
  /// day.
  void start(runtime::time_point Until);

private:
  void readServers();
  void scheduleNext();
  void refuseSome();

  simulation_context Context;
  runtime::time_point Until{};
};

} // namespace yuccaplank::simulation
