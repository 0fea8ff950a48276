// A fleet of entry VMs with backend servers, callers and a network in one process, on simulated time. Faults
// come at random from a seed, and the promises are checked at every start of a task and at every answer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace yuccaplank::simulation {

struct simulation_options {
  std::uint64_t Seed = 1;
  std::uint32_t Domains = 3;
  std::uint32_t Vms = 4;
  std::uint32_t Servers = 6;
  /// Jobs a second of all callers together.
  double JobsPerSecond = 10;
  /// Length of the traffic; faults end a few seconds before its end.
  double Seconds = 8;
  /// Faults a second; 0 plays a calm day.
  double FaultsPerSecond = 2;
  /// Share of orders to servers that get no answer and are carried out 2 to 12 s later, or whose answer is
  /// lost.
  double LateOrders = 0.02;
  double LostAnswers = 0.02;
  /// Prints what happens to standard error.
  bool Trace = false;
};

struct simulation_result {
  /// Broken promises, in the order of time; empty when all were kept.
  std::vector<std::string> Breaches;
  std::uint64_t Jobs = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Resent = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Faults = 0;
  /// Of the jobs that came after the last fault had been over for some seconds.
  std::uint64_t CalmJobs = 0;
  std::uint64_t CalmCompleted = 0;
};

simulation_result simulateFleet(const simulation_options &Options);

} // namespace yuccaplank::simulation
