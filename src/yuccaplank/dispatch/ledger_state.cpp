#include "ledger_state.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {

void ledger_state::runAfter(duration Delay, std::function<void()> Function) {
  Executor.after(Delay, OwnershipLifetime.guard(std::move(Function)));
}

void ledger_state::setResponsive(bool IsResponsive) {
  if (std::exchange(Responsive, IsResponsive) != IsResponsive)
    onCapacityChanged();
}

void ledger_state::requestRunListIfUndelivered(order_outcome Outcome) {
  if (isUndelivered(Outcome))
    ListRefresh.request(now());
}

bool ledger_state::entryDescribesIncarnation() const {
  return Entry.IncarnationStartMs == 0 || IncarnationStartMs == 0 ||
         Entry.IncarnationStartMs == IncarnationStartMs;
}

void ledger_state::setIncarnation(std::int64_t StartMs) {
  IncarnationStartMs = StartMs;
  Draining = entryDescribesIncarnation() && Entry.Draining;
}

void ledger_state::updateDraining() {
  if (entryDescribesIncarnation())
    Draining = Entry.Draining;
}

std::optional<duration> ledger_state::allowedLease() {
  for (auto &[Run, State] : Runs)
    Limits.updateAllowedUntil(State, Ports.lastAnsweredHeartbeat(State.Coordinator), sinceBoot());
  return Limits.leaseDuration(Runs.allowedUntil(), sinceBoot());
}

duration ledger_state::leaseLimit() {
  return std::max(allowedLease().value_or(duration::zero()), Clock.given(now()));
}

std::optional<std::int64_t> ledger_state::extendLease() {
  auto Lease = allowedLease();
  if (!Lease)
    return std::nullopt;
  return Clock.extend(now(), *Lease);
}

} // namespace yuccaplank::dispatch
