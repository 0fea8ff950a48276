// Exit statuses of the command-line tool.
#pragma once

#include "job.pb.h"

#include <cstdint>

namespace yuccaplank::cli {

/// Exit statuses, the same for all commands (docs/design.md, section 3).
enum class exit_status : std::uint8_t {
  Done = 0,
  OtherError = 1,
  Usage = 2,
  /// The job failed; some of its tasks may have run.
  Failed = 3,
  /// Refused, not run.
  Refused = 4,
  /// The outcome is unknown; the work may have been done.
  Unknown = 5,
  /// Another revision of the service is current.
  Conflict = 6,
};

/// A pending job is not an error of a submission, but has no outcome to report: OtherError.
exit_status statusOf(schema::outcome_kind Outcome);

} // namespace yuccaplank::cli
