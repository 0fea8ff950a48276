#include "own_settings.hpp"

#include <array>

namespace yuccaplank::entry {
namespace {

struct level_entry {
  std::string_view Name;
  runtime::log_level Level;
};
constexpr auto Levels = std::to_array<level_entry>({
    {"debug", runtime::log_level::Debug},
    {"info", runtime::log_level::Info},
    {"warning", runtime::log_level::Warning},
    {"error", runtime::log_level::Error},
});

constexpr double DefaultObjectivePercent = 95;

void overrideIfSet(double Value, double &Option) {
  if (Value > 0)
    Option = Value;
}

} // namespace

void applyOwnSettings(const schema::daemon_settings &Settings, dispatch::entry_vm_options &Options) {
  overrideIfSet(Settings.placement().late_factor(), Options.Coordinator.LateFactor);
  overrideIfSet(Settings.placement().max_wait_share(), Options.Placement.MaxWaitShare);
  overrideIfSet(Settings.placement().estimate_margin(), Options.Placement.EstimateMargin);
  if (Settings.locality().ignore())
    Options.Placement.Locality.Rule = dispatch::locality::wait_rule::Ignore;
  overrideIfSet(Settings.locality().max_wait_share(), Options.Placement.Locality.MaxWaitShare);
}

frontend_options frontendOptions(const schema::daemon_settings &Settings) {
  frontend_options Options;
  if (Settings.callers().answer_retention_s() > 0)
    Options.AnswerRetention = std::chrono::seconds(Settings.callers().answer_retention_s());
  if (Settings.callers().default_deadline_ms() > 0)
    Options.DefaultDeadline = std::chrono::milliseconds(Settings.callers().default_deadline_ms());
  return Options;
}

runtime::log_level logLevel(const schema::daemon_settings &Settings) {
  for (const level_entry &Entry : Levels)
    if (Entry.Name == Settings.log().level())
      return Entry.Level;
  return runtime::log_level::Info;
}

double objectivePercent(const schema::daemon_settings &Settings) {
  double Percent = Settings.burn().objective_percent();
  return Percent > 0 ? Percent : DefaultObjectivePercent;
}

} // namespace yuccaplank::entry
