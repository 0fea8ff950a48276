// Surroundings of a scenario: entry VMs with the real decision code on a simulated network, with simulated
// backend servers, on a paused clock. Promises are checked at every start and every answer.
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
  double Ms = 100;
  double DeclaredMs = 0;
  double Cores = 27;
  double DeadlineMs = 10'000;
};

/// One submission as its caller sees it.
struct submission_record {
  std::uint64_t Job = 0;
  std::string Vm;
  dispatch::job_request Request;
  std::string Queue;
  runtime::time_point Sent{};
  double TookMs = 0;
  bool Answered = false;
  /// The VM ended before it answered: the caller's connection closed.
  bool ConnectionLost = false;
  /// The caller has left.
  bool Left = false;
  dispatch::job_answer Answer;
};

class world {
public:
  explicit world(const world_options &Options);

  void run(double Milliseconds) { Executor->advance(runtime::fromMs(Milliseconds)); }
  [[nodiscard]] double nowMs() const;
  simulation::simulated_fleet &fleet() { return Fleet; }

  void killVm(const std::string &Vm, bool Silent);
  void cutDomain(const std::string &Domain);
  void cutLink(const std::string &From, const std::string &To);
  void heal();
  /// VM that owns a server; empty when none of them does.
  [[nodiscard]] std::string ownerOf(const std::string &Server);

  std::size_t submit(const std::string &Vm, const job_spec &Spec);
  /// The same job once more, as after a lost answer.
  std::size_t resubmit(const std::string &Vm, std::size_t Submission);
  void leave(std::size_t Submission);
  /// Cancels the job of a submission through a VM.
  void cancel(const std::string &Vm, std::size_t Submission);
  [[nodiscard]] const submission_record &submission(std::size_t Index) const { return Submissions.at(Index); }
  /// Starts of the tasks of the submission's job on all servers.
  [[nodiscard]] std::uint64_t starts(std::size_t Submission) const;
  /// Tasks of the submission's job that run now.
  [[nodiscard]] std::uint32_t running(std::size_t Submission);

  /// Every violation of a promise so far, one line each.
  [[nodiscard]] std::vector<std::string> violations() const;

private:
  std::size_t send(const std::string &Vm, submission_record Record);
  void onStart(const std::string &Server, const dispatch::run_key &Run);
  void onAnswer(const std::string &Vm, std::uint64_t Job, const dispatch::job_answer &Answer);

  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  runtime::random Random;
  simulation::simulated_fleet Fleet;
  std::vector<submission_record> Submissions;
  std::map<std::uint64_t, std::uint64_t> Starts;
  std::vector<std::pair<std::string, std::string>> Cuts;
  std::vector<std::string> Violations;
  std::uint64_t LastJob = 0;
};

} // namespace yuccaplank::scenario
