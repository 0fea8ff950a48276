// Whether an owner has to ask a server what runs there before it starts anything. A server that was born
// again has forgotten its fence, so that another VM may have ordered it under an earlier claim.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <optional>

namespace yuccaplank::dispatch {

class server_look {
public:
  /// A list is wanted that is asked for from now on.
  void want(runtime::time_point Now) { WantedSince = Now; }
  [[nodiscard]] bool wanted() const { return WantedSince.has_value(); }
  /// A list has arrived that was asked for at this time; tells whether it is the one that was wanted.
  bool arrived(runtime::time_point AskedAt) {
    ListedAt = AskedAt;
    if (!WantedSince || AskedAt < *WantedSince)
      return false;
    WantedSince.reset();
    return true;
  }
  void reset() { WantedSince.reset(); }

  /// Whether the server may have ended and be back since its last list; Wait is how long a list is waited
  /// for.
  [[nodiscard]] bool mayBeReborn(runtime::time_point Now, runtime::duration Wait) const {
    return Now - ListedAt > Wait + ShortestRebirth;
  }

private:
  // No server ends and is back in less time.
  static constexpr auto ShortestRebirth = std::chrono::milliseconds(100);

  std::optional<runtime::time_point> WantedSince;
  // When the last list was asked for.
  runtime::time_point ListedAt{};
};

} // namespace yuccaplank::dispatch
