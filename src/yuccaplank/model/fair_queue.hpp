// Order of queued jobs of one pool: weighted fair shares between teams, least key first within them.
#pragma once

#include "quota.hpp"

#include <cstdint>
#include <deque>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yuccaplank::model {

/// Share of one team. Virtual time is work received divided by weight.
struct team_share {
  double Weight = 1;
  double Virtual = 0;
  /// Queued and running tasks.
  std::uint32_t Outstanding = 0;
  /// Work of the queued tasks at speed 1, in milliseconds.
  double QueuedWork = 0;
  bool Over = false;
};

struct flow;

/// What the queue needs to know of a job.
struct queue_item {
  /// Smaller goes first; changes only while the job is not in the queue.
  double Key = 0;
  /// Order among equal keys.
  std::uint64_t Sequence = 0;
  flow *Flow = nullptr;
};

struct earlier_item {
  bool operator()(const queue_item *Left, const queue_item *Right) const {
    return std::tie(Left->Key, Left->Sequence) < std::tie(Right->Key, Right->Sequence);
  }
};

/// Limits of one service.
struct service_limits {
  start_quota Quota;
  retry_budget Retries;
  std::uint32_t QueuedTasks = 0;
};

/// Queued jobs of one service whose tasks need servers of the same class.
struct flow {
  team_share *Team = nullptr;
  service_limits *Service = nullptr;
  std::uint64_t Sequence = 0;
  std::set<queue_item *, earlier_item> Jobs;
  // Position in the queue.
  bool Listed = false;
  bool ListedOver = false;
  double ListedKey = 0;
  /// Has received work in this pass.
  bool Charged = false;
};

/// How a pass over the queue goes on after a job.
enum class pass_step : std::uint8_t {
  NextJob,
  /// The same job again, behind teams that have received less.
  Again,
  /// Leaves out the other jobs of the flow.
  SkipFlow,
};

class fair_queue {
public:
  /// Without fairness jobs are ordered by their keys alone.
  explicit fair_queue(bool Fair = true) : Fair(Fair) {}
  fair_queue(fair_queue &&) = default;
  fair_queue(const fair_queue &) = delete;

  /// Class tells jobs of one service apart that need different servers.
  flow &flowOf(const std::string &Service, const std::string &Team, double Weight, std::uint32_t Class);
  void setQuotaShare(double Share);
  void add(queue_item &Item);
  void remove(queue_item &Item);
  /// Counts tasks that come (positive) or go (negative) as outstanding.
  void outstanding(team_share &Team, int Change);
  /// Counts work given to a service during a pass.
  void charge(flow &Flow, double Work);
  /// Capacity of the pool, from which the allowance of a team is derived.
  void setCapacity(double WorkPerMs) { Capacity = WorkPerMs; }
  [[nodiscard]] double activeWeight() const { return ActiveWeight; }
  /// Whether a team has received more than its share and goes behind the others.
  [[nodiscard]] bool isOver(const team_share &Team) const;
  /// Whether a team has been using much more than its share for a while.
  [[nodiscard]] bool isFarOver(const team_share &Team) const;
  [[nodiscard]] bool empty() const { return Ready.empty() && Over.empty(); }

  /// Starts a pass over the queue. Until endPass jobs must only be removed by finished().
  void beginPass();
  /// The next job to look at, null at the end of the pass. Step tells what to do about the last one.
  queue_item *next(pass_step Step);
  /// Whether the job returned last belongs to a team beyond its share.
  [[nodiscard]] bool beyondShare() const { return InOver; }
  /// Removes a job without queued tasks at the end of the pass.
  void finished(queue_item &Item) { Finished.push_back(&Item); }
  void endPass();

private:
  using position = std::tuple<double, std::uint64_t, flow *>;
  struct cursor {
    double Key;
    flow *Flow;
    std::set<queue_item *, earlier_item>::iterator Job;
    bool operator<(const cursor &Other) const { return Key > Other.Key; }
  };
  [[nodiscard]] double allowance() const;
  void unlist(flow &Flow);
  void relist(flow &Flow);
  queue_item *nextReady();
  queue_item *nextOver();
  queue_item *take(std::priority_queue<cursor> &Open, bool Over);

  bool Fair;
  std::unordered_map<std::string, team_share> Teams;
  std::unordered_map<std::string, service_limits> Services;
  std::unordered_map<std::string, flow> Flows;
  /// Flows of teams within their share, by the key of their first job.
  std::set<position> Ready;
  /// Flows of teams beyond their share, by virtual time.
  std::set<position> Over;
  double GlobalVirtual = 0;
  double ActiveWeight = 0;
  double Capacity = 1;
  // State of the pass.
  std::set<position>::iterator ReadyNext;
  std::set<position>::iterator OverNext;
  std::priority_queue<cursor> ReadyOpen;
  std::priority_queue<cursor> OverOpen;
  cursor Last{};
  bool InOver = false;
  bool HasLast = false;
  std::vector<queue_item *> Finished;
  std::vector<flow *> Charged;
  std::uint64_t NextSequence = 0;
};

} // namespace yuccaplank::model
