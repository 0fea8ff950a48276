// Clock of one backend server as its replies tell it, and the end of the leases that were given by it.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace yuccaplank::dispatch {

class lease_clock {
public:
  /// Drift of the server's clock, and the error of the estimate of that clock.
  lease_clock(double Drift, runtime::duration Error) : Drift(Drift), Error(Error) {}

  /// The server's clock, as told by a reply that has just arrived.
  void setServerClock(runtime::time_point Now, const std::optional<std::int64_t> &ClockMs) {
    if (!ClockMs)
      return;
    ServerMs = *ClockMs;
    UpdatedAt = Now;
  }

  /// A lease has been given of this length at most, by this VM or a former owner.
  void onLeaseGranted(runtime::time_point Now, runtime::duration Lease) {
    auto Guard = std::chrono::duration_cast<runtime::duration>(Lease * (1 + Drift)) + Error;
    ExpiresAt = std::max(ExpiresAt, Now + Guard);
  }

  /// Lease end, on the server's clock, for an order that is sent now.
  std::int64_t extend(runtime::time_point Now, runtime::duration Lease) {
    onLeaseGranted(Now, Lease);
    // A clock that is slow has not gone further than this; after seconds the difference exceeds Error.
    auto SinceUpdate = std::chrono::duration_cast<runtime::duration>((Now - UpdatedAt) * (1 - Drift));
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(SinceUpdate + Lease);
    return ServerMs + Left.count();
  }

  /// When no run can be alive any more unless the lease is extended again.
  [[nodiscard]] runtime::time_point expiresAt() const { return ExpiresAt; }

private:
  double Drift;
  runtime::duration Error;
  std::int64_t ServerMs = 0;
  runtime::time_point UpdatedAt{};
  runtime::time_point ExpiresAt{};
};

} // namespace yuccaplank::dispatch
