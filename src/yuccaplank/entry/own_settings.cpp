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
constexpr std::size_t BytesPerMb = 1'000'000;
// Unfinished requests get a quarter of the machine's memory: the process needs up to 50 MB for its other work
// (docs/CAPACITY.md), and up to one receive buffer a connection is read between two checks.
constexpr std::size_t UnfinishedShare = 4;
// Relayed jobs, and tasks that wait at the placer, get an eighth each.
constexpr std::size_t JobMemoryShare = 8;
// A task in progress is estimated at 500 bytes, so that all take about an eighth of the machine's memory.
constexpr std::uint64_t TasksPerMb = 250;
constexpr std::size_t DefaultMaxBodyBytes = 256U << 10U;
constexpr auto CallerIdleTimeout = std::chrono::seconds(15);
// What the kernel holds unread counts as memory of the machine; it doubles this size.
constexpr int ReceiveBufferBytes = 8 << 10;
constexpr std::size_t MaxOperatorConnections = 64;
// Requests to these ports have no bodies that are read.
constexpr std::size_t MaxOperatorBodyBytes = 4096;
// The platform counts this number of descriptors for files.
constexpr std::int64_t FileDescriptorsForFiles = 200;

// Returns the set limit, or the share of the machine's memory; Default if neither is known.
std::uint64_t memoryLimit(std::uint32_t SetMb, const platform::settings &Machine, std::size_t Share,
                          std::uint64_t Default) {
  if (SetMb > 0)
    return std::uint64_t{SetMb} * BytesPerMb;
  return Machine.MemoryMb > 0 ? static_cast<std::uint64_t>(Machine.MemoryMb) * BytesPerMb / Share : Default;
}

void overrideIfSet(double Value, double &Option) {
  if (Value > 0)
    Option = Value;
}

} // namespace

void applyOwnSettings(const schema::daemon_settings &Settings, const platform::settings &Machine,
                      dispatch::entry_vm_options &Options) {
  overrideIfSet(Settings.placement().late_factor(), Options.Coordinator.LateFactor);
  overrideIfSet(Settings.placement().max_wait_share(), Options.Placement.MaxWaitShare);
  overrideIfSet(Settings.placement().estimate_margin(), Options.Placement.EstimateMargin);
  dispatch::admission::admission_options &Admission = Options.Placement.Admission;
  Admission.PredictStarts = !Settings.admission().accept_without_prediction();
  overrideIfSet(Settings.admission().wait_margin(), Admission.WaitMargin);
  for (const schema::guaranteed_share_settings &Share : Settings.admission().guaranteed_shares())
    Admission.Shares.push_back({Share.queue(), Share.priority(), Share.share()});
  Options.Relay.MaxRelayedBytes =
      memoryLimit(Settings.limits().relayed_mb(), Machine, JobMemoryShare, Options.Relay.MaxRelayedBytes);
  Options.Placement.MaxWaitingBytes =
      memoryLimit(Settings.limits().waiting_mb(), Machine, JobMemoryShare, Options.Placement.MaxWaitingBytes);
  if (Settings.locality().ignore())
    Options.Placement.Locality.Rule = dispatch::locality::wait_rule::Ignore;
  overrideIfSet(Settings.locality().max_wait_share(), Options.Placement.Locality.MaxWaitShare);
}

frontend_options frontendOptions(const schema::daemon_settings &Settings, const platform::settings &Machine) {
  frontend_options Options;
  if (Settings.callers().answer_retention_s() > 0)
    Options.AnswerRetention = std::chrono::seconds(Settings.callers().answer_retention_s());
  if (Settings.callers().default_deadline_ms() > 0)
    Options.DefaultDeadline = std::chrono::milliseconds(Settings.callers().default_deadline_ms());
  const schema::caller_limits &Limits = Settings.limits();
  if (Limits.specification_bytes() > 0)
    Options.MaxSpecificationBytes = Limits.specification_bytes();
  if (Limits.tasks_in_progress() > 0)
    Options.MaxTasksInProgress = Limits.tasks_in_progress();
  else if (Machine.MemoryMb > 0)
    Options.MaxTasksInProgress = static_cast<std::uint64_t>(Machine.MemoryMb) * TasksPerMb;
  return Options;
}

wire::receive_limits receiveLimits(const schema::daemon_settings &Settings,
                                   const platform::settings &Machine) {
  wire::receive_limits Limits;
  const schema::caller_limits &Own = Settings.limits();
  Limits.MaxBytes = memoryLimit(Own.unfinished_mb(), Machine, UnfinishedShare, Limits.MaxBytes);
  if (Own.receive_timeout_s() > 0)
    Limits.MaxTime = std::chrono::seconds(Own.receive_timeout_s());
  return Limits;
}

wire::http_server_options httpServerOptions(const schema::daemon_settings &Settings,
                                            const platform::settings &Machine, http_port Port) {
  wire::http_server_options Options;
  const schema::caller_limits &Own = Settings.limits();
  Options.MaxBodyBytes = Own.body_bytes() > 0 ? Own.body_bytes() : DefaultMaxBodyBytes;
  Options.RequestTimeout = CallerIdleTimeout;
  Options.ReplaceIdleConnections = true;
  Options.Http2 = false;
  Options.ReceiveBufferBytes = ReceiveBufferBytes;
  if (Port != http_port::Callers) {
    Options.MaxConnections = MaxOperatorConnections;
    Options.MaxBodyBytes = MaxOperatorBodyBytes;
  } else if (Own.connections() > 0) {
    Options.MaxConnections = Own.connections();
  } else if (Machine.FileDescriptors > FileDescriptorsForFiles) {
    // The other half is for backend servers, peers and the store.
    Options.MaxConnections =
        static_cast<std::size_t>((Machine.FileDescriptors - FileDescriptorsForFiles) / 2);
  }
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
