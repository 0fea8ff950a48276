// A job that waits at the placer for backend servers.
#pragma once

#include "locality/advisor.hpp"
#include "memory_budget.hpp"
#include "yuccaplank/dispatch/job_id.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include "dispatch.pb.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace yuccaplank::dispatch {

/// A job of one coordinator with tasks that wait for a server.
struct waiting_job {
  std::string Coordinator;
  schema::place_job Request;
  runtime::time_point ArrivedAt;
  runtime::time_point ObjectiveEndsAt;
  // After this time the job has no value for its caller.
  runtime::time_point UsefulUntil;
  runtime::time_point Deadline;
  bool Started = false;
  // Whether the job is served before more urgent ones because of its queue's guaranteed share.
  bool OwedShare = false;
  // Run numbers of the waiting tasks, by the task's index in the job.
  std::map<std::uint32_t, std::uint32_t> WaitingRuns;
  // Indexes of the tasks under which a server has crashed.
  std::set<std::uint32_t> Suspects;
  locality::job_place Place;
  memory_budget::reservation Memory;

  /// Returns the cores, in thousandths, that the waiting tasks need together.
  [[nodiscard]] std::int64_t waitingCpu() const {
    return static_cast<std::int64_t>(WaitingRuns.size()) * Request.size().cpu();
  }
  /// Whether a run of the job has ended on the server without a result.
  [[nodiscard]] bool avoids(const std::string &Server) const {
    return std::ranges::find(Request.avoid(), Server) != Request.avoid().end();
  }
  /// After this time an answer has no value.
  [[nodiscard]] runtime::time_point latestEnd() const { return std::min(UsefulUntil, Deadline); }
};

/// When a job would end if its tasks started now: within its objective, late but still with value for its
/// caller, or too late.
enum class prospect : std::uint8_t { InTime, Late, TooLate };

/// Position of a job in the order of service; jobs with lower values are served first.
enum class service_rank : std::uint8_t {
  // In time, and with tasks that have started: the time spent on them has no value until the last task ends.
  Started,
  // The job's queue has had less than its guaranteed share.
  OwedShare,
  InTime,
  Late,
  TooLate,
};

/// Identifies a waiting job: coordinators may have jobs with the same id.
struct job_key {
  std::string Coordinator;
  job_id Job;
  bool operator<(const job_key &Other) const {
    return std::tie(Coordinator, Job) < std::tie(Other.Coordinator, Other.Job);
  }
};

} // namespace yuccaplank::dispatch
