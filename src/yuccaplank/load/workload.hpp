// Jobs offered by the load tool.
#pragma once

#include "job.pb.h"
#include "yuccaplank/load/options.hpp"

#include <pcg_random.hpp>

#include <string>
#include <vector>

namespace yuccaplank::load {

/// Kind of tasks. Its name alone determines its mean and the error of its declared time, so that every run
/// and every load tool offers the same kinds.
struct task_kind {
  std::string Name;
  /// Mean run time at speed 1, in milliseconds.
  double MeanMs = 0;
  double LeastMs = 0;
  double MostMs = 0;
  double DeclaredMs = 0;
};

/// Kinds of the log-normal distribution: most within 50 ms to 1 s, and long ones up to 6 s.
struct kind_table {
  std::vector<task_kind> Usual;
  std::vector<task_kind> Long;
};
/// Kinds whose declared times are wrong by up to DeclaredFactor.
kind_table makeKinds(double DeclaredFactor);

/// A job with the run times that its tasks ask for.
struct planned_job {
  schema::job Job;
  /// Longest run time of a task at speed 1, in milliseconds.
  double LongestMs = 0;
  double TotalMs = 0;
};

/// Generates jobs; the same seed gives the same jobs.
class workload {
public:
  explicit workload(const load_options &Options);
  planned_job next();
  /// Time from the submission to the answer on an idle system, in milliseconds.
  [[nodiscard]] double idealMs(const planned_job &Planned) const;
  /// Mean run time of a task at speed 1, in milliseconds, estimated from a sample with a fixed seed.
  [[nodiscard]] double meanTaskMs() const;

private:
  const load_options &Options;
  kind_table Kinds;
  pcg64 Random;
  std::uint64_t Sequence = 0;
};

} // namespace yuccaplank::load
