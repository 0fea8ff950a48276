// The configuration that operators have set: queues and their pools of backend servers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::dispatch {

/// A queue of jobs. Requests are assigned to it by host and path.
struct queue_settings {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  /// Pool of the backend servers that run its tasks.
  std::string Pool;
  /// Jobs of queues with a lower value are served first.
  std::uint32_t Priority = 0;
  /// The job fails when this many runs of one task have failed.
  std::uint32_t MaxAttempts = 1;
  /// The objective of a job is the estimated time of its longest task times Stretch, plus LatencyMs.
  double Stretch = 1;
  std::uint32_t LatencyMs = 0;
  std::uint32_t TimeoutMs = 0;
  /// An external service decides which servers may run a step.
  bool NeedsAdvice = false;
};

struct request_limits {
  std::size_t MaxBodyBytes = 256U << 10U;
};

struct configuration {
  std::uint64_t Version = 0;
  std::vector<queue_settings> Queues;
  request_limits Limits;

  /// Returns the queue of Host, whose case does not matter, whose PathPrefix is the longest prefix of Path,
  /// or null when there is none.
  [[nodiscard]] const queue_settings *findQueue(std::string_view Host, std::string_view Path) const;
};

} // namespace yuccaplank::dispatch
