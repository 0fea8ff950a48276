// Figures of a run: percentiles over all samples, counts, and a timeline by seconds.
#pragma once

#include "yuccaplank/load/checks.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::load {

/// Nearest-rank percentile; 0 without samples. Sorts the samples.
double percentile(std::vector<double> &Samples, double Percent);

/// Counts of a run; Jobs is indexed by submission_end, Breaches by breach_kind.
struct run_counts {
  std::array<std::uint64_t, 5> Jobs{};
  std::array<std::uint64_t, BreachNames.size()> Breaches{};
  std::uint64_t Submissions = 0;
  std::uint64_t Resubmissions = 0;
  std::uint64_t LostAttempts = 0;
  /// Jobs submitted under another id because the authority of the first was gone before it got them.
  std::uint64_t IdsRenewed = 0;
  std::uint64_t Cancels = 0;
  std::uint64_t TasksDone = 0;
  /// Arrivals left out because too many jobs were in flight.
  std::uint64_t Skipped = 0;
  /// Jobs for which no id could be obtained; they count as refused.
  std::uint64_t WithoutId = 0;
};

/// Counts, times and breaches of a run.
class measurements {
public:
  /// First breaches are kept with their details.
  void addBreach(const breach &Breach);
  /// End of a job, by its first answer.
  void addJob(submission_end End) { ++Counts.Jobs[static_cast<std::size_t>(End)]; }
  /// Times of a job that was done, in milliseconds.
  void addDone(double ResponseMs, double IdealMs);
  /// Time from the arrival of a job to its submission, in milliseconds.
  void addSendDelay(double Ms) { SendDelaysMs.push_back(Ms); }
  [[nodiscard]] bool breached() const;
  [[nodiscard]] const std::vector<breach> &firstBreaches() const { return FirstBreaches; }

  /// JSON lines {"name":…,"value":…,"unit":…}.
  std::string report(double Seconds);

  run_counts Counts;

private:
  std::vector<double> ResponsesMs;
  std::vector<double> Ratios;
  std::vector<double> SendDelaysMs;
  std::vector<breach> FirstBreaches;
};

/// One JSON line: {"name":…,"value":…,"unit":…}.
std::string figureLine(std::string_view Name, double Value, std::string_view Unit);

/// Ends of jobs by the second in which they came.
class timeline {
public:
  void add(std::int64_t Second, submission_end End, double ResponseMs);
  /// Lines of all seconds before Second, which are then dropped.
  std::string takeUntil(std::int64_t Second);

private:
  struct second_counts {
    std::array<std::uint64_t, 5> Ends{};
    std::vector<double> ResponsesMs;
  };
  std::map<std::int64_t, second_counts> Seconds;
  std::int64_t NextSecond = 0;
};

} // namespace yuccaplank::load
