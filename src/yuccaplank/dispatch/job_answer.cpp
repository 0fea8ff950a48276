#include "yuccaplank/dispatch/job_answer.hpp"

#include <array>

namespace yuccaplank::dispatch {
namespace {

// Indexed by job_outcome.
constexpr auto OutcomeNames =
    std::to_array<std::string_view>({"completed", "failed", "refused", "timed_out", "cancelled"});

// Indexed by end_reason.
constexpr auto ReasonNames =
    std::to_array<std::string_view>({"", "no_server_large_enough", "no_room_in_time", "no_placer", "deadline",
                                     "task_failed", "caller_left", "cancelled"});
static_assert(ReasonNames.size() == static_cast<std::size_t>(end_reason::Cancelled) + 1);

} // namespace

std::string_view jobOutcomeName(job_outcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

std::string_view endReasonName(end_reason Reason) { return ReasonNames.at(static_cast<std::size_t>(Reason)); }

end_reason toEndReason(schema::reject_reason Reason) {
  return Reason == schema::REJECT_NO_SERVER_LARGE_ENOUGH ? end_reason::NoServerLargeEnough
                                                         : end_reason::NoRoomInTime;
}

} // namespace yuccaplank::dispatch
