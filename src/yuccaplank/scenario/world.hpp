// Environment of a scenario: entry VMs with the daemon's decision code, a simulated network and simulated
// backend servers on a manually advanced clock. The invariants are checked at every start and every answer.
#pragma once

#include "yuccaplank/simulation/simulated_fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::scenario {

struct world_options {
  std::uint32_t Vms = 4;
  std::uint32_t Domains = 2;
  std::uint32_t Servers = 8;
  std::uint32_t DispatchersPerDomain = 3;
  std::uint64_t Seed = 1;
};

/// A job as its caller describes it.
struct job_spec {
  std::string Queue = simulation::QueueName;
  std::uint32_t Tasks = 1;
  double TaskMs = 100;
  double DeclaredMs = 0;
  double Cores = 27;
  double DeadlineMs = 10'000;
  /// Whether the first task crashes each server that starts it.
  bool Crashes = false;
};

/// One submission as its caller sees it.
struct submission_record {
  dispatch::job_id Job;
  std::string Vm;
  dispatch::job_request Request;
  std::string Queue;
  runtime::time_point SentAt{};
  double LatencyMs = 0;
  bool Answered = false;
  /// Whether the caller's connection closed because the VM ended before it answered.
  bool ConnectionLost = false;
  /// Whether the caller has left.
  bool Left = false;
  dispatch::job_answer Answer;
};

class world {
public:
  explicit world(const world_options &Options);

  void run(double Milliseconds) { Executor->advance(runtime::fromMs(Milliseconds)); }
  [[nodiscard]] double nowMs() const;
  simulation::simulated_fleet &fleet() { return Fleet; }

  void killVm(const std::string &Vm, bool PowerLoss);
  void cutDomain(const std::string &Domain);
  void cutLink(const std::string &From, const std::string &To);
  void heal();
  /// Begins or ends the evacuation of a domain. Only the given VM reads it from the store; all do if Vm is
  /// empty.
  void setEvacuated(const std::string &Domain, bool IsEvacuated, const std::string &Vm);
  /// Returns the VM that owns a server; empty when none does.
  [[nodiscard]] std::string ownerOf(const std::string &Server);

  std::size_t submit(const std::string &Vm, const job_spec &Spec);
  /// Submits the same job again, as a caller does after it has lost the answer.
  std::size_t resubmit(const std::string &Vm, std::size_t Submission);
  /// Ends the caller's connection.
  void leave(std::size_t Submission);
  /// Cancels the job of a submission through a VM.
  void cancel(const std::string &Vm, std::size_t Submission);
  [[nodiscard]] const submission_record &submission(std::size_t Index) const { return Submissions.at(Index); }
  /// Number of starts of the submission's tasks on all servers.
  [[nodiscard]] std::uint64_t startCount(std::size_t Submission) const;
  /// Number of the submission's tasks that run now.
  [[nodiscard]] std::uint32_t runningTasks(std::size_t Submission);

  /// Returns all violations of invariants so far, one line each.
  [[nodiscard]] std::vector<std::string> violations() const;

private:
  std::size_t send(const std::string &Vm, submission_record Record);
  void onStart(const std::string &Server, const dispatch::run_key &Run);
  void onAnswer(const std::string &Vm, dispatch::job_id Job, const dispatch::job_answer &Answer);

  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  runtime::random Random;
  simulation::simulated_fleet Fleet;
  std::vector<submission_record> Submissions;
  std::map<dispatch::job_id, std::uint64_t> Starts;
  std::vector<std::pair<std::string, std::string>> Cuts;
  std::vector<std::string> Violations;
  std::uint64_t LastJob = 0;
};

} // namespace yuccaplank::scenario
