// Settings file that the platform writes for each process.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::platform {

/// Environment variable with the path of the settings file.
inline constexpr const char *SettingsVariable = "YUCCAPLANK_BOOT";

struct settings {
  /// Name of the VM.
  std::string Vm;
  /// Failure domain.
  std::string Domain;
  std::string Ip;
  /// "ip:port" for callers, for the platform's readiness checks, and for other VMs.
  std::string CallerAddress;
  std::string ReadyAddress;
  std::string PeerAddress;
  /// Peer addresses of up to three VMs; may be stale.
  std::vector<std::string> Seeds;
  /// The platform's store.
  std::string StoreAddress;
  double CpuShare = 1;
  std::int64_t MemoryMb = 0;
  /// Time between SIGTERM and SIGKILL.
  double GracePeriodS = 6;
  /// Longest lease that a backend server grants.
  std::uint32_t MaxLeaseMs = 1000;
  /// Time after which callers send a job again whose connection broke.
  std::uint32_t ResendMs = 1300;
  std::uint32_t StopTimeMs = 50;
};

/// What is wrong with a settings file.
struct settings_issue {
  runtime::errc Reason = runtime::errc::MalformedDocument;
  /// Field, for example "limits.cpu_share".
  std::string Path;
};

/// Reads a settings file; fields that are not known are ignored, as the platform asks. Returns all issues.
std::vector<settings_issue> readSettings(std::string_view Text, settings &Settings);

} // namespace yuccaplank::platform
