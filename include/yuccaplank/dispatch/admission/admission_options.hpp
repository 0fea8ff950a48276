// Settings of admission control at the placer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace yuccaplank::dispatch::admission {

/// A minimum share of a pool's capacity for one queue, or for each queue of a priority.
struct guaranteed_share {
  /// Name of the queue; empty selects the queues by Priority.
  std::string Queue;
  std::uint32_t Priority = 0;
  /// Share of the pool's capacity, between 0 and 1.
  double Share = 0;
};

struct admission_options {
  /// Whether jobs are refused by prediction when there is more load than capacity.
  bool PredictStarts = true;
  /// In a burst, a job is admitted while its predicted wait is at most this share of the time that it can
  /// wait. The rest covers errors of the prediction and of the declared run time.
  double WaitMargin = 0.2;
  /// Without an entry, a queue has no guaranteed share.
  std::vector<guaranteed_share> Shares;
};

} // namespace yuccaplank::dispatch::admission
