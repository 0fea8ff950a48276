// Simulates the placer alone: its decision code with backend servers, racks and callers, without VMs, losses
// or network. Compares rules for waiting for the rack of a task's data.
#pragma once

#include "yuccaplank/dispatch/locality/options.hpp"

#include <cstdint>
#include <string>

namespace yuccaplank::simulation {

struct placement_day {
  std::uint64_t Seed = 1;
  /// Demand as a share of the cores' capacity, if each task ran on its rack.
  double Load = 0.8;
  double Seconds = 10;
  std::uint32_t Servers = 100;
  /// Servers on one rack. The first rack is the hot one.
  std::uint32_t RackSize = 20;
  double RemoteFactor = 3;
  /// Share of the jobs of the kind "middle" whose data lies on the hot rack.
  double HotShare = 0.7;
  /// Whether such jobs ask for one rack for all their tasks instead.
  bool SameRack = false;
  dispatch::locality::options Locality;
};

struct placement_result {
  struct group {
    std::uint64_t Jobs = 0;
    std::uint64_t InTime = 0;
    /// A job in time earns 1, one that takes up to three times its objective 0.2, as in fleet_simulation.
    double Credit = 0;
  };
  /// Jobs with and without a preferred rack.
  group WithPlace;
  group WithoutPlace;
  std::uint64_t Tasks = 0;
  std::uint64_t TasksOnRack = 0;
  std::uint64_t Rejected = 0;
};

placement_result simulatePlacement(const placement_day &Day);

/// Returns the table of docs/design/data-locality.md: the results of each rule at three loads, summed over
/// the days with the seeds from Seed.
std::string compareWaitRules(std::uint64_t Seed, std::uint64_t Days, double RemoteFactor);

} // namespace yuccaplank::simulation
