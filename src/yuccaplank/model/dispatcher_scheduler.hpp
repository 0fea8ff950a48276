// The scheduler of one dispatcher: joins queue, servers, placement, learning and limits. Its functions are
// defined in scheduler.cpp and the scheduler_*.cpp files.
#pragma once

#include "fair_queue.hpp"
#include "placement.hpp"
#include "quarantine.hpp"
#include "runtime_estimator.hpp"
#include "scheduled_job.hpp"
#include "server_set.hpp"
#include "yuccaplank/model/scheduler.hpp"

#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace yuccaplank::model {

/// Things that become due without an event from outside.
enum class timer_kind : std::uint8_t { Retry, RaiseLimit, StallCheck };

struct timer {
  double AtMs = 0;
  timer_kind Kind = timer_kind::Retry;
  task_ref Task;
  server_id Server = None;
  bool operator<(const timer &Other) const { return AtMs > Other.AtMs; }
};

/// See scheduler. Times in milliseconds of the clock.
class dispatcher_scheduler final : public scheduler {
public:
  dispatcher_scheduler(const runtime::clock &Clock, scheduler_options Given)
      : Clock(Clock), Options(std::move(Given)), Traits(strategyTraits(Options.Strategy)),
        Placement(makePlacement(Options.Strategy, Servers, Options.Seed + 1)), Random(Options.Seed) {}

  void setServers(const std::vector<schema::backend_entry> &Entries) override {
    Servers.configure(Entries, Options.MaxConnectionsPerServer, nowMs());
    Quarantined.clear();
    for (server_id Id = 0; Id < Servers.size(); ++Id)
      if (Servers[Id].Listed && Servers[Id].Health.Quarantined)
        Quarantined.push_back(Id);
    while (Quarantined.size() > quarantineLimit(Servers.listed()))
      readmit(Quarantined.back());
  }

  void markLeaving(const std::string &Id) override { Servers.markLeaving(Id, nowMs()); }

  void setQuotaShare(double Share) override {
    Options.QuotaShare = Share;
    for (auto &Pool : Queues)
      Pool.Queue.setQuotaShare(Share);
  }

  std::optional<admission_refusal> submit(const scheduler_job &Job) override;
  std::vector<task_start> cancel(job_key Key) override;
  void attemptEnded(const task_ref &Task, const std::string &Server, attempt_end End) override;
  std::vector<job_failure> dropQueued(runtime::errc Reason) override;
  scheduler_decisions takeDecisions() override;
  [[nodiscard]] std::optional<runtime::time_point> nextWakeup() const override;
  [[nodiscard]] double predictResponseMs(const schema::job &Job,
                                         const schema::service_document &Service) const override;
  [[nodiscard]] scheduler_load load() const override;
  [[nodiscard]] std::vector<server_view> servers() const override;

private:
  using job_map = std::unordered_map<job_key, scheduled_job>;
  struct prediction {
    /// Until the job's turn comes.
    double WaitMs = 0;
    /// The longer of the job's ideal time and its own work if the tasks are shorter than expected, by as much
    /// as they may well be.
    double LeastMs = 0;
    /// Until the pool has done all queued work that counts against the job's team.
    double BacklogMs = 0;
  };

  [[nodiscard]] double nowMs() const { return runtime::toMs(Clock.now().time_since_epoch()); }
  double unit() { return std::uniform_real_distribution<>(0, 1)(Random); }
  pool_queue &queueOf(pool_id Pool);
  flow &flowOf(const scheduled_job &Job);

  // Admission.
  std::optional<admission_refusal> describe(scheduled_job &Job);
  struct wait_limits {
    double MaxStretch = 0;
    double MaxBacklogMs = 0;
  };
  [[nodiscard]] wait_limits waitLimits(const schema::service_document &Service) const;
  std::optional<admission_refusal> checkLimits(const scheduled_job &Job, const prediction &Expected);
  /// Sets what the job's key depends on, and predicts its response.
  prediction predict(scheduled_job &Job) const;
  /// Key of a job whose longest queued task has the size HeadMs.
  static double keyOf(const scheduled_job &Job);
  void rekey(scheduled_job &Job);
  std::uint32_t retryAfter(double WaitMs);
  void enqueue(scheduled_job &Job);

  // Decisions.
  void recheckAt(double AtMs) { RecheckMs = RecheckMs > 0 ? std::min(RecheckMs, AtMs) : AtMs; }
  void runTimers();
  void raiseLimit(server_id Server);
  void requeue(const task_ref &Task);
  void expireDeadlines();
  void runPass(pool_id Pool);
  [[nodiscard]] bool exhausted(fit_id Fit) const {
    return Fit < ExhaustedIn.size() && ExhaustedIn[Fit] == Pass;
  }
  pass_step placeTasks(scheduled_job &Job, bool BeyondShare);
  void startTask(scheduled_job &Job, std::size_t Position, const placement_choice &Choice, bool Probe);
  void probe(pool_id Pool);
  bool probeWith(scheduled_job &Job, server_id Server);

  // Ends of attempts.
  void learn(const attempt &Ended, server_id Server);
  void readmit(server_id Server);
  void judge(const attempt &Ended, server_id Server, bool Failed);
  void lowerLimit(server_id Server);
  void planRaise(server_id Server);
  void retryLater(scheduled_job &Job, std::uint32_t Index, server_id Server);
  void checkStall(server_id Server);
  void endStall(server_id Server, attempt_end End);
  void quarantine(server_id Server);

  // Ends of jobs.
  void failJob(scheduled_job &Job, runtime::errc Reason, std::string Subject);
  void endJob(scheduled_job &Job);
  void dropQueuedTasks(scheduled_job &Job);
  void countQueued(scheduled_job &Job, std::uint32_t Index, int Change);
  void forget(scheduled_job &Job);

  const runtime::clock &Clock;
  scheduler_options Options;
  const strategy_traits &Traits;
  server_set Servers;
  std::unique_ptr<placement_strategy> Placement;
  pcg32 Random;
  runtime_estimator Estimator;
  failure_rates FailureRates;
  std::deque<pool_queue> Queues;
  job_map Jobs;
  std::set<std::pair<double, job_key>> Deadlines;
  std::priority_queue<timer> Timers;
  std::vector<server_id> Quarantined;
  std::vector<job_failure> Failures;
  scheduler_decisions Decisions;
  /// Time at which held tasks or tasks over quota have to be looked at again; 0 for none.
  double RecheckMs = 0;
  int Examined = 0;
  /// Jobs whose longest tasks have started in this pass.
  std::vector<scheduled_job *> Shrunk;
  /// Number of the pass, and for each fit class the last pass in which it had no free slot left.
  std::uint64_t Pass = 0;
  std::vector<std::uint64_t> ExhaustedIn;
  std::uint64_t QueuedTasks = 0;
  std::uint64_t QueuedBytes = 0;
  std::uint64_t Started = 0;
  std::uint64_t RefusedStarts = 0;
  std::uint64_t Probes = 0;
  std::uint32_t RunningTasks = 0;
};

} // namespace yuccaplank::model
