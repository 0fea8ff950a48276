// Exit statuses of the command-line tool.
#pragma once

#include <cstdint>

namespace yuccaplank::cli {

/// Exit statuses of all commands (docs/API.md).
enum class exit_status : std::uint8_t {
  Done = 0,
  OtherError = 1,
  Usage = 2,
  /// The job failed or was cancelled; some of its tasks may have run.
  Failed = 3,
  /// The job was refused and did not run.
  Refused = 4,
  /// The outcome is unknown; the job may have run.
  Unknown = 5,
};

} // namespace yuccaplank::cli
