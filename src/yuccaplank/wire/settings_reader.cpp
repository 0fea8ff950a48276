#include "yuccaplank/wire/settings_reader.hpp"

#include "settings.pb.h"
#include "yuccaplank/wire/document_checks.hpp"
#include "yuccaplank/wire/document_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

constexpr std::size_t MinSecretLength = 16;
constexpr std::uint32_t MaxConnections = 65'535;
constexpr std::uint32_t MaxBodyBytes = 64U << 20U;
constexpr std::uint32_t MaxQueuedTasks = 10'000'000;
constexpr std::uint64_t MaxHeldBytes = 16ULL << 30U;
constexpr std::uint32_t MaxTimeoutMs = 600'000;
constexpr std::uint32_t MaxRetentionS = 86'400;
// Backend servers accept about 60 connections, which all dispatchers of a failure domain share.
constexpr std::uint32_t MaxBackendConnections = 60;
// Backend servers keep idle connections for at least 5 s; a request written to a connection that the server
// has just closed counts as started.
constexpr std::uint32_t MaxIdleTimeoutMs = 4'000;
constexpr std::uint32_t MaxDrainTimeoutS = 3'600;

constexpr auto Strategies =
    std::to_array<std::string_view>({"critical_time", "fifo", "random", "round_robin", "least_outstanding"});

void checkListeners(document_checks &Checks, const schema::listen_settings &Listen) {
  Checks.requireAddress("listen.callers", Listen.callers(), true);
  Checks.requireAddress("listen.operators", Listen.operators(), true);
  Checks.requireAddress("listen.peers", Listen.peers(), true);
}

void checkTls(document_checks &Checks, const schema::tls_settings &Tls) {
  if (Tls.certificate_file().empty() == Tls.key_file().empty())
    return;
  Checks.add(errc::MissingField, Tls.key_file().empty() ? "tls.key_file" : "tls.certificate_file",
             "both files or neither");
}

void checkLimits(document_checks &Checks, const schema::daemon_settings &Settings) {
  const auto &Limits = Settings.limits();
  Checks.requireRange("limits.max_connections", Limits.max_connections(), 0, MaxConnections);
  Checks.requireRange("limits.max_body_bytes", Limits.max_body_bytes(), 0, MaxBodyBytes);
  Checks.requireRange("limits.max_queued_tasks", Limits.max_queued_tasks(), 0, MaxQueuedTasks);
  Checks.requireRange("limits.max_queued_bytes", Limits.max_queued_bytes(), 0, MaxHeldBytes);
  Checks.requireRange("limits.request_timeout_ms", Limits.request_timeout_ms(), 0, MaxTimeoutMs);
  Checks.requireRange("retention.outcome_s", Settings.retention().outcome_s(), 0, MaxRetentionS);
  Checks.requireRange("retention.max_bytes", Settings.retention().max_bytes(), 0, MaxHeldBytes);
  const auto &Backends = Settings.backends();
  Checks.requireRange("backends.max_connections", Backends.max_connections(), 0, MaxBackendConnections);
  Checks.requireRange("backends.idle_timeout_ms", Backends.idle_timeout_ms(), 0, MaxIdleTimeoutMs);
  Checks.requireRange("backends.connect_timeout_ms", Backends.connect_timeout_ms(), 0, MaxTimeoutMs);
  Checks.requireRange("drain_timeout_s", Settings.drain_timeout_s(), 0, MaxDrainTimeoutS);
}

void checkStrategy(document_checks &Checks, const std::string &Strategy) {
  if (Strategy.empty() || std::find(Strategies.begin(), Strategies.end(), Strategy) != Strategies.end())
    return;
  Checks.add(errc::OutOfRange, "scheduler.strategy",
             fmt::format("one of {}", fmt::join(Strategies.begin(), Strategies.end(), ", ")));
}

void checkNeighbours(document_checks &Checks, const schema::daemon_settings &Settings) {
  for (int Index = 0; Index < Settings.seed_peers_size(); ++Index)
    Checks.requireAddress(fmt::format("seed_peers[{}]", Index), Settings.seed_peers(Index), false);
  const auto &Group = Settings.dispatch_group();
  if (!Group.empty() && std::find(Group.begin(), Group.end(), Settings.failure_domain()) == Group.end())
    Checks.add(errc::MissingField, "dispatch_group", "failure_domain among the domains");
}

std::vector<document_issue> checkSettings(const schema::daemon_settings &Settings) {
  document_checks Checks;
  Checks.requireName("vm", Settings.vm(), name_rule::Vm);
  Checks.requireName("failure_domain", Settings.failure_domain(), name_rule::Vm);
  checkListeners(Checks, Settings.listen());
  Checks.requireAddress("platform", Settings.platform(), false);
  Checks.requireText("peer_key", Settings.peer_key(), MinSecretLength);
  Checks.requireText("operator_token", Settings.operator_token(), MinSecretLength);
  checkTls(Checks, Settings.tls());
  checkLimits(Checks, Settings);
  checkStrategy(Checks, Settings.scheduler().strategy());
  checkNeighbours(Checks, Settings);
  return Checks.take();
}

} // namespace

std::vector<document_issue> readDocument(std::string_view Text, google::protobuf::Message &Message) {
  return readMessage(Text, Message, {});
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
