// Reads the settings file that the platform writes for each process.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::platform {

/// Environment variable that holds the path of the settings file.
inline constexpr const char *SettingsVariable = "YUCCAPLANK_BOOT";

struct settings {
  /// Name of the VM.
  std::string Vm;
  /// Failure domain of the VM.
  std::string Domain;
  /// All failure domains of the deployment.
  std::set<std::string> Domains;
  std::string Ip;
  /// Addresses "ip:port" on which the VM serves callers, the platform's readiness checks, and other VMs.
  std::string CallerAddress;
  std::string ReadyAddress;
  std::string PeerAddress;
  /// Peer addresses of up to three VMs, some of which may no longer exist.
  std::vector<std::string> Seeds;
  /// Address of the platform's store.
  std::string StoreAddress;
  double CpuShare = 1;
  /// Memory and descriptors of the machine; 0 if the platform names none.
  std::int64_t MemoryMb = 0;
  std::int64_t FileDescriptors = 0;
  /// Time between SIGTERM and SIGKILL.
  double GracePeriodS = 6;
  /// Longest lease that a backend server grants.
  std::uint32_t MaxLeaseMs = 1000;
  /// Time after which callers resend a job whose connection broke.
  std::uint32_t ResendDelayMs = 1300;
  /// Longest time from a stop order to the end of the run.
  std::uint32_t StopTimeoutMs = 50;
  /// Factor on the run time of a task outside the rack of its data.
  double RemoteFactor = 1.5;
};

/// A fault in a settings file.
struct settings_issue {
  runtime::errc Reason = runtime::errc::MalformedDocument;
  /// Path of the field, for example "limits.cpu_share".
  std::string Path;
};

/// Reads a settings file and returns all its faults. Unknown fields are ignored, as the platform requires.
std::vector<settings_issue> readSettings(std::string_view Text, settings &Settings);

} // namespace yuccaplank::platform
