// What the servers that were lost under a task mean for its next run.
#pragma once

#include <cstdint>

namespace yuccaplank::dispatch {

/// In the order of severity.
enum class loss_verdict : std::uint8_t {
  /// No server may have crashed under the task.
  Clear,
  /// A server may have crashed under it: its next run should be alone on a server.
  Suspect,
  /// So many servers may have crashed under it that it must not start until some of them have replied.
  Suspended,
  /// So many servers have certainly crashed under it that it must not start again.
  GivenUp,
};

} // namespace yuccaplank::dispatch
