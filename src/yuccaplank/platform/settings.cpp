#include "yuccaplank/platform/settings.hpp"
#include "json_reader.hpp"

#include <algorithm>

namespace yuccaplank::platform {
namespace {

constexpr const char *SupportedOrderForm = "request";
// Estimates multiplied by a larger factor may not fit into a message.
constexpr double MaxRemoteFactor = 1000;

void readListeners(object_reader &Reader, settings &Settings, std::vector<field_issue> &Issues) {
  object_reader Listeners(Reader.child("listen_addresses", true, false), "listen_addresses", Issues);
  Listeners.requiredText("frontend", Settings.CallerAddress);
  Listeners.requiredText("ready", Settings.ReadyAddress);
  Listeners.requiredText("control_plane", Settings.PeerAddress);
}

void readSeeds(object_reader &Reader, settings &Settings, std::vector<field_issue> &Issues) {
  for (const json &Seed : Reader.child("seeds", false, true)) {
    if (Seed.is_string())
      Settings.Seeds.push_back(Seed.get<std::string>());
    else
      Issues.push_back({runtime::errc::WrongType, "seeds"});
  }
}

} // namespace

std::vector<settings_issue> readSettings(std::string_view Text, settings &Settings) {
  json Document = parseJson(Text);
  if (!Document.is_object())
    return {{runtime::errc::MalformedDocument, ""}};
  std::vector<field_issue> Issues;
  object_reader Reader(Document, "", Issues);
  Reader.requiredText("node", Settings.Vm);
  Reader.requiredText("zone", Settings.Domain);
  Reader.requiredText("ip", Settings.Ip);
  for (const auto &[Domain, Region] : Reader.child("zones", false, false).items())
    Settings.Domains.insert(Domain);
  readListeners(Reader, Settings, Issues);
  readSeeds(Reader, Settings, Issues);
  object_reader Store(Reader.child("platform", true, false), "platform", Issues);
  Store.requiredText("address", Settings.StoreAddress);
  object_reader Limits(Reader.child("limits", false, false), "limits", Issues);
  Limits.optionalNumber("cpu_share", Settings.CpuShare);
  Limits.optionalInteger("memory_mb", Settings.MemoryMb);
  Limits.optionalInteger("file_descriptors", Settings.FileDescriptors);
  object_reader Bounds(Reader.child("bounds", false, false), "bounds", Issues);
  Bounds.optionalNumber("grace_period_s", Settings.GracePeriodS);
  Bounds.optionalInteger("max_hold_ms", Settings.MaxLeaseMs);
  Bounds.optionalInteger("retransmit_ms", Settings.ResendDelayMs);
  Bounds.optionalInteger("stop_timeout_ms", Settings.StopTimeoutMs);
  Bounds.optionalNumber("remote_factor", Settings.RemoteFactor);
  Settings.RemoteFactor = std::min(Settings.RemoteFactor, MaxRemoteFactor);
  // Platforms whose servers fetch their orders with their heartbeats are not supported.
  std::string OrderForm = SupportedOrderForm;
  Reader.optionalText("orders", OrderForm);
  if (OrderForm != SupportedOrderForm)
    Issues.push_back({runtime::errc::OutOfRange, "orders"});
  std::vector<settings_issue> Result;
  Result.reserve(Issues.size());
  for (const field_issue &Issue : Issues)
    Result.push_back({Issue.Reason, Issue.Path});
  return Result;
}

} // namespace yuccaplank::platform
