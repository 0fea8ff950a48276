#include "yuccaplank/cli/exit_status.hpp"

namespace yuccaplank::cli {

exit_status statusOf(schema::outcome_kind Outcome) {
  switch (Outcome) {
  case schema::OUTCOME_DONE:
    return exit_status::Done;
  case schema::OUTCOME_FAILED:
    return exit_status::Failed;
  case schema::OUTCOME_REFUSED:
    return exit_status::Refused;
  case schema::OUTCOME_UNKNOWN:
    return exit_status::Unknown;
  default:
    return exit_status::OtherError;
  }
}

} // namespace yuccaplank::cli
