// The coordinator role: handles the jobs of this VM's callers, and those that other VMs relay to it, from
// submission to answer.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/loss_verdict.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

struct coordinator_options {
  /// A run whose owner is out of contact counts as ended after this time, unless another owner reports it:
  /// the lost owner stops the run within its own limit for coordinators out of contact, and without an owner
  /// the server's lease ends.
  runtime::duration OrphanTimeout = std::chrono::milliseconds(1100);
  /// A job has value for its caller up to this many times its objective.
  double LateFactor = 3;
  /// Factor on the run time of a task outside the rack of its data.
  double RemoteFactor = 1;
  /// Delay between declining a grant for a task and requesting its placement again, so that a stale view of a
  /// server does not cause a burst of refusals. It also follows the second refusal of a task by an owner
  /// within this time.
  runtime::duration PlacementRetryDelay = std::chrono::milliseconds(5);
  /// New jobs are refused if no placer becomes known within this time. It is longer than the discovery of the
  /// other VMs takes in a fleet that has just started.
  runtime::duration PlacerTimeout = std::chrono::milliseconds(800);
  /// A job of which nothing has started is refused this long after the latest start at which its answer would
  /// have had value. The placer refuses it earlier, unless contact with the placer is lost.
  runtime::duration RefusalMargin = std::chrono::milliseconds(250);
};

struct coordinator_counters {
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t TimedOut = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t TasksPlacedAgain = 0;
  /// Placement requests that were delayed because owners had refused the task twice in a short time.
  std::uint64_t PlacementsDelayed = 0;
  std::uint64_t Orphaned = 0;
  std::uint64_t Adopted = 0;
  /// Runs that were lost with their server, or with the path to it.
  std::uint64_t RunsLost = 0;
  /// How often a job had to wait until it was known whether its servers had crashed.
  std::uint64_t Suspended = 0;
};

/// Gives the coordinator its view of the other VMs, and takes its messages and answers.
class coordinator_ports {
public:
  virtual ~coordinator_ports() = default;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  /// The VM that places tasks now; empty when none is known.
  [[nodiscard]] virtual std::string placer() const = 0;
  /// Whether the VM is in contact.
  [[nodiscard]] virtual bool reachable(const std::string &Vm) const = 0;
  /// Number of the current session with the VM. Messages of one session arrive in order.
  [[nodiscard]] virtual std::uint32_t session(const std::string &Vm) const = 0;
  /// What the servers that were lost under the task mean for its next run.
  [[nodiscard]] virtual loss_verdict verdict(const task_key &Task) const = 0;
  /// The most severe verdict on any task of the job.
  [[nodiscard]] virtual loss_verdict verdict(job_id Job) const = 0;
  /// Describes for the log the losses under the tasks of the job.
  [[nodiscard]] virtual std::string describeLosses(job_id Job) const = 0;
  /// Delivers the answer of a job. It is called once for each job.
  virtual void answer(job_id Job, const job_answer &Answer) = 0;
};

class job_coordinator : public job_service {
public:
  /// Number of jobs without a started task, by the name of their queue.
  [[nodiscard]] virtual std::map<std::string, std::uint32_t> queueLengths() const = 0;

  virtual void onGrant(const std::string &Placer, const schema::grant &Grant) = 0;
  virtual void onReject(const schema::reject_job &Rejection) = 0;
  virtual void onEvent(const std::string &Owner, const schema::task_event &Event) = 0;
  /// A VM has claimed a server and lists the runs that it found there. Hands the listed runs of this
  /// coordinator's jobs to the new owner; those that are not listed as running have ended.
  virtual void onAdopt(const std::string &Owner, const schema::adopt_request &Request) = 0;
  /// The owner gives up a server that it had claimed under the given token, or a single run there.
  virtual void onYield(const std::string &Owner, const schema::yield_server &Yield) = 0;
  /// The placer or the session with it has changed: requests the placement of all waiting tasks again.
  virtual void onPlacerChanged() = 0;
  /// Contact with the VM is lost.
  virtual void onVmLost(const std::string &Vm) = 0;
  /// A new session with the VM begins: adds the runs that this coordinator expects there to Session and sends
  /// it.
  virtual void onVmResumed(const std::string &Vm, schema::resume_session Session) = 0;
  /// What is known of lost servers has changed, and with it perhaps the verdicts on suspended tasks.
  virtual void onLossesChanged() = 0;
  [[nodiscard]] virtual const coordinator_counters &counters() const = 0;
};

std::unique_ptr<job_coordinator> makeJobCoordinator(runtime::executor &Executor, coordinator_ports &Ports,
                                                    coordinator_options Options = {});

} // namespace yuccaplank::dispatch
