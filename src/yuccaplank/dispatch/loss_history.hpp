// Remembers which tasks ran on backend servers that were lost, and what is known of each loss, so that a task
// that crashes its servers is not started again and again.
#pragma once

#include "yuccaplank/dispatch/loss_verdict.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::dispatch {

struct loss_history_options {
  /// A task is given up when this many servers have certainly crashed under it, and suspended while as many
  /// may have. Two, because a server may crash for another reason, or because of a task beside this one.
  std::uint32_t MaxCrashes = 2;
  /// A task is suspended when this many servers were lost under it, for whatever reason. A server that is
  /// silent may only be cut off, so more of these are needed.
  std::uint32_t MaxLosses = 4;
  /// How long a loss counts. Longer than callers send a job again.
  runtime::duration Retention = std::chrono::seconds(60);
  /// Age of a loss from which a reply of the server shows that it has outlived the runs, if their end on its
  /// clock is not known: longer than a lease and the delay of a reply.
  runtime::duration UnknownEndMargin = std::chrono::seconds(2);
  /// The oldest losses are forgotten beyond this number.
  std::size_t MaxServers = 1024;
};

/// Every VM that may coordinate jobs has a history, and the owners of servers tell all of them of a loss. So
/// the count survives the coordinator of the job, whoever receives the job next. A loss is settled when its
/// server replies again: with the same incarnation, the server had not crashed; with another one, it had.
/// Losses and what settles them may arrive in any order.
class loss_history {
public:
  explicit loss_history(const runtime::clock &Clock, loss_history_options Options = {})
      : Clock(Clock), Options(Options) {}

  /// Records losses, and what settles them. Losses that are already known count once.
  void record(const schema::lost_servers &Losses);
  /// Forgets losses that no longer count. Returns whether there were any, so that verdicts may have changed.
  bool forgetExpired();
  /// Returns the message that settles known losses of the server, if a reply of this incarnation at this time
  /// on its clock does.
  [[nodiscard]] std::optional<schema::lost_server>
  settle(const std::string &Server, std::int64_t IncarnationStartMs, std::int64_t ClockMs) const;
  [[nodiscard]] loss_verdict verdict(const task_key &Task) const;
  /// Returns the most severe verdict on any task of the job.
  [[nodiscard]] loss_verdict verdict(job_id Job) const;
  /// Returns the losses that still count.
  [[nodiscard]] schema::lost_servers recent() const;
  /// Describes for the log what is known of each loss under the tasks of the job.
  [[nodiscard]] std::string describe(job_id Job) const;

private:
  // Id of a server and start of its incarnation.
  using server_key = std::pair<std::string, std::int64_t>;
  // Stands for the end of a run that is not known on the server's clock.
  static constexpr std::int64_t NotKnown = std::numeric_limits<std::int64_t>::max();
  struct lost_run {
    schema::server_loss Loss = schema::LOSS_SILENT;
    // Whether the server had confirmed that it started the run.
    bool Begun = false;
    // Latest time at which the run can have ended, on the clock of the incarnation.
    std::int64_t LostAtClockMs = NotKnown;
  };
  struct lost_incarnation {
    runtime::time_point LostAt;
    // Whether another incarnation has started since.
    bool Crashed = false;
    // Time of the incarnation's latest known reply, on its clock; 0 if none is known.
    std::int64_t UpAtClockMs = 0;
    // VM that noticed the loss.
    std::string Observer;
    std::map<run_key, lost_run> Runs;
  };
  using losses_by_server = std::map<server_key, lost_incarnation>;
  // Servers that were lost under a task.
  struct loss_count {
    std::uint32_t Crashed = 0;
    std::uint32_t Suspected = 0;
    std::uint32_t Silent = 0;
  };

  static schema::server_loss lossOf(const schema::lost_server &Server);
  void recordServer(const schema::lost_server &Server);
  void recordRuns(const schema::lost_server &Server, const server_key &Key, lost_incarnation &Lost);
  // Removes the runs that the server has outlived.
  void removeOutlivedRuns(const server_key &Key, lost_incarnation &Lost);
  void removeTask(const task_key &Task, const server_key &Key);
  // The message about an incarnation without its loss, and those that settle its losses.
  [[nodiscard]] schema::lost_server makeMessage(const server_key &Key, const lost_incarnation &Lost) const;
  [[nodiscard]] schema::lost_server makeRestart(const server_key &Key, const lost_incarnation &Lost) const;
  [[nodiscard]] std::optional<schema::lost_server>
  makeSurvival(const server_key &Key, const lost_incarnation &Lost, std::int64_t ClockMs) const;
  [[nodiscard]] loss_verdict judge(const loss_count &Count) const;
  [[nodiscard]] loss_count countLosses(const task_key &Task, const std::set<server_key> &Servers) const;
  void describeRuns(const server_key &Key, const lost_incarnation &Lost, schema::lost_servers &Message) const;
  [[nodiscard]] std::string describeLoss(const task_key &Task, const server_key &Key) const;
  void forgetOldest();
  losses_by_server::iterator forget(losses_by_server::iterator Loss);

  const runtime::clock &Clock;
  loss_history_options Options;
  losses_by_server Losses;
  std::map<task_key, std::set<server_key>> ServersByTask;
};

/// What an owner knows of a server that it has lost.
struct server_loss_report {
  std::string Server;
  std::int64_t IncarnationStartMs = 0;
  schema::server_loss Loss = schema::LOSS_NONE;
  /// Latest time at which the runs can have ended, on the clock of the incarnation; 0 if that is not known.
  std::int64_t LostAtClockMs = 0;
  struct run {
    run_key Key;
    /// Whether the server had confirmed that it started the run.
    bool Begun = false;
  };
  std::vector<run> Runs;
};

/// The message by which a loss is told to all VMs that may coordinate jobs.
schema::lost_server toMessage(const server_loss_report &Report);

} // namespace yuccaplank::dispatch
