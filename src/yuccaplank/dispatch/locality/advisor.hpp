// Chooses between the servers on the preferred rack of a task and those elsewhere, for the placer. Its state
// is learnt from the grants and the reports on servers, so the next placer learns it anew.
#pragma once

#include "decision.hpp"
#include "rack_turnover.hpp"
#include "yuccaplank/dispatch/pool_index.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::dispatch::locality {

/// What the placer knows about the locality of one waiting job.
struct job_place {
  /// Preferred rack; of a job with same_rack, the rack that was chosen for it.
  std::string Rack;
  /// When a task of the job first waited for the rack while servers elsewhere were free, and how long this
  /// may last.
  std::optional<runtime::time_point> WaitingSince;
  double MaxWaitMs = 0;
  /// Whether a task waited for the rack by choice in the current or latest pass.
  bool Waits = false;
  /// Whether the rack had no usable server, so that the tasks take RemoteFactor times as long.
  bool RackUnusable = false;
  /// Whether a task of a job with same_rack was placed on the rack.
  bool Fixed = false;
  /// Until then, the job goes on waiting unless a run on the rack ends; number of ended runs at that time.
  runtime::time_point NextDecisionAt{};
  std::uint64_t RackChanges = 0;
};

/// Times of a job at the time of a decision.
struct job_times {
  double MaxSlowness = 0;
  double ToObjectiveMs = 0;
  double ToUselessMs = 0;
};

class advisor {
public:
  advisor(const runtime::clock &Clock, options Options) : Clock(Clock), Options(Options) {}

  /// Whether the job prefers a rack. The others are placed without the advisor.
  [[nodiscard]] bool concerns(const schema::place_job &Request) const;
  /// Whether any job has preferred a rack. Until then, the placer reports no use of racks, so that fleets
  /// without such jobs do not pay for it.
  [[nodiscard]] bool observesRacks() const { return ObservesRacks; }
  void observeRacks() { ObservesRacks = true; }
  /// Begins a pass over the waiting jobs in service order. FullPools are the pools in which a task found no
  /// free server in the pass before.
  void beginPass(const std::vector<std::string> &FullPools);
  /// Chooses a server for a task of a job with WaitingTasks tasks, given the best free server of the whole
  /// pool. Without one the task waits; Place.Waits tells whether for its rack by choice.
  pool_index::choice choose(const schema::place_job &Request, job_place &Place, std::size_t WaitingTasks,
                            const job_times &Times, const pool_index &Pool, const pool_index::choice &Best,
                            const std::string &BestRack,
                            const std::function<bool(const std::string &Id)> &IsExcluded);
  /// Whether all waiting tasks of the job go on waiting for its rack without another decision: nothing that
  /// matters has changed since the latest one. Called once for each job and pass.
  bool keepsWaiting(const schema::place_job &Request, const job_place &Place, std::size_t WaitingTasks);
  /// Records a grant, and returns the factor on the task's estimated time there.
  double onGranted(const schema::place_job &Request, job_place &Place, const std::string &Rack);
  /// Factor on the estimated time of a task that can only run outside its rack.
  [[nodiscard]] double expectedFactor(const schema::place_job &Request, const job_place &Place) const;
  /// Cores, in thousandths, that grants and runs use on the rack from now on in addition.
  void onUsedChanged(const std::string &Pool, const std::string &Rack, std::int64_t Cpu);
  /// The server is gone, and the cores that were used there, in thousandths, with it.
  void onServerRemoved(const std::string &Pool, const std::string &Rack, std::int64_t UsedCpu);
  [[nodiscard]] const counters &count() const { return Counters; }

private:
  struct rack_state {
    rack_turnover Turnover;
    // Cores of the tasks that wait for the rack by choice, in the current pass, and whether any did in the
    // pass before.
    double WaitingCpu = 0;
    bool HadWaiting = false;
    // Number of times at which cores of the rack became free.
    std::uint64_t Changes = 0;
  };

  // Interval between decisions on a waiting job while no run on its rack ends. It is short compared with the
  // tasks' times and limits the work at each pass when many jobs wait.
  static constexpr runtime::duration DecisionInterval = std::chrono::milliseconds(10);
  static constexpr runtime::duration PurgeInterval = std::chrono::seconds(10);

  [[nodiscard]] double sinceFullMs(const std::string &Pool) const;
  [[nodiscard]] double maxWaitMs(double ToObjectiveMs) const;
  void purge();
  rack_state &rackState(const std::string &Pool, const std::string &Rack);
  void wait(const schema::place_job &Request, job_place &Place, rack_state &State, double ToObjectiveMs);
  void addWaiting(rack_state &State, double Cpu);
  void logGivenUp(const schema::place_job &Request, const job_place &Place, const situation &Situation,
                  cause Cause) const;

  const runtime::clock &Clock;
  options Options;
  std::map<std::pair<std::string, std::string>, rack_state> Racks;
  // Racks for which tasks wait by choice, in the current pass and in the one before.
  std::vector<rack_state *> WaitedFor;
  std::vector<rack_state *> WaitedForBefore;
  bool ObservesRacks = false;
  runtime::time_point PurgedAt{};
  // When a task last found no free server, by pool.
  std::map<std::string, runtime::time_point> LastFullAt;
  counters Counters;
};

} // namespace yuccaplank::dispatch::locality
