#include "yuccaplank/wire/settings_reader.hpp"

#include "settings.pb.h"
#include "yuccaplank/wire/document_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

constexpr auto LogLevels = std::to_array<std::string_view>({"debug", "info", "warning", "error"});

constexpr double MaxGuaranteedShare = 0.9;

struct range_check {
  const char *Path;
  double (*Value)(const schema::daemon_settings &);
  double Max;
};

// Largest valid values. The smallest is always 0, which selects the default.
constexpr auto Ranges = std::to_array<range_check>({
    {"placement.late_factor",
     [](const schema::daemon_settings &Settings) { return Settings.placement().late_factor(); }, 10},
    {"placement.max_wait_share",
     [](const schema::daemon_settings &Settings) { return Settings.placement().max_wait_share(); }, 1},
    {"placement.estimate_margin",
     [](const schema::daemon_settings &Settings) { return Settings.placement().estimate_margin(); }, 10},
    {"admission.wait_margin",
     [](const schema::daemon_settings &Settings) { return Settings.admission().wait_margin(); }, 1},
    {"callers.answer_retention_s",
     [](const schema::daemon_settings &Settings) -> double {
       return Settings.callers().answer_retention_s();
     },
     600},
    {"callers.default_deadline_ms",
     [](const schema::daemon_settings &Settings) -> double {
       return Settings.callers().default_deadline_ms();
     },
     600'000},
    {"burn.objective_percent",
     [](const schema::daemon_settings &Settings) { return Settings.burn().objective_percent(); }, 99.999},
    {"locality.max_wait_share",
     [](const schema::daemon_settings &Settings) { return Settings.locality().max_wait_share(); }, 1},
});

std::vector<document_issue> checkSettings(const schema::daemon_settings &Settings) {
  std::vector<document_issue> Issues;
  for (const range_check &Range : Ranges) {
    double Value = Range.Value(Settings);
    if (!(Value >= 0 && Value <= Range.Max))
      Issues.push_back({errc::OutOfRange, Range.Path, 0, fmt::format("0 to {:g}", Range.Max)});
  }
  for (const schema::guaranteed_share_settings &Share : Settings.admission().guaranteed_shares())
    if (!(Share.share() > 0 && Share.share() <= MaxGuaranteedShare))
      Issues.push_back({errc::OutOfRange, "admission.guaranteed_shares", 0,
                        fmt::format("shares above 0, up to {:g}", MaxGuaranteedShare)});
  const std::string &Level = Settings.log().level();
  if (!Level.empty() && std::ranges::find(LogLevels, Level) == LogLevels.end())
    Issues.push_back(
        {errc::OutOfRange, "log.level", 0, fmt::format("one of {}", fmt::join(LogLevels, ", "))});
  return Issues;
}

} // namespace

std::vector<document_issue> readDocument(std::string_view Text, google::protobuf::Message &Message) {
  return readMessage(Text, Message);
}

std::vector<document_issue> readSettings(std::string_view Text, google::protobuf::Message &DaemonSettings) {
  auto Issues = readDocument(Text, DaemonSettings);
  const auto *Settings =
      google::protobuf::DynamicCastToGenerated<const schema::daemon_settings>(&DaemonSettings);
  if (!Issues.empty() || Settings == nullptr)
    return Issues;
  Issues = checkSettings(*Settings);
  locateIssues(Text, DaemonSettings, Issues);
  return Issues;
}

std::string formatIssues(const std::vector<document_issue> &Issues) {
  std::string Text;
  for (const document_issue &Issue : Issues)
    Text += fmt::format("line {}: {}{}{}, expected {}\n", Issue.Line, Issue.Path,
                        Issue.Path.empty() ? "" : ": ", runtime::errcName(Issue.Code), Issue.Expected);
  return Text;
}

} // namespace yuccaplank::wire
