#include "yuccaplank/load/measurements.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace yuccaplank::load {
namespace {

constexpr std::size_t KeptBreaches = 20;
constexpr auto JobNames = std::to_array<std::string_view>(
    {"jobs_done", "jobs_failed", "jobs_refused", "jobs_unknown", "jobs_no_answer"});
constexpr double ReportedPercents[] = {50, 90, 99};

std::string percentileLines(std::string_view Name, std::vector<double> &Samples, std::string_view Unit) {
  std::string Lines;
  for (double Percent : ReportedPercents)
    Lines += figureLine(fmt::format("{}_p{:g}", Name, Percent), percentile(Samples, Percent), Unit);
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

void measurements::addBreach(const breach &Breach) {
  ++Counts.Breaches[static_cast<std::size_t>(Breach.Kind)];
  if (FirstBreaches.size() < KeptBreaches)
    FirstBreaches.push_back(Breach);
}

void measurements::addDone(double ResponseMs, double IdealMs) {
  ResponsesMs.push_back(ResponseMs);
  Ratios.push_back(ResponseMs / std::max(IdealMs, 1e-6));
}

bool measurements::breached() const {
  return std::any_of(Counts.Breaches.begin(), Counts.Breaches.end(),
                     [](std::uint64_t Count) { return Count > 0; });
}

std::string measurements::report(double Seconds) {
  std::string Lines;
  auto Count = [&](std::string_view Name, std::uint64_t Value) {
    Lines += figureLine(Name, static_cast<double>(Value), "count");
  };
  for (std::size_t Index = 0; Index < JobNames.size(); ++Index)
    Count(JobNames[Index], Counts.Jobs[Index]);
  for (std::size_t Index = 0; Index < BreachNames.size(); ++Index)
    Count(BreachNames[Index], Counts.Breaches[Index]);
  std::uint64_t Breaches = 0;
  for (std::uint64_t Number : Counts.Breaches)
    Breaches += Number;
  Count("breaches", Breaches);
  Count("submissions", Counts.Submissions);
  Count("resubmissions", Counts.Resubmissions);
  Count("lost_attempts", Counts.LostAttempts);
  Count("ids_renewed", Counts.IdsRenewed);
  Count("cancels", Counts.Cancels);
  Count("jobs_skipped", Counts.Skipped);
  Count("jobs_without_id", Counts.WithoutId);
  Count("tasks_done", Counts.TasksDone);
  Lines += figureLine("tasks_done_rate", static_cast<double>(Counts.TasksDone) / Seconds, "1/s");
  Lines += percentileLines("response_ideal", Ratios, "ratio");
  Lines += percentileLines("latency", ResponsesMs, "ms");
  Lines += figureLine("send_delay_p99", percentile(SendDelaysMs, 99), "ms");
  return Lines;
}

std::string figureLine(std::string_view Name, double Value, std::string_view Unit) {
  return fmt::format("{{\"name\":\"{}\",\"value\":{:.10g},\"unit\":\"{}\"}}\n", Name, Value, Unit);
}

void timeline::add(std::int64_t Second, submission_end End, double ResponseMs) {
  second_counts &Counts = Seconds[Second];
  ++Counts.Ends[static_cast<std::size_t>(End)];
  if (End == submission_end::Done)
    Counts.ResponsesMs.push_back(ResponseMs);
}

std::string timeline::takeUntil(std::int64_t Second) {
  std::string Lines;
  for (; NextSecond < Second; ++NextSecond) {
    second_counts Counts = std::move(Seconds[NextSecond]);
    Seconds.erase(NextSecond);
    auto End = [&](submission_end Kind) { return Counts.Ends[static_cast<std::size_t>(Kind)]; };
    Lines += fmt::format(
        R"({{"second":{},"done":{},"failed":{},"refused":{},"unknown":{},"p99":{:.3f}}})"
        "\n",
        NextSecond, End(submission_end::Done), End(submission_end::Failed), End(submission_end::Refused),
        End(submission_end::Unknown) + End(submission_end::NoAnswer), percentile(Counts.ResponsesMs, 99));
  }
  return Lines;
}

} // namespace yuccaplank::load
