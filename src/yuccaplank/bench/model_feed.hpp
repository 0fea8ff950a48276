// Generated arrivals and backend servers that drive schedulers on a manual clock, for measurements.
#pragma once

#include "yuccaplank/model/scheduler.hpp"

#include <pcg_random.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccaplank::bench {

struct feed_options {
  int Servers = 50;
  int Slots = 8;
  double Load = 0.7;
  /// Run times differ from what can be learnt by up to this factor either way.
  double Error = 1;
  std::string Strategy = "critical_time";
  /// Independent schedulers that share the servers; jobs go to a random one.
  int Schedulers = 1;
  int Teams = 1;
  double Seconds = 60;
  /// Jobs that arrive before are not measured.
  double WarmupSeconds = 15;
  std::uint64_t Seed = 1;
  std::uint32_t DeadlineMs = 10'000;
  /// Refuses jobs by predicted stretch and backlog; otherwise no job is missing from the percentiles.
  bool Admission = false;
};

/// Load of a span of time, as a multiple of Load, by team; 1 outside all spans.
struct load_change {
  double FromS = 0;
  double ToS = 0;
  double Factor = 1;
  /// -1 for all teams.
  int Team = -1;
};

/// What became of one job.
struct job_result {
  double ArrivalMs = 0;
  double ResponseMs = 0;
  double IdealMs = 0;
  int Team = 0;
  enum class end { Done, Refused, Failed } End = end::Done;
  std::uint32_t RetryAfterMs = 0;
};

struct feed_result {
  std::vector<job_result> Jobs;
  std::uint64_t Started = 0;
  std::uint64_t RefusedStarts = 0;
  std::uint64_t LostStarts = 0;
  std::uint64_t Probes = 0;
  /// Work of completed jobs by the second in which it was done, as a share of the capacity.
  std::vector<double> Goodput;
  /// Real time in the schedulers.
  double SchedulerSeconds = 0;
};

class model_feed {
public:
  explicit model_feed(feed_options Options);
  std::vector<load_change> Changes;
  /// Server that fails every task from a time on; -1 for none.
  int FailingServer = -1;
  double FailsFromS = 0;

  feed_result run();

private:
  /// Time in which a task ran, and its work for each unit of it.
  struct interval {
    double FromMs = 0;
    double ToMs = 0;
    double Speed = 0;
  };
  struct running_job {
    schema::job Job;
    std::vector<double> ActualMs;
    job_result Result;
    int Scheduler = 0;
    std::size_t Left = 0;
    std::vector<interval> DoneWork;
  };
  struct event {
    double AtMs;
    std::function<void()> Act;
    std::uint64_t Order;
    bool operator<(const event &Other) const {
      return AtMs != Other.AtMs ? AtMs > Other.AtMs : Order > Other.Order;
    }
  };
  struct team {
    schema::service_document Service;
    std::vector<double> KindFactors;
  };

  void at(double Ms, std::function<void()> Act) { Events.push({Ms, std::move(Act), NextOrder++}); }
  double uniform(double Low, double High);
  double logUniform(double Low, double High);
  double nowMs() const { return runtime::toMs(Clock.now().time_since_epoch()); }
  double loadFactor(int Team) const;
  void arrive(int Team);
  std::unique_ptr<running_job> generate(int Team);
  void decide(int Scheduler);
  void start(int Scheduler, const model::task_start &Start);
  void endAttempt(int Scheduler, const model::task_start &Start, model::attempt_end End);
  void stop(int Scheduler, const model::task_start &Start);
  void creditWork(const interval &Run);
  void finish(model::job_key Key, job_result::end End);

  feed_options Options;
  runtime::manual_clock Clock;
  pcg32 Random;
  std::vector<double> Speeds;
  std::vector<int> Busy;
  std::map<std::string, int> ServerIndex;
  double Capacity = 0;
  double MeanJobWork = 0;
  std::vector<team> Teams;
  std::vector<std::unique_ptr<model::scheduler>> Schedulers;
  std::vector<double> PlannedWakeups;
  std::unordered_map<model::job_key, std::unique_ptr<running_job>> Jobs;
  model::job_key NextKey = 1;
  /// Tasks that were stopped before their end.
  std::set<std::pair<model::job_key, std::uint32_t>> Stopped;
  std::priority_queue<event> Events;
  std::uint64_t NextOrder = 0;
  feed_result Result;
};

/// Value at a share of the sorted values, 0 for none.
double percentile(std::vector<double> Values, double Share);

} // namespace yuccaplank::bench
