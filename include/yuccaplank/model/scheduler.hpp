// Decides which task starts where and when, for one dispatcher. No I/O; time comes from a clock.
#pragma once

#include "job.pb.h"
#include "peer.pb.h"
#include "service.pb.h"
#include "yuccaplank/runtime/clock.hpp"
#include "yuccaplank/runtime/error.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::model {

/// Key of a job within one scheduler, chosen by its user.
using job_key = std::uint64_t;

struct task_ref {
  job_key Job = 0;
  std::uint32_t Index = 0;
  friend bool operator==(const task_ref &, const task_ref &) = default;
};

/// A decision to start a task on a backend server.
struct task_start {
  task_ref Task;
  std::string Server;
  std::string Address;
};

/// Refusal of a job; the job has not run.
struct admission_refusal {
  runtime::errc Reason = runtime::errc::Internal;
  /// The limit or task that the reason refers to.
  std::string Subject;
  std::uint32_t RetryAfterMs = 0;
};

struct scheduler_job {
  job_key Key = 0;
  /// Kept alive by the caller until the job is finished or cancelled.
  const schema::job *Job = nullptr;
  const schema::service_document *Service = nullptr;
  runtime::time_point Deadline;
};

/// Ways in which an attempt ends.
enum class attempt_end : std::uint8_t { Completed, Failed, NotStarted };

/// A job that has ended for the scheduler because it can not complete.
struct job_failure {
  job_key Job = 0;
  runtime::errc Reason = runtime::errc::Internal;
  std::string Subject;
  /// False when no task of the job has been started.
  bool MayHaveRun = true;
};

struct scheduler_options {
  /// "critical_time", "fifo", "random", "round_robin" or "least_outstanding".
  std::string Strategy = "critical_time";
  std::uint32_t MaxQueuedTasks = 50'000;
  std::uint64_t MaxQueuedBytes = 64U << 20U;
  std::uint32_t MaxConnectionsPerServer = 24;
  /// Jobs whose predicted response exceeds this multiple of their ideal time are refused; 0 for no limit.
  /// Service documents may say otherwise.
  double MaxStretch = 2.5;
  /// Jobs are refused while the backlog that counts against their team takes longer; 0 for no limit.
  double MaxBacklogMs = 1000;
  /// Share of quotas that this scheduler enforces, 1/failure domains.
  double QuotaShare = 1.0;
  std::uint64_t Seed = 1;
};

/// Work the scheduler has decided on since the last call of takeDecisions.
struct scheduler_decisions {
  std::vector<task_start> Starts;
  std::vector<job_failure> Failures;
};

/// Figures for summaries, metrics and reports.
struct scheduler_load {
  std::uint32_t FreeSlots = 0;
  std::uint32_t TotalSlots = 0;
  std::uint32_t RunningTasks = 0;
  std::uint32_t QueuedTasks = 0;
  std::uint64_t QueuedBytes = 0;
  double BacklogMs = 0;
  double FreeSpeed = 0;
  std::uint64_t Started = 0;
  std::uint64_t RefusedStarts = 0;
  std::uint64_t Probes = 0;
};

struct server_view {
  std::string Id;
  double Speed = 1;
  std::uint32_t Running = 0;
  std::uint32_t Slots = 0;
  /// "live", "leaving", "quarantined" or "stalled".
  std::string_view State;
};

/// Queues, placement, learning, quarantine, quotas and admission of one dispatcher.
class scheduler {
public:
  virtual ~scheduler() = default;

  /// Replaces the set of backend servers. Servers that vanish get no new work; their running tasks stay
  /// known.
  virtual void setServers(const std::vector<schema::backend_entry> &Servers) = 0;
  /// A server announced that it is leaving. A list that names it live within the next 10 s is taken to lag
  /// behind.
  virtual void markLeaving(const std::string &Server) = 0;
  virtual void setQuotaShare(double Share) = 0;

  /// Queues a job or refuses it.
  virtual std::optional<admission_refusal> submit(const scheduler_job &Job) = 0;
  /// Forgets a job: queued tasks vanish, running ones are returned so that they can be stopped. Their slots
  /// stay occupied until attemptEnded.
  virtual std::vector<task_start> cancel(job_key Job) = 0;
  /// Reports the end of an attempt, also for jobs that have been cancelled.
  virtual void attemptEnded(const task_ref &Task, const std::string &Server, attempt_end End) = 0;
  /// Queued tasks of all jobs vanish, after a pause of the process; returns the jobs that had queued tasks.
  virtual std::vector<job_failure> dropQueued(runtime::errc Reason) = 0;

  /// Decides on starts and failures as of now.
  virtual scheduler_decisions takeDecisions() = 0;
  /// Latest time at which takeDecisions has to be called again when nothing else happens.
  [[nodiscard]] virtual std::optional<runtime::time_point> nextWakeup() const = 0;

  /// Expected time until a job would be complete if it was submitted now, in milliseconds.
  [[nodiscard]] virtual double predictResponseMs(const schema::job &Job,
                                                 const schema::service_document &Service) const = 0;
  [[nodiscard]] virtual scheduler_load load() const = 0;
  [[nodiscard]] virtual std::vector<server_view> servers() const = 0;
};

std::unique_ptr<scheduler> makeScheduler(const runtime::clock &Clock, scheduler_options Options = {});

} // namespace yuccaplank::model
