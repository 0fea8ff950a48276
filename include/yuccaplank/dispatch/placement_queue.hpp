// The placer role: keeps the tasks that wait for a backend server and decides which of them gets which server
// next.
#pragma once

#include "yuccaplank/dispatch/admission/admission_options.hpp"
#include "yuccaplank/dispatch/locality/options.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace yuccaplank::dispatch::admission {
class known_backlogs;
}

namespace yuccaplank::dispatch {

struct placement_options {
  /// A grant expires after this time unless its coordinator has declined it or the server's owner has
  /// reported it as handled.
  runtime::duration GrantTimeout = std::chrono::milliseconds(400);
  /// A coordinator that has declined a grant because it is not in contact with the server's owner gets none
  /// of this owner's servers for this time.
  runtime::duration UnreachableOwnerTimeout = std::chrono::milliseconds(300);
  /// A job that still waits for its first server after this share of the time until its deadline is refused,
  /// so that its caller can do something else.
  double MaxWaitShare = 0.4;
  /// A task under which a server has crashed waits this long for a server without other tasks.
  runtime::duration SuspectWait = std::chrono::milliseconds(250);
  /// Width of a step of slowness, the natural logarithm of a server's run time relative to the estimate.
  /// Servers in one step count as equally fast.
  double SlownessStep = 0.15;
  /// Factor on a task's estimated time when deciding whether a server is fast enough for the objective.
  double EstimateMargin = 1.2;
  /// Limit of the memory of the tasks that wait, by estimate (dispatch/job_memory). Beyond it, jobs are
  /// refused of which no task has started.
  std::uint64_t MaxWaitingBytes = std::uint64_t{16} << 20U;
  admission::admission_options Admission;
  locality::options Locality = {};
};

/// WaitingTasks and Servers are current numbers, the other members count since the start.
struct placement_counters {
  std::uint64_t Granted = 0;
  std::uint64_t Rejected = 0;
  /// Rejected because they would not have begun in time, by prediction.
  std::uint64_t RejectedByBacklog = 0;
  /// Rejected because the memory for waiting tasks was in use.
  std::uint64_t RejectedForMemory = 0;
  /// Granted to tasks of queues that had less than their guaranteed share.
  std::uint64_t GrantedByShare = 0;
  std::uint64_t GrantsExpired = 0;
  std::size_t WaitingTasks = 0;
  std::size_t Servers = 0;
  locality::counters Locality;
};

/// Decides for the placer. Its state may be lost or out of date: when the placer changes, coordinators send
/// their waiting tasks and owners the states of their servers again, and an owner refuses tasks that do not
/// fit. It does no I/O.
class placement_queue {
public:
  virtual ~placement_queue() = default;
  /// Adds waiting tasks of a coordinator's job. Replaces what was known about the job and the listed tasks.
  virtual void enqueue(const std::string &Coordinator, const schema::place_job &Job) = 0;
  virtual void withdraw(const std::string &Coordinator, const schema::withdraw_job &Withdrawal) = 0;
  virtual void decline(const std::string &Coordinator, const schema::decline_grant &Declined) = 0;
  virtual void updateServer(const std::string &Owner, const schema::server_state &State) = 0;
  /// Contact with the VM is lost: removes its jobs, its grants and the servers that it owns.
  virtual void removeVm(const std::string &Vm) = 0;
  /// Sends all grants and rejections that are possible now. Called periodically and after a batch of the
  /// calls above.
  virtual void schedule() = 0;
  [[nodiscard]] virtual std::size_t waitingJobs() const = 0;
  [[nodiscard]] virtual placement_counters counters() const = 0;
  /// Called when this VM becomes the placer: what it observed in an earlier time as the placer no longer
  /// holds.
  virtual void restartObservation() = 0;
  /// Sets the backlogs of the pools with more load than capacity.
  virtual void predictBacklogs(admission::known_backlogs &Backlogs) const = 0;
};

std::unique_ptr<placement_queue> makePlacementQueue(const runtime::clock &Clock, send_function Send,
                                                    placement_options Options = {});

} // namespace yuccaplank::dispatch
