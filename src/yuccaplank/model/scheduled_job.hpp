// Job as the scheduler keeps it. Times in milliseconds of the clock.
#pragma once

#include "fair_queue.hpp"
#include "server_set.hpp"
#include "yuccaplank/model/scheduler.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace yuccaplank::model {

/// One task. Kept small because up to 50,000 may be queued.
struct scheduled_task {
  /// Planned run time on a server of speed 1.
  float SizeMs = 0;
  /// Factor above the planned time up to which a run is not surprising.
  float Margin = 1;
  kind_id Kind = 0;
  fit_id Fit = 0;
  std::uint32_t Attempts = 0;
};

using task_on_server = std::pair<std::uint32_t, server_id>;

struct scheduled_job : queue_item {
  scheduler_job Job;
  pool_id Pool = 0;
  double DeadlineMs = 0;
  double ArrivalMs = 0;
  /// Longest task on the fastest server, at submission.
  double IdealMs = 0;
  /// The job's work over the capacity of the pool, at submission.
  double OwnMs = 0;
  /// Sizes of the longest task, and of the longest queued one when the key was last set.
  double LongestMs = 0;
  double HeadMs = 0;
  /// Work of the queued tasks.
  double QueuedWork = 0;
  /// End that the job is expected to have at the earliest; tasks need not end before it.
  double CriticalEndMs = 0;
  std::vector<scheduled_task> Tasks;
  /// Queued tasks in the order of starting.
  std::vector<std::uint32_t> Queued;
  /// Tasks that wait for their retry.
  std::vector<std::uint32_t> Waiting;
  std::vector<task_on_server> Running;
  /// Servers that refused a task.
  std::vector<task_on_server> Refused;
  /// Size of the document, and what of it counts as queued.
  std::uint64_t Bytes = 0;
  std::uint64_t QueuedBytes = 0;
  /// All tasks need servers of the same class.
  bool SameFit = true;
  /// A task has started, or may have.
  bool MayHaveRun = false;
  /// Has failed; kept while attempts are running so that the user can stop them.
  bool Ended = false;

  [[nodiscard]] std::size_t queuedTasks() const { return Queued.size() + Waiting.size(); }
};

/// Queued work by key, which tells how much goes ahead of a job.
class work_by_key {
public:
  void add(double Key, double Work) {
    auto [Found, New] = Buckets.try_emplace(bucket(Key), 0);
    Found->second += Work;
    // Sums and differences of the same sizes leave rounding errors of much less than a task's size.
    if (Found->second < MinWorkMs)
      Buckets.erase(Found);
  }
  /// Work with keys up to Key.
  [[nodiscard]] double upTo(double Key) const {
    double Work = 0;
    for (auto Each = Buckets.begin(); Each != Buckets.end() && Each->first <= bucket(Key); ++Each)
      Work += Each->second;
    return Work;
  }

private:
  static constexpr double BucketMs = 50;
  static constexpr double MinWorkMs = 1e-3;
  static std::int64_t bucket(double Key) { return static_cast<std::int64_t>(Key / BucketMs); }
  std::map<std::int64_t, double> Buckets;
};

/// Queued jobs of one pool. Work is run time at speed 1, in milliseconds.
struct pool_queue {
  explicit pool_queue(bool Fair) : Queue(Fair) {}
  fair_queue Queue;
  work_by_key WorkByKey;
  double QueuedWork = 0;
  std::uint32_t QueuedTasks = 0;
};

} // namespace yuccaplank::model
