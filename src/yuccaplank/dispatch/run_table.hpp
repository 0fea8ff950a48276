// The runs of one backend server in the record of its owner.
#pragma once

#include "resource_amounts.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

enum class run_phase : std::uint8_t {
  /// The start order is not answered yet.
  Starting,
  Running,
  /// The stop order is not answered yet.
  Stopping,
  /// The server has confirmed the stop: it will list the run's end, or the run never started.
  StopConfirmed,
};

struct server_run {
  /// Empty if no coordinator has claimed the run.
  std::string Coordinator;
  /// Whether another VM relayed the job to the coordinator.
  bool Relayed = false;
  schema::task_size Size;
  /// Whether Size is not known, so that the run counts as large as the server, whatever its capacity is.
  bool FillsServer = false;
  /// Whether no other run may start on the server.
  bool Alone = false;
  std::uint32_t EstimateMs = 0;
  /// Earlier runs of the task that were stopped because they took too long.
  std::uint32_t OverdueRuns = 0;
  /// Earlier runs of the task that failed on other servers.
  std::uint32_t FailedRuns = 0;
  run_phase Phase = run_phase::Starting;
  runtime::time_point StartedAt;
  /// Set when the server has certainly processed the run's latest order: the number of the last hold that was
  /// sent before. If the list of a later hold lacks the run, the run has ended or never started.
  std::optional<std::uint64_t> ConfirmedAfterHold;
  /// The run must have ended by this time, on the clock that counts suspension, unless its coordinator
  /// answers another heartbeat before the run is stopped. time_point::min() until a first value is known.
  runtime::time_point AllowedUntil = runtime::time_point::min();
  /// Whether the run was found at a takeover and no coordinator has claimed it yet. Its size is not known.
  bool Unclaimed = false;
  /// Whether the server may still carry out the start order.
  bool StartPending = true;
  /// Whether the server has confirmed that it started the run, by a reply or by a list.
  bool Begun = false;
  /// Set when the reply to the start order is overdue: the number of the last hold that was sent before. The
  /// list of a later hold tells whether the server has carried out the order.
  std::optional<std::uint64_t> SuspectedAfterHold;
  std::string StopReason;
  /// Whether the run is stopped because it takes too long.
  bool Overdue = false;
  /// Whether the run has taken much longer than expected (long_run_evidence).
  bool Long = false;
  /// Whether the run was ordered from an incarnation of the server that has ended.
  bool OnFormerIncarnation = false;
  /// When the first stop order was sent.
  runtime::time_point StoppedAt;
  /// Number of stop orders sent.
  std::uint32_t Stops = 0;
};

class run_table {
public:
  using map = std::map<run_key, server_run>;

  server_run &operator[](const run_key &Run) { return Runs[Run]; }
  /// Returns null if the table does not contain the run.
  server_run *find(const run_key &Run);
  [[nodiscard]] bool contains(const run_key &Run) const { return Runs.contains(Run); }
  void erase(const run_key &Run) { Runs.erase(Run); }
  void clear() { Runs.clear(); }
  [[nodiscard]] bool empty() const { return Runs.empty(); }
  [[nodiscard]] std::size_t size() const { return Runs.size(); }
  map::iterator begin() { return Runs.begin(); }
  map::iterator end() { return Runs.end(); }
  [[nodiscard]] map::const_iterator begin() const { return Runs.begin(); }
  [[nodiscard]] map::const_iterator end() const { return Runs.end(); }

  /// Part of a server's capacity that the runs take together.
  [[nodiscard]] schema::task_size used(const schema::task_size &Capacity) const;
  [[nodiscard]] resource_amounts freeCapacity(const schema::task_size &Capacity) const;
  [[nodiscard]] bool containsTask(const task_key &Task) const;
  [[nodiscard]] bool anyUnclaimed() const;
  [[nodiscard]] bool anyAlone() const;
  [[nodiscard]] std::set<std::string> coordinators() const;
  [[nodiscard]] std::vector<run_key> keys() const;
  /// Latest end of a lease that is valid for all runs except those whose stop is confirmed; time_point::max()
  /// without runs.
  [[nodiscard]] runtime::time_point allowedUntil() const;
  /// Whether a stop order that was first sent before this time is not confirmed yet.
  [[nodiscard]] bool anyStopUnconfirmedSince(runtime::time_point Before) const;
  /// Records that a list of the server shows these runs.
  void confirmBegun(const std::vector<run_key> &Listed);
  /// Runs that certainly do not run, because the list of this hold lacks them.
  [[nodiscard]] std::vector<run_key> missingFrom(const std::vector<run_key> &Listed,
                                                 std::uint64_t Hold) const;
  /// Whether any run needs a list: its stop is confirmed, or the reply to its start is overdue.
  [[nodiscard]] bool anyAwaitsList() const;
  /// Runs that end when the lease expires. Runs whose start is pending are included only on request.
  [[nodiscard]] std::vector<run_key> endingWithLease(bool IncludePendingStarts) const;

private:
  map Runs;
};

} // namespace yuccaplank::dispatch
