// Figures of a run: counts, percentiles over all samples, and a timeline by seconds.
#pragma once

#include "yuccaplank/platform/caller_client.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::load {

/// Nearest-rank percentile; 0 without samples. Sorts the samples.
double percentile(std::vector<double> &Samples, double Percent);

/// How a job ended for its caller.
enum class job_end : std::uint8_t { Completed, Failed, Refused, NotTaken, NoAnswer, Left };
inline constexpr std::size_t JobEndCount = 6;
job_end toJobEnd(platform::caller_outcome Outcome);

class measurements {
public:
  void addEnd(job_end End) { ++Ends.at(static_cast<std::size_t>(End)); }
  /// Times of a completed job, in milliseconds. Objective: within which it should be answered.
  void addCompleted(double ResponseMs, double WorkMs, double ObjectiveMs);
  void addAttempt() { ++Attempts; }
  /// A promise was broken; the first ones are kept.
  void addViolation(std::string Text);
  [[nodiscard]] const std::vector<std::string> &violations() const { return Violations; }
  [[nodiscard]] std::uint64_t attempts() const { return Attempts; }

  /// JSON lines {"name":…,"value":…,"unit":…}.
  std::string report();

private:
  std::array<std::uint64_t, JobEndCount> Ends{};
  std::uint64_t Attempts = 0;
  std::uint64_t WithinObjective = 0;
  std::vector<double> ResponsesMs;
  std::vector<double> OverheadMs;
  std::vector<std::string> Violations;
};

/// One JSON line: {"name":…,"value":…,"unit":…}.
std::string formatFigure(std::string_view Name, double Value, std::string_view Unit);

/// Ends of jobs by the second in which they came.
class timeline {
public:
  void add(std::int64_t Second, job_end End, double ResponseMs);
  /// Lines of all seconds before Second, which are then dropped.
  std::string takeLinesUntil(std::int64_t Second);

private:
  struct second_counts {
    std::array<std::uint64_t, JobEndCount> Ends{};
    std::vector<double> ResponsesMs;
  };
  std::map<std::int64_t, second_counts> Seconds;
  std::int64_t NextSecond = 0;
};

} // namespace yuccaplank::load
