// Versions of the messages between VMs. During an upgrade, builds of two versions run side by side.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>

namespace yuccaplank::dispatch {

/// A VM tells its version in its status and in its entry in the store. Each version understands the messages
/// of the earlier ones.
enum class protocol_version : std::uint32_t {
  /// Builds that do not tell a version. They take two ids that differ only in the case of their digits for
  /// one
  /// job, and start its tasks under the name in lower case.
  Initial = 0,
  /// Ids of jobs may have capital digits.
  CapitalIds = 1,
  /// Requests for the entries of servers are answered.
  ServerEntries = 2,
};

inline constexpr protocol_version CurrentProtocolVersion = protocol_version::ServerEntries;

/// Delay after which a job that was refused because of an earlier build may be submitted again. An upgrade
/// replaces the next VM in about this time.
inline constexpr runtime::duration UpgradeRetryAfter = std::chrono::seconds(5);

} // namespace yuccaplank::dispatch
