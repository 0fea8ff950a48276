// The coordinator: jobs of this VM's callers and of VMs that relay to it, from submission to answer.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

struct coordinator_options {
  /// After losing contact with the owner of a run's server, the run counts as gone after this time unless
  /// another owner reports it: the lost owner stops it within its own silence limit, and without an owner its
  /// lease ends.
  runtime::duration OrphanTimeout = std::chrono::milliseconds(1100);
  /// A job is worth something to its caller up to this many times its objective.
  double LateFactor = 3;
  /// Pause before a task whose start was refused is placed again, so that a stale view of a server does not
  /// cause a burst of refusals.
  runtime::duration ReplaceDelay = std::chrono::milliseconds(5);
  /// Without a placer in sight, new jobs are refused after this time, which is longer than the discovery
  /// of a fleet that has just started.
  runtime::duration PlacerWait = std::chrono::milliseconds(800);
};

struct coordinator_counters {
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t TimedOut = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t TasksPlacedAgain = 0;
  std::uint64_t Orphaned = 0;
  std::uint64_t Adopted = 0;
};

/// Where the coordinator gets its view of the other VMs and delivers answers.
class coordinator_ports {
public:
  virtual ~coordinator_ports() = default;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  /// VM that places tasks now; empty when none is known.
  [[nodiscard]] virtual std::string placer() const = 0;
  /// Whether the VM is in contact.
  [[nodiscard]] virtual bool reachable(const std::string &Vm) const = 0;
  /// Number of the current session with the VM.
  [[nodiscard]] virtual std::uint32_t session(const std::string &Vm) const = 0;
  /// The job has its answer, once.
  virtual void answer(std::uint64_t Job, const job_answer &Answer) = 0;
};

class job_coordinator : public job_service {
public:
  /// Jobs of which no task has been started, by queue.
  [[nodiscard]] virtual std::map<std::string, std::uint32_t> waiting() const = 0;

  virtual void onGrant(const std::string &Placer, const schema::grant &Grant) = 0;
  virtual void onReject(const schema::reject_job &Rejection) = 0;
  virtual void onEvent(const std::string &Owner, const schema::task_event &Event) = 0;
  /// Claims the runs of own jobs and takes note of the others' ends.
  virtual void onAdopt(const std::string &Owner, const schema::adopt_request &Request) = 0;
  virtual void onYield(const std::string &Owner, const schema::yield_server &Yield) = 0;
  /// The placer has changed or the session with it: waiting tasks are told again.
  virtual void onPlacerChanged() = 0;
  /// Contact with the VM is lost.
  virtual void onVmLost(const std::string &Vm) = 0;
  /// A new session with the VM begins: sends it Resume with the runs that are counted on.
  virtual void onVmResumed(const std::string &Vm, schema::resume_session Resume) = 0;
  [[nodiscard]] virtual const coordinator_counters &counters() const = 0;
};

std::unique_ptr<job_coordinator> makeJobCoordinator(runtime::executor &Executor, coordinator_ports &Ports,
                                                    coordinator_options Options = {});

} // namespace yuccaplank::dispatch
