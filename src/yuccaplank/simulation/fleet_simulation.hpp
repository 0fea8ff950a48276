// Simulates a fleet of entry VMs with backend servers, callers and a network in one process, on simulated
// time. Faults are random and derived from a seed. The invariants are checked at every start of a task and at
// every answer.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccaplank::simulation {

/// Jobs of one kind. Tasks, TaskMs and TaskCpu are medians of log-normal distributions.
struct job_kind {
  std::string Queue;
  std::uint32_t Priority = 0;
  double JobsPerSecond = 0;
  double Tasks = 1;
  double TaskMs = 100;
  double TaskCpu = 27000;
  /// Credit for a job of mean size that completes within its objective. A job that takes up to three times
  /// its objective earns a fifth of its credit, a later one nothing.
  double MeanCredit = 1;
};

/// Returns the three kinds of jobs of the users' two sites, at a share of their ordinary rates.
std::vector<job_kind> siteJobKinds(double Load = 1);

/// Multiplies the rate of one kind of jobs, or of all kinds when Queue is empty, for a time.
struct load_burst {
  std::string Queue;
  double StartSecond = 0;
  double DurationSeconds = 0;
  double Factor = 1;
};

struct simulation_options {
  std::uint64_t Seed = 1;
  std::uint32_t Domains = 3;
  std::uint32_t Vms = 4;
  std::uint32_t Servers = 6;
  std::uint32_t DispatchersPerDomain = 3;
  /// Rate of jobs of random sizes, of all callers together; has no effect when Kinds is not empty.
  double JobsPerSecond = 10;
  std::vector<job_kind> Kinds;
  std::vector<load_burst> Bursts;
  /// Share of the servers whose tasks take SlowdownFactor times as long in the middle third of the day.
  double SlowServerShare = 0;
  double SlowdownFactor = 6;
  /// Shares of the servers that, in the middle third of the day, fail PartFailing of their runs, never end
  /// PartHanging of them, or crash and restart every FlapIntervalMs.
  double FailingServerShare = 0;
  double PartFailing = 0.6;
  double HangingServerShare = 0;
  double PartHanging = 0.4;
  double FlappingServerShare = 0;
  double FlapIntervalMs = 1200;
  /// Share of the runs that fail on sound servers, and of the jobs whose tasks fail on every server during 3
  /// s of the middle third.
  double FailedRunShare = 0;
  double FailingJobShare = 0;
  /// Share of the tasks that take seven times as long as the others.
  double LongTaskShare = 0;
  /// Share of the jobs of random sizes whose data lies on the rack of the first two servers, and the factor
  /// on the time of their tasks elsewhere.
  double RackJobShare = 0;
  double RemoteFactor = 3;
  /// Share of callers of jobs of random sizes that leave early.
  double LeavingCallerShare = 0.05;
  /// Pairs of jobs have ids that differ only in the case of their digits.
  bool PairIds = false;
  /// Duration of the traffic. Faults occur in its first 60 % only.
  double TrafficSeconds = 8;
  /// Rate of faults; 0 simulates a fault-free day.
  double FaultsPerSecond = 2;
  /// Adds VMs and links that lag, rolling restarts, and VMs of unequal strength.
  bool EnableLags = false;
  /// Adds evacuations of domains, some of them repeated or of several domains at once.
  bool EnableEvacuations = false;
  /// Share of orders to servers that are carried out 2 to 12 s late and get no answer.
  double LateOrderShare = 0.02;
  /// Share of orders to servers that are carried out in time but whose answer is lost.
  double LostAnswerShare = 0.02;
  /// Share of the jobs with a task that crashes each server that starts it.
  double CrashingJobShare = 0;
  /// Share of the jobs whose tasks run on beyond the deadline and whose stop orders are all carried out late.
  double LateStopShare = 0;
  /// Share of the servers that are cut off by connection resets at a time, in cuts that follow each other:
  /// two of three concern all VMs, the third one VM. The servers run on.
  double ResetCutShare = 0;
  /// Rate at which servers change their capacity, while they run or with a restart.
  double CapacityChangesPerSecond = 0;
  /// The store turns VMs away for seconds, one or more of them at a time, and serves the others.
  bool EnableStoreRefusals = false;
  /// Counts the messages between VMs during the traffic.
  bool CountMessages = false;
  /// Prints each event to standard error.
  bool Trace = false;
};

struct simulation_result {
  /// Violations of invariants, in the order of time.
  std::vector<std::string> Violations;
  std::uint64_t Jobs = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Resent = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Faults = 0;
  /// Servers that crashed under running tasks, and the most of them under one task.
  std::uint64_t Crashes = 0;
  std::uint32_t MaxCrashesOfTask = 0;
  /// Runs whose lease expired, except those of jobs whose stop orders are all carried out late.
  std::uint64_t LapsedRuns = 0;
  /// Jobs without a crashing task, and how many of these were answered as failed because their servers ended.
  std::uint64_t HarmlessJobs = 0;
  std::uint64_t HarmlessJobsGivenUp = 0;
  std::uint64_t HarmlessJobsCompleted = 0;
  /// Jobs that were answered as failed because their servers crashed.
  std::uint64_t JobsGivenUp = 0;
  /// Jobs that were submitted more than 3 s after the end of the fault phase.
  std::uint64_t JobsAfterFaults = 0;
  std::uint64_t CompletedAfterFaults = 0;
  /// Earned and attainable credit for jobs of one kind.
  struct credit {
    double Earned = 0;
    double Attainable = 0;
    std::uint64_t Jobs = 0;
    std::uint64_t InTime = 0;
    /// Completed after the objective, but within three times the objective.
    std::uint64_t Late = 0;
    std::uint64_t Refused = 0;
    /// Completed after three times the objective.
    std::uint64_t TooLate = 0;
  };
  std::map<std::string, credit> CreditByQueue;
  /// Messages and bytes that a VM sends, as the mean and the maximum over all VMs.
  double MeanVmMessagesPerSecond = 0;
  double MaxVmMessagesPerSecond = 0;
  double MaxVmBytesPerSecond = 0;
  /// Messages that the whole fleet sends, by the name of the message's body.
  std::map<std::string, double> MessagesPerSecondByKind;
};

/// Simulates one day.
simulation_result simulateFleet(const simulation_options &Options);

} // namespace yuccaplank::simulation
