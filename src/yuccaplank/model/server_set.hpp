// Backend servers of one dispatcher: slots, speed groups, and the attempts that occupy slots. Times in
// milliseconds of the clock.
#pragma once

#include "peer.pb.h"
#include "quarantine.hpp"
#include "runtime_estimator.hpp"
#include "yuccaplank/model/scheduler.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace yuccaplank::model {

using server_id = std::uint32_t;
using pool_id = std::uint32_t;
using group_id = std::uint32_t;
using fit_id = std::uint32_t;
inline constexpr std::uint32_t None = std::numeric_limits<std::uint32_t>::max();

struct flow;

/// A task that occupies a slot.
struct attempt {
  task_ref Task;
  double StartedMs = 0;
  double ExpectedEndMs = 0;
  /// Time from which the attempt counts as a sign of a stalled server.
  double OverdueMs = 0;
  double DeclaredMs = 0;
  kind_id Kind = 0;
  pool_id Pool = 0;
  flow *Flow = nullptr;
  /// Tries a quarantined server.
  bool Probe = false;
  /// Tries a suspect server.
  bool Trial = false;
};

struct server {
  std::string Id;
  std::string Address;
  pool_id Pool = 0;
  std::uint32_t Cores = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  std::uint32_t Slots = 0;
  /// Slots believed to be usable after refused starts.
  std::uint32_t Limit = 0;
  bool Listed = false;
  bool Leaving = false;
  bool Stalled = false;
  bool StallCheckPending = false;
  bool LimitPending = false;
  /// Refused starts since all slots were last believed usable.
  std::uint32_t Refusals = 0;
  /// Time of the server's own announcement that it leaves; 0 for none.
  double AnnouncedMs = 0;
  double LastEndMs = 0;
  server_health Health;
  speed_belief Speed;
  std::vector<attempt> Running;
  // Position in the index.
  int Bucket = 0;
  group_id Group = None;
  std::uint32_t FreePosition = None;
  std::uint32_t CountedFree = 0;
  std::uint32_t CountedSlots = 0;
  double CountedSpeed = 0;

  [[nodiscard]] double speed() const;
  [[nodiscard]] bool usable() const { return Listed && !Leaving && !Stalled && !Health.Quarantined; }
  [[nodiscard]] std::uint32_t freeSlots() const;
  [[nodiscard]] std::string_view state() const;
};

/// Usable servers of one pool and size whose speeds differ by a few percent.
struct server_group {
  std::vector<server_id> Free;
  /// Expected ends of the running attempts, ascending.
  std::vector<double> EndsMs;
  double SpeedSum = 0;
  std::uint32_t Members = 0;
  /// Tasks that wait for this group in the current round of decisions.
  std::uint32_t Claims = 0;
  std::uint64_t ClaimRound = 0;
  [[nodiscard]] double speed() const { return SpeedSum / Members; }
};

/// What a task needs, with the groups that have it.
struct fit_class {
  pool_id Pool = 0;
  std::uint32_t Cores = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  /// Slowest first.
  std::vector<group_id> Groups;
  std::uint64_t Version = 0;
  std::uint64_t ListVersion = 0;
  /// Whether any listed server fits, usable or not.
  bool Runnable = false;
};

/// Amounts of each resource that servers of a pool have. Needs are rounded up to them, so that there are few
/// classes whatever callers ask for.
struct pool_sizes {
  std::set<std::uint32_t> Cores;
  std::set<std::uint32_t> MemoryMb;
  std::set<std::uint32_t> Accelerators;
};

struct pool_totals {
  std::uint32_t Listed = 0;
  std::uint32_t Slots = 0;
  std::uint32_t FreeSlots = 0;
  /// Work of speed 1 that the pool does per unit of time.
  double Capacity = 0;
  double FreeCapacity = 0;
};

class server_set {
public:
  void configure(const std::vector<schema::backend_entry> &Entries, std::uint32_t MaxConnections,
                 double NowMs);
  /// The server has announced that it leaves.
  void markLeaving(const std::string &Id, double NowMs);
  [[nodiscard]] server_id find(const std::string &Id) const;
  server &operator[](server_id Server) { return Servers[Server]; }
  const server &operator[](server_id Server) const { return Servers[Server]; }
  [[nodiscard]] std::size_t size() const { return Servers.size(); }
  [[nodiscard]] std::size_t listed() const { return ListedCount; }

  pool_id pool(const std::string &Name);
  [[nodiscard]] const pool_totals &totals(pool_id Pool) const { return Pools[Pool]; }
  [[nodiscard]] std::size_t pools() const { return Pools.size(); }

  /// Class of a task's needs; None when no server of the pool has as much of some resource.
  fit_id fit(pool_id Pool, const schema::task &Task);
  /// Fit class with its groups brought up to date.
  const fit_class &fitClass(fit_id Fit);
  /// Fit class as of the last call of fitClass().
  [[nodiscard]] const fit_class &knownFitClass(fit_id Fit) const { return Fits[Fit]; }
  [[nodiscard]] bool fits(fit_id Fit, server_id Server) const;
  [[nodiscard]] const server_group &group(group_id Group) const { return Groups[Group]; }

  /// Forgets the claims of the previous round.
  void beginRound() { ++Round; }
  /// Time until a slot of the group is expected to be free, behind the claims of this round.
  [[nodiscard]] double waitMs(group_id Group, double NowMs) const;
  void claim(group_id Group);

  void start(server_id Server, const attempt &Attempt);
  /// Frees the slot of a task; false when the server does not run it.
  bool end(server_id Server, const task_ref &Task, attempt &Ended);
  /// Brings the index up to date after a change of a server's state, limit or speed.
  void refresh(server_id Server);

private:
  using group_key = std::tuple<pool_id, std::uint32_t, std::uint32_t, std::uint32_t, int>;
  void place(server_id Server, group_id Group);
  group_id groupFor(const server &Server);
  void setFree(server_id Server, bool Free);
  void count(server &Server);
  void forgetUnused();

  std::vector<server> Servers;
  std::vector<server_id> Unused;
  std::unordered_map<std::string, server_id> Ids;
  std::unordered_map<std::string, pool_id> PoolNames;
  std::vector<pool_totals> Pools;
  std::vector<pool_sizes> Sizes;
  std::map<group_key, group_id> GroupKeys;
  std::vector<group_key> GroupOrder;
  std::vector<server_group> Groups;
  std::map<std::tuple<pool_id, std::uint32_t, std::uint32_t, std::uint32_t>, fit_id> FitKeys;
  std::vector<fit_class> Fits;
  /// Grows whenever a group gains its first or loses its last member.
  std::uint64_t Version = 1;
  /// Grows with every list of servers.
  std::uint64_t ListVersion = 1;
  std::uint64_t Round = 0;
  std::size_t ListedCount = 0;
};

} // namespace yuccaplank::model
