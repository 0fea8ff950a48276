// A fleet of entry VMs with backend servers, callers and a network in one process, on simulated time. Faults
// come at random from a seed, and the promises are checked at every start of a task and at every answer.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccaplank::simulation {

/// Jobs of one kind. Spreads are standard deviations of logarithms.
struct job_kind {
  std::string Queue;
  std::uint32_t Priority = 0;
  double JobsPerSecond = 0;
  double Tasks = 1;
  double TaskMs = 100;
  double TaskCpu = 27000;
  /// Credit of a job of mean size within its objective; a fifth of it up to three times the objective.
  double Worth = 1;
};

/// The three kinds of the users' two sites.
std::vector<job_kind> siteKinds();

/// More jobs of one kind, or of all when Queue is empty, for a time.
struct load_burst {
  std::string Queue;
  double AtSecond = 0;
  double Seconds = 0;
  double Factor = 1;
};

struct simulation_options {
  std::uint64_t Seed = 1;
  std::uint32_t Domains = 3;
  std::uint32_t Vms = 4;
  std::uint32_t Servers = 6;
  std::uint32_t DispatchersPerDomain = 3;
  /// Jobs a second of all callers together, of random sizes; without effect when kinds are given.
  double JobsPerSecond = 10;
  std::vector<job_kind> Kinds;
  std::vector<load_burst> Bursts;
  /// Share of the servers that work SlowFactor times as long in the middle third of the day.
  double SlowShare = 0;
  double SlowFactor = 6;
  /// Share of callers that leave early.
  double LeavingShare = 0.05;
  /// Length of the traffic; faults end a few seconds before its end.
  double Seconds = 8;
  /// Faults a second; 0 plays a calm day.
  double FaultsPerSecond = 2;
  /// Adds VMs and links that lag, rolling restarts, and VMs of unequal strength.
  bool Lags = false;
  /// Share of orders to servers that get no answer and are carried out 2 to 12 s later, or whose answer is
  /// lost.
  double LateOrders = 0.02;
  double LostAnswers = 0.02;
  /// Counts the messages between VMs while there is traffic.
  bool CountMessages = false;
  /// Prints what happens to standard error.
  bool Trace = false;
};

struct simulation_result {
  /// Broken promises, in the order of time; empty when all were kept.
  std::vector<std::string> Violations;
  std::uint64_t Jobs = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Resent = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Faults = 0;
  /// Of the jobs that came after the last fault had been over for some seconds.
  std::uint64_t CalmJobs = 0;
  std::uint64_t CalmCompleted = 0;
  /// Credit earned and owed for jobs of kinds, by queue.
  struct credit {
    double Earned = 0;
    double Owed = 0;
    std::uint64_t Jobs = 0;
    std::uint64_t InTime = 0;
    std::uint64_t Late = 0;
    std::uint64_t Refused = 0;
    std::uint64_t TooLate = 0;
  };
  std::map<std::string, credit> Credit;
  /// Messages that a VM sends in a second, in the mean and at most.
  double MessagesOfVm = 0;
  double MostMessagesOfVm = 0;
  double MostBytesOfVm = 0;
  /// Messages that the fleet sends in a second, by kind.
  std::map<std::string, double> MessagesByKind;
};

simulation_result simulateFleet(const simulation_options &Options);

} // namespace yuccaplank::simulation
