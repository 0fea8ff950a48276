// Simulated days that several tests use.
#pragma once

#include "yuccaplank/simulation/fleet_simulation.hpp"

namespace yuccaplank::testing {

/// Returns a day without faults of a fleet of the size of the users' sites, at a share of their ordinary
/// load.
simulation::simulation_options siteWithoutFaults(double Seconds, double Load = 1);

/// Simulates a day; of the log, only errors are written.
simulation::simulation_result simulateQuietly(const simulation::simulation_options &Options);

} // namespace yuccaplank::testing
