// Options and counters of the exchange of server entries between VMs.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>

namespace yuccaplank::dispatch {

struct server_entry_options {
  /// Interval between requests to other VMs while this VM does not read the store.
  runtime::duration RequestInterval = std::chrono::milliseconds(500);
  /// Without a successful read for this time, this VM counts as not reading the store. A read that gets no
  /// answer fails after 1.5 s.
  runtime::duration ReadTimeout = std::chrono::milliseconds(1600);
  /// Older entries decide no start while another VM may know newer ones. A start order arrives within 560 ms,
  /// and a smaller capacity binds 3 s after the store has accepted it.
  runtime::duration MaxAge = std::chrono::milliseconds(2400);
};

struct server_entry_counters {
  /// Time for which the entries may have been outdated; 0 before the first read.
  runtime::duration Age{};
  /// Requests to other VMs, and their answers that told something newer.
  std::uint64_t Requests = 0;
  std::uint64_t Learnt = 0;
  /// Times that starts were suspended because the entries were older than MaxAge.
  std::uint64_t Suspensions = 0;
};

} // namespace yuccaplank::dispatch
