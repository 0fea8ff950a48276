// Decides whether an owner has to request a server's list of runs before it starts anything. A restarted
// server has lost its fence, so another VM may have sent it orders under an earlier claim.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <optional>

namespace yuccaplank::dispatch {

class run_list_refresh {
public:
  /// Requests a list. Only a list that is requested from the server at Now or later satisfies this.
  void request(runtime::time_point Now) { RequestedSince = Now; }
  [[nodiscard]] bool pending() const { return RequestedSince.has_value(); }
  /// Records a list that was requested at RequestedAt. Returns whether it satisfies the pending request.
  bool onList(runtime::time_point RequestedAt) {
    ListedAt = RequestedAt;
    if (!RequestedSince || RequestedAt < *RequestedSince)
      return false;
    RequestedSince.reset();
    return true;
  }
  void reset() { RequestedSince.reset(); }
  /// Returns the time since the last received list was requested.
  [[nodiscard]] runtime::duration age(runtime::time_point Now) const { return Now - ListedAt; }

  /// Returns whether the server may have restarted since its last list was requested. Wait is how long the
  /// server may delay its reply with a list.
  [[nodiscard]] bool mayHaveRestarted(runtime::time_point Now, runtime::duration Wait) const {
    return Now - ListedAt > Wait + MinRestartTime;
  }

private:
  // No server restarts in less time.
  static constexpr auto MinRestartTime = std::chrono::milliseconds(100);

  std::optional<runtime::time_point> RequestedSince;
  // When the last received list was requested.
  runtime::time_point ListedAt{};
};

} // namespace yuccaplank::dispatch
