// Decides for the placer which jobs to refuse when there is more load than capacity, and which queue is
// served next to keep its guaranteed share.
#pragma once

#include "guaranteed_shares.hpp"
#include "pool_load.hpp"
#include "yuccaplank/dispatch/admission/admission_options.hpp"

#include "dispatch.pb.h"
#include "yuccaplank/dispatch/job_id.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yuccaplank::dispatch::admission {

/// A job that waits for servers, as admission control sees it.
struct waiting_demand {
  /// Outlives the value, which is not stored.
  const std::string &Pool;
  job_id Job;
  /// Priority of its queue; the largest value for jobs that can only be late, which come after all others.
  std::uint32_t Priority = 0;
  /// Jobs with a lower value come before it. Differs from Priority for jobs that are owed a share.
  std::uint32_t Urgency = 0;
  /// Cores that its waiting tasks need together, in thousandths.
  std::int64_t Cpu = 0;
  /// Latest time at which its tasks may start, so that its answer has value.
  runtime::time_point LatestStart{};
};

/// A job is refused because it would not begin in time.
struct refusal {
  runtime::duration PredictedWait{};
  runtime::duration RetryAfter{};
};

/// Answers a burst beyond the capacity, such as all callers at once at the end of a month: a job that would
/// only wait in vain is refused as soon as that is predicted, in most cases when it arrives. The caller
/// passes the jobs of each scheduling pass in the order of service.
class admission_control {
public:
  explicit admission_control(const admission_options &Options) : Options(Options), Shares(Options.Shares) {}

  /// The usage of one server of the pool has changed.
  void onServerChange(runtime::time_point Now, const std::string &Pool, const core_usage &Former,
                      const core_usage &Current);
  /// A new job has arrived.
  void onArrival(runtime::time_point Now, const waiting_demand &Demand);

  void beginPass();
  /// Predicts the wait for a server of a job that comes next in the order; nothing if too little is known.
  [[nodiscard]] std::optional<runtime::duration> predictWait(runtime::time_point Now,
                                                             const waiting_demand &Demand) const;
  /// The job waits behind those that were passed before, and before those that follow.
  void addWaiting(const waiting_demand &Demand);
  /// Called for a job of which nothing has started, after addWaiting(). Returns a refusal if the job would
  /// begin too late.
  [[nodiscard]] std::optional<refusal> judge(runtime::time_point Now, const waiting_demand &Demand);

  [[nodiscard]] bool hasShares() const { return !Shares.empty(); }
  /// Updates the account of a queue with waiting jobs. Returns the core time that it is owed, in thousandths
  /// of a core times milliseconds; 0 if it has no share, negative if it has used more.
  [[nodiscard]] double accrueShare(runtime::time_point Now, const std::string &Pool, const std::string &Queue,
                                   std::uint32_t Priority);
  /// A task of a job, which has the priority, has got a server.
  void onGranted(runtime::time_point Now, const schema::place_job &Job, std::uint32_t Priority);

  /// Cores of the pool's servers that take tasks.
  [[nodiscard]] core_usage usage(const std::string &Pool) const {
    auto Found = Pools.find(Pool);
    return Found == Pools.end() ? core_usage{} : Found->second.turnover().usage();
  }
  /// Backlogs of the pools that refuse jobs, by pool.
  [[nodiscard]] std::map<std::string, std::vector<backlog_summary>> backlogs(runtime::time_point Now) const;

private:
  admission_options Options;
  guaranteed_shares Shares;
  std::map<std::string, pool_load> Pools;
};

/// Spreads the times at which refused callers come back, so that they do not all come at once.
runtime::duration spreadRetryAfter(runtime::duration RetryAfter, job_id Job);

} // namespace yuccaplank::dispatch::admission
