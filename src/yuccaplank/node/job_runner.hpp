// Runs jobs on the backend servers of the own failure domain.
#pragma once

#include "yuccaplank/model/scheduler.hpp"
#include "yuccaplank/node/entry_node.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccaplank::node {

/// A job to run under its id.
struct run_request {
  std::string Id;
  std::shared_ptr<const schema::job> Job;
  std::shared_ptr<const schema::service_revision> Service;
  runtime::time_point Deadline;
};

/// Drives the scheduler, starts and stops tasks, and collects results. A job ends exactly once, complete or
/// failed.
class job_runner {
public:
  job_runner(runtime::executor &Executor, ports &Ports, model::scheduler &Scheduler, node_counters &Counters);

  /// Runs a job, or refuses it. OnEnd never runs from within run().
  std::optional<model::admission_refusal> run(run_request Request, answer_function OnEnd,
                                              model::job_key &Key);
  /// Ends a job at once: done tasks are discarded, queued ones dropped, running ones stopped.
  void end(model::job_key Key, runtime::errc Reason);
  /// Drops all queued tasks and fails their jobs.
  void dropQueued(runtime::errc Reason);
  /// Lets the scheduler decide in the next turn; call after its inputs have changed.
  void wake();
  [[nodiscard]] std::size_t size() const { return Jobs.size(); }

private:
  struct running_job {
    run_request Request;
    answer_function OnEnd;
    std::vector<std::string> Results;
    std::size_t Completed = 0;
    // Attempts that ended without certainty that the task did not start, and those in progress.
    std::size_t Attempts = 0;
  };

  void pump();
  void startTask(const model::task_start &Start);
  void taskEnded(const model::task_start &Start, task_report Report);
  void storeResult(model::job_key Key, std::uint32_t Index, std::string Payload);
  void fail(model::job_key Key, runtime::errc Reason, const std::string &Subject, bool MayHaveRun);
  void finish(model::job_key Key, schema::job_answer Answer);

  runtime::executor &Executor;
  ports &Ports;
  model::scheduler &Scheduler;
  node_counters &Counters;
  std::unordered_map<model::job_key, running_job> Jobs;
  model::job_key LastKey = 0;
  bool PumpPosted = false;
  runtime::timer_id WakeTimer = 0;
};

} // namespace yuccaplank::node
