// The placer: tasks that wait for a backend server, and which of them gets which server next.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace yuccaplank::dispatch {

struct placement_options {
  /// A grant of which neither its coordinator nor the server's owner has told anything is taken back after
  /// this time.
  runtime::duration GrantTimeout = std::chrono::milliseconds(400);
  /// A coordinator that could not reach an owner gets none of its servers for this time.
  runtime::duration UnreachableTime = std::chrono::milliseconds(300);
  /// Share of its time after which a job that has no server yet is refused, so that its caller can do
  /// something else.
  double MaxWaitShare = 0.4;
  /// Servers whose run times differ by less than this factor (natural logarithm) count as equally fast.
  double SlownessStep = 0.15;
  /// Factor on a task's expected time when judging whether a server suffices for the objective.
  double EstimateMargin = 1.2;
};

/// Counts since the start, and lengths.
struct placement_counters {
  std::uint64_t Granted = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t GrantsExpired = 0;
  std::size_t WaitingTasks = 0;
  std::size_t Servers = 0;
};

/// Decisions of the placer. What it knows is soft: coordinators tell their waiting tasks again and owners
/// their servers when the placer changes, and an owner refuses what does not fit. Does no I/O.
class placement_queue {
public:
  virtual ~placement_queue() = default;
  /// Tasks of a coordinator wait; replaces what was known of the named tasks.
  virtual void place(const std::string &Coordinator, const schema::place_job &Job) = 0;
  virtual void withdraw(const std::string &Coordinator, const schema::withdraw_job &Withdrawal) = 0;
  virtual void decline(const std::string &Coordinator, const schema::decline_grant &Declined) = 0;
  virtual void updateServer(const std::string &Owner, const schema::server_state &State) = 0;
  /// The VM is gone: its tasks do not wait any more and its servers are unknown.
  virtual void removeVm(const std::string &Vm) = 0;
  /// Grants and rejects as far as possible; called after a batch of the calls above and periodically.
  virtual void schedule() = 0;
  [[nodiscard]] virtual std::size_t waitingJobs() const = 0;
  [[nodiscard]] virtual placement_counters counters() const = 0;
};

std::unique_ptr<placement_queue> makePlacementQueue(const runtime::clock &Clock, send_function Send,
                                                    placement_options Options = {});

} // namespace yuccaplank::dispatch
