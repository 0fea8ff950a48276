// Runs on one backend server as its owner counts them.
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
  /// The start order has no answer yet.
  Starting,
  Running,
  /// The stop order has no answer yet.
  Stopping,
  /// Void at the server: either its end will be listed or it never ran.
  Voided,
};

struct server_run {
  /// Empty when nobody has claimed the run.
  std::string Coordinator;
  /// Whether the coordinator has the job from a VM that relays.
  bool Relayed = false;
  schema::task_size Size;
  std::uint32_t EstimateMs = 0;
  run_phase Phase = run_phase::Starting;
  runtime::time_point StartedAt;
  /// When the server had certainly dealt with the run's latest order; a list made after this that lacks the
  /// run proves that it does not run.
  std::optional<runtime::time_point> ConfirmedAt;
  /// By this time, on the clock that counts suspension, the run must have ended unless its coordinator is
  /// heard again; least before one is known.
  runtime::time_point AllowedUntil = runtime::time_point::min();
  /// Found at a take-over and claimed by no coordinator yet; its size is not known.
  bool Unclaimed = false;
  /// Whether the start may still be carried out, however late.
  bool StartOpen = true;
  std::string StopReason;
};

class run_table {
public:
  using map = std::map<run_key, server_run>;

  server_run &operator[](const run_key &Run) { return Runs[Run]; }
  /// Null when the run is not here.
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

  /// Room that the runs take together.
  [[nodiscard]] schema::task_size used() const;
  [[nodiscard]] resource_amounts freeCapacity(const schema::task_size &Capacity) const;
  [[nodiscard]] bool containsTask(const task_key &Task) const;
  [[nodiscard]] bool anyUnclaimed() const;
  [[nodiscard]] std::set<std::string> coordinators() const;
  [[nodiscard]] std::vector<run_key> keys() const;
  /// Until when a lease may last that holds for all runs but those that are void; the greatest time without
  /// runs.
  [[nodiscard]] runtime::time_point allowedUntil() const;
  /// Runs that a list lacks which was made after Sent, and so do not run.
  [[nodiscard]] std::vector<run_key> missingIn(const std::vector<run_key> &Listed,
                                               runtime::time_point Sent) const;
  /// Runs that end with their lease; of those whose start is open, only with IncludeOpen.
  [[nodiscard]] std::vector<run_key> lapsing(bool IncludeOpen) const;

private:
  map Runs;
};

} // namespace yuccaplank::dispatch
