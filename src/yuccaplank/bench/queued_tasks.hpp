// Cost of a scheduler with many queued tasks.
#pragma once

#include <cstdint>

namespace yuccaplank::bench {

/// Memory and time per task.
struct queued_result {
  double BytesPerTask = 0;
  double UsPerTask = 0;
};

/// Fills a scheduler with about Queued tasks beyond its slots, then lets every end of a task start the next
/// one.
queued_result runQueued(int Queued, std::uint64_t Seed);

} // namespace yuccaplank::bench
