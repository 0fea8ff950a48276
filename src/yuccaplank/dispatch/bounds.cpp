#include "yuccaplank/dispatch/bounds.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using std::chrono::milliseconds;

// Kept between the end of what an earlier submission may run and the next submission.
constexpr duration RunEndMargin = milliseconds(10);
// Shorter contact does not survive a message that is late.
constexpr duration MinContactLease = milliseconds(300);
// Coordinators give up what runs for a job this long before its caller sends it again.
constexpr duration OrphanMargin = milliseconds(200);

// When a lease has certainly ended that lasts until this long after a heartbeat was sent.
duration leaseExpiry(const ledger_options &Ledger, duration Lease) {
  return std::chrono::duration_cast<duration>(Lease * (1 + Ledger.ClockDrift)) + Ledger.ClockError;
}

duration maxLeaseDuration(const ledger_options &Ledger, duration ExpiresAfter) {
  return std::chrono::duration_cast<duration>((ExpiresAfter - Ledger.ClockError) / (1 + Ledger.ClockDrift));
}

// When nothing runs any more for a relaying VM, from when it stopped answering the dispatching VM's
// heartbeats.
duration relayedRunsEndTime(const entry_vm_options &Options) {
  return Options.View.ContactLease + leaseExpiry(Options.Ledger, Options.Ledger.RelayedRunLimit);
}

void scale(duration &Time, double Factor) { Time = std::chrono::duration_cast<duration>(Time * Factor); }

} // namespace

bool applyBounds(const platform_bounds &Bounds, entry_vm_options &Options) {
  ledger_options &Ledger = Options.Ledger;
  Ledger.LeaseDuration = std::min(Ledger.LeaseDuration, Bounds.MaxLease);
  const entry_vm_options Defaults;
  duration Needed = relayedRunsEndTime(Defaults) - Ledger.ClockError + 2 * RunEndMargin;
  double Factor =
      std::min(1.0, (Bounds.ResendDelay - Ledger.ClockError) / std::chrono::duration<double>(Needed));
  if (Factor < 1)
    for (duration *Time :
         {&Options.HeartbeatInterval, &Options.View.ContactLease, &Options.View.ReconnectTimeout,
          &Ledger.StartLimit, &Ledger.RunLimit, &Ledger.RelayedRunLimit, &Ledger.HoldWait})
      scale(*Time, Factor);
  Options.Coordinator.OrphanTimeout =
      std::min(Options.Coordinator.OrphanTimeout, duration(Bounds.ResendDelay - OrphanMargin));
  Ledger.RunLimit =
      std::min(Ledger.RunLimit, maxLeaseDuration(Ledger, Options.Coordinator.OrphanTimeout - RunEndMargin));
  Options.Relay.OrphanTimeout = std::min(Options.Relay.OrphanTimeout, Bounds.ResendDelay);
  return satisfiesBounds(Bounds, Options);
}

bool satisfiesBounds(const platform_bounds &Bounds, const entry_vm_options &Options) {
  duration Contact = Options.View.ContactLease;
  const ledger_options &Ledger = Options.Ledger;
  // A heartbeat has an answer after two intervals at most, and some time is left for delays.
  bool ContactIsLongEnough =
      Contact >= MinContactLease && 2 * Options.HeartbeatInterval + Contact / 3 <= Contact;
  bool LeaseIsGranted = Ledger.LeaseDuration <= Bounds.MaxLease;
  // A lease outlasts one hold that is lost and the next, also when the last answer to a heartbeat is old.
  bool LeaseOutlastsLostHold = 2 * Ledger.HoldWait < Ledger.LeaseDuration &&
                               2 * Ledger.HoldWait + 2 * Options.HeartbeatInterval < Ledger.RelayedRunLimit &&
                               Ledger.RelayedRunLimit <= Ledger.RunLimit;
  // An order that starts a run ends no later than the run may last.
  bool StartsInTime = Ledger.StartLimit <= Contact && Ledger.StartLimit <= Ledger.RelayedRunLimit;
  // The coordinator loses the owner, or dies: the owner's runs have ended before it starts others, or before
  // its caller sends the job again.
  bool RunsEndBeforeRetry = leaseExpiry(Ledger, Ledger.RunLimit) < Options.Coordinator.OrphanTimeout &&
                            Options.Coordinator.OrphanTimeout < Bounds.ResendDelay;
  // A relaying VM loses the coordinator, or dies: the coordinator's contact with it ends, then that of each
  // owner with the coordinator as it was before, with its runs.
  bool RelayedRunsEndBeforeRetry = relayedRunsEndTime(Options) + RunEndMargin <= Bounds.ResendDelay &&
                                   relayedRunsEndTime(Options) + RunEndMargin <= Options.Relay.OrphanTimeout;
  return ContactIsLongEnough && LeaseIsGranted && LeaseOutlastsLostHold && StartsInTime &&
         RunsEndBeforeRetry && RelayedRunsEndBeforeRetry;
}

} // namespace yuccaplank::dispatch
