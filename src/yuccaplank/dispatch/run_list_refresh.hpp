// Whether an owner has to ask a server what runs there before it starts anything. A server that was born
// again has forgotten its fence, so that another VM may have ordered it under an earlier claim.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <optional>

namespace yuccaplank::dispatch {

class run_list_refresh {
public:
  /// Requests a list that is asked for from now on.
  void request(runtime::time_point Now) { RequestedSince = Now; }
  [[nodiscard]] bool pending() const { return RequestedSince.has_value(); }
  /// A list has arrived that was asked for at this time; tells whether it is the one that was requested.
  bool onList(runtime::time_point AskedAt) {
    ListedAt = AskedAt;
    if (!RequestedSince || AskedAt < *RequestedSince)
      return false;
    RequestedSince.reset();
    return true;
  }
  void reset() { RequestedSince.reset(); }

  /// Whether the server may have ended and be back since its last list; Wait is how long a list is waited
  /// for.
  [[nodiscard]] bool mayHaveRestarted(runtime::time_point Now, runtime::duration Wait) const {
    return Now - ListedAt > Wait + MinRestartTime;
  }

private:
  // No server ends and is back in less time.
  static constexpr auto MinRestartTime = std::chrono::milliseconds(100);

  std::optional<runtime::time_point> RequestedSince;
  // When the last list was asked for.
  runtime::time_point ListedAt{};
};

} // namespace yuccaplank::dispatch
