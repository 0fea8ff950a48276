#include "yuccaplank/load/measurements.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace yuccaplank::load {
namespace {

constexpr std::size_t MaxKeptViolations = 20;
// Names of the ends of jobs, indexed by job_end.
constexpr std::array<std::string_view, JobEndCount> EndNames = {"completed", "failed",    "refused",
                                                                "not_taken", "no_answer", "left"};
constexpr double ReportedPercents[] = {50, 90, 99};

std::string formatPercentiles(std::string_view Name, std::vector<double> &Samples) {
  std::string Lines;
  for (double Percent : ReportedPercents)
    Lines += formatFigure(fmt::format("{}_p{:g}", Name, Percent), percentile(Samples, Percent), "ms");
  return Lines;
}

} // namespace

double percentile(std::vector<double> &Samples, double Percent) {
  if (Samples.empty())
    return 0;
  std::sort(Samples.begin(), Samples.end());
  double Rank = std::ceil(Percent / 100 * static_cast<double>(Samples.size()));
  auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Samples[std::min(Index, Samples.size() - 1)];
}

job_end toJobEnd(platform::caller_outcome Outcome) {
  switch (Outcome) {
  case platform::caller_outcome::Completed:
    return job_end::Completed;
  case platform::caller_outcome::Failed:
  case platform::caller_outcome::Cancelled:
    return job_end::Failed;
  case platform::caller_outcome::Refused:
    return job_end::Refused;
  case platform::caller_outcome::Malformed:
  case platform::caller_outcome::NotFound:
    return job_end::NotTaken;
  default:
    return job_end::NoAnswer;
  }
}

void measurements::addCompleted(double ResponseMs, double WorkMs, double ObjectiveMs) {
  ResponsesMs.push_back(ResponseMs);
  OverheadMs.push_back(ResponseMs - WorkMs);
  WithinObjective += ResponseMs <= ObjectiveMs ? 1 : 0;
}

void measurements::addViolation(std::string Text) {
  if (Violations.size() < MaxKeptViolations)
    Violations.push_back(std::move(Text));
}

std::string measurements::report() {
  std::string Lines;
  for (std::size_t Index = 0; Index < JobEndCount; ++Index)
    Lines += formatFigure(fmt::format("jobs_{}", EndNames[Index]), static_cast<double>(Ends[Index]), "count");
  Lines += formatFigure("jobs_in_time", static_cast<double>(WithinObjective), "count");
  Lines += formatFigure("attempts", static_cast<double>(Attempts), "count");
  Lines += formatFigure("breaches", static_cast<double>(Violations.size()), "count");
  if (StartsOnRack + StartsOffRack > 0)
    Lines += formatFigure(
        "starts_on_rack_share",
        static_cast<double>(StartsOnRack) / static_cast<double>(StartsOnRack + StartsOffRack), "ratio");
  Lines += formatPercentiles("latency", ResponsesMs);
  Lines += formatPercentiles("added", OverheadMs);
  return Lines;
}

std::string formatFigure(std::string_view Name, double Value, std::string_view Unit) {
  return fmt::format("{{\"name\":\"{}\",\"value\":{:.10g},\"unit\":\"{}\"}}\n", Name, Value, Unit);
}

void timeline::add(std::int64_t Second, job_end End, double ResponseMs) {
  second_counts &Counts = Seconds[Second];
  ++Counts.Ends.at(static_cast<std::size_t>(End));
  if (End == job_end::Completed)
    Counts.ResponsesMs.push_back(ResponseMs);
}

std::string timeline::takeLinesUntil(std::int64_t Second) {
  std::string Lines;
  for (; NextSecond < Second; ++NextSecond) {
    second_counts Counts = std::move(Seconds[NextSecond]);
    Seconds.erase(NextSecond);
    Lines += fmt::format("{{\"second\":{}", NextSecond);
    for (std::size_t Index = 0; Index < JobEndCount; ++Index)
      Lines += fmt::format(",\"{}\":{}", EndNames[Index], Counts.Ends[Index]);
    Lines += fmt::format(",\"p99_ms\":{:.3f}}}\n", percentile(Counts.ResponsesMs, 99));
  }
  return Lines;
}

} // namespace yuccaplank::load
