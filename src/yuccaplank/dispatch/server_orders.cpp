#include "yuccaplank/dispatch/server_orders.hpp"

#include <array>

namespace yuccaplank::dispatch {
namespace {

constexpr auto OutcomeNames = std::to_array<std::string_view>(
    {"accepted", "fenced", "superseded", "lease_over", "no_room", "malformed", "unhealthy",
     "other_incarnation", "not_sent", "connection_refused", "no_answer"});
constexpr auto EndNames =
    std::to_array<std::string_view>({"done", "failed", "stopped", "lapsed", "broken", "alone"});

} // namespace

std::string_view orderOutcomeName(order_outcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

bool isUndelivered(order_outcome Outcome) {
  return Outcome == order_outcome::NotSent || Outcome == order_outcome::ConnectionRefused;
}

std::string_view runEndName(run_end End) { return EndNames.at(static_cast<std::size_t>(End)); }

} // namespace yuccaplank::dispatch
