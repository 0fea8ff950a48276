#include "yuccaplank/dispatch/job_answer.hpp"

#include <array>

namespace yuccaplank::dispatch {
namespace {

// Indexed by job_outcome.
constexpr auto OutcomeNames =
    std::to_array<std::string_view>({"completed", "failed", "refused", "timed_out", "cancelled"});

// Indexed by end_reason.
constexpr auto ReasonNames = std::to_array<std::string_view>(
    {"", "no_server_large_enough", "no_room_in_time", "no_placer", "deadline", "task_failed", "caller_left",
     "cancelled", "evacuated", "servers_crashed", "backlog", "memory_limit", "upgrade"});
static_assert(ReasonNames.size() == static_cast<std::size_t>(LastEndReason) + 1);

} // namespace

std::string_view jobOutcomeName(job_outcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

std::string_view endReasonName(end_reason Reason) { return ReasonNames.at(static_cast<std::size_t>(Reason)); }

end_reason toEndReason(schema::reject_reason Reason) {
  switch (Reason) {
  case schema::REJECT_NO_SERVER_LARGE_ENOUGH:
    return end_reason::NoServerLargeEnough;
  case schema::REJECT_EVACUATED:
    return end_reason::Evacuated;
  case schema::REJECT_BACKLOG:
    return end_reason::Backlog;
  case schema::REJECT_MEMORY_LIMIT:
    return end_reason::MemoryLimit;
  default:
    return end_reason::NoRoomInTime;
  }
}

} // namespace yuccaplank::dispatch
