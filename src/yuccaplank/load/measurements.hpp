// Measurements of a load run: counts, percentiles over all samples, and a timeline with one line per second.
#pragma once

#include "yuccaplank/platform/caller_client.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::load {

/// Returns the nearest-rank percentile, or 0 without samples. Sorts the samples.
double percentile(std::vector<double> &Samples, double Percent);

/// End of a job, from the caller's point of view. NotTaken means that the job was rejected as malformed or
/// was not found, Left that the caller disconnected before the answer.
enum class job_end : std::uint8_t { Completed, Failed, Refused, NotTaken, NoAnswer, Left };
inline constexpr std::size_t JobEndCount = 6;
job_end toJobEnd(platform::caller_outcome Outcome);

class measurements {
public:
  void addEnd(job_end End) { ++Ends.at(static_cast<std::size_t>(End)); }
  /// Adds the response time of a completed job, the duration of its work, and the objective for its response
  /// time.
  void addCompleted(double ResponseMs, double WorkMs, double ObjectiveMs);
  void addAttempt() { ++Attempts; }
  /// Records a violation of a guarantee for callers. Only the first violations are kept.
  void addViolation(std::string Text);
  /// Sets the numbers of started runs on and outside the rack of their data, as the site counted them.
  void setRackStarts(std::uint64_t OnRack, std::uint64_t OffRack) {
    StartsOnRack = OnRack;
    StartsOffRack = OffRack;
  }
  [[nodiscard]] const std::vector<std::string> &violations() const { return Violations; }
  [[nodiscard]] std::uint64_t attempts() const { return Attempts; }

  /// Returns all measurements as lines of the form that formatFigure() returns.
  std::string report();

private:
  std::array<std::uint64_t, JobEndCount> Ends{};
  std::uint64_t Attempts = 0;
  std::uint64_t WithinObjective = 0;
  std::uint64_t StartsOnRack = 0;
  std::uint64_t StartsOffRack = 0;
  std::vector<double> ResponsesMs;
  std::vector<double> OverheadMs;
  std::vector<std::string> Violations;
};

/// Returns one JSON line: {"name":…,"value":…,"unit":…}.
std::string formatFigure(std::string_view Name, double Value, std::string_view Unit);

/// Ends of jobs, grouped by second.
class timeline {
public:
  void add(std::int64_t Second, job_end End, double ResponseMs);
  /// Returns one line for each second before Second and discards their data.
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
