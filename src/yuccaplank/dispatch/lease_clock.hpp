// Estimates the clock of one backend server from its replies, and the time by which its leases have expired.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace yuccaplank::dispatch {

class lease_clock {
public:
  /// Drift is the relative drift of the server's clock, and Error the error of the estimate of that clock.
  lease_clock(double Drift, runtime::duration Error) : Drift(Drift), Error(Error) {}

  /// Sets the estimate to the clock value in a reply that arrives now.
  void setServerClock(runtime::time_point Now, const std::optional<std::int64_t> &ClockMs) {
    if (!ClockMs)
      return;
    ServerMs = *ClockMs;
    UpdatedAt = Now;
    IsKnown = true;
  }

  /// Latest time that the server's clock may show now; nothing before the first reply with a clock.
  [[nodiscard]] std::optional<std::int64_t> latestServerMs(runtime::time_point Now) const {
    if (!IsKnown)
      return std::nullopt;
    auto SinceUpdate = std::chrono::duration_cast<runtime::duration>((Now - UpdatedAt) * (1 + Drift)) + Error;
    return ServerMs + std::chrono::duration_cast<std::chrono::milliseconds>(SinceUpdate).count();
  }

  /// Records that this VM or a former owner has given a lease of at most this length.
  void onLeaseGranted(runtime::time_point Now, runtime::duration Lease) {
    auto MaxDuration = std::chrono::duration_cast<runtime::duration>(Lease * (1 + Drift)) + Error;
    ExpiresAt = std::max(ExpiresAt, Now + MaxDuration);
  }

  /// Extends the lease, and returns its end on the server's clock for an order that is sent now.
  std::int64_t extend(runtime::time_point Now, runtime::duration Lease) {
    onLeaseGranted(Now, Lease);
    GivenUntil = std::max(GivenUntil, Now + Lease);
    // This assumes the slowest possible clock, so that the lease is not too long. After some seconds without
    // a reply, the difference to the real clock exceeds Error.
    auto SinceUpdate = std::chrono::duration_cast<runtime::duration>((Now - UpdatedAt) * (1 - Drift));
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(SinceUpdate + Lease);
    return ServerMs + Left.count();
  }

  /// Time left of the longest lease that extend() has given since the last claim; negative if it is over. An
  /// order with a lease that ends no later prolongs no run.
  [[nodiscard]] runtime::duration given(runtime::time_point Now) const { return GivenUntil - Now; }
  /// Forgets the given leases, because a new claim says nothing about the lease of the runs it finds.
  void onClaimed() { GivenUntil = {}; }

  /// Time by which every run has ended unless the lease is extended again.
  [[nodiscard]] runtime::time_point expiresAt() const { return ExpiresAt; }

private:
  double Drift;
  runtime::duration Error;
  std::int64_t ServerMs = 0;
  bool IsKnown = false;
  runtime::time_point UpdatedAt{};
  runtime::time_point ExpiresAt{};
  runtime::time_point GivenUntil{};
};

} // namespace yuccaplank::dispatch
