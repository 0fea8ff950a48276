#include "yuccaplank/dispatch/bounds.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using std::chrono::milliseconds;

// Margin between the end of an earlier submission's runs and the next submission.
constexpr duration RunEndMargin = milliseconds(10);
// A shorter contact lease would expire when a single message is late.
constexpr duration MinContactLease = milliseconds(300);
// Coordinators give up the runs of a job this long before its caller resends it.
constexpr duration OrphanMargin = milliseconds(200);

// Time from a heartbeat to the certain expiry of a lease that is limited to the given time after this
// heartbeat.
duration leaseExpiry(const ledger_options &Ledger, duration Lease) {
  return std::chrono::duration_cast<duration>(Lease * (1 + Ledger.ClockDrift)) + Ledger.ClockError;
}

duration maxLeaseDuration(const ledger_options &Ledger, duration ExpiresAfter) {
  return std::chrono::duration_cast<duration>((ExpiresAfter - Ledger.ClockError) / (1 + Ledger.ClockDrift));
}

// Time by which all runs for a relaying VM have ended, from when it stopped answering the heartbeats of the
// dispatching VM.
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
  // A heartbeat is answered within two intervals, and a third of the contact lease is left for delays.
  bool ContactIsLongEnough =
      Contact >= MinContactLease && 2 * Options.HeartbeatInterval + Contact / 3 <= Contact;
  bool LeaseIsGranted = Ledger.LeaseDuration <= Bounds.MaxLease;
  // A lease outlasts one lost hold and the next one, even if the last answer to a heartbeat is old.
  bool LeaseOutlastsLostHold = 2 * Ledger.HoldWait < Ledger.LeaseDuration &&
                               2 * Ledger.HoldWait + 2 * Options.HeartbeatInterval < Ledger.RelayedRunLimit &&
                               Ledger.RelayedRunLimit <= Ledger.RunLimit;
  // A start order expires no later than the run has to end.
  bool StartsInTime = Ledger.StartLimit <= Contact && Ledger.StartLimit <= Ledger.RelayedRunLimit;
  // If the coordinator dies or loses the owner, the owner's runs end before the coordinator starts others and
  // before the caller resends the job.
  bool RunsEndBeforeRetry = leaseExpiry(Ledger, Ledger.RunLimit) < Options.Coordinator.OrphanTimeout &&
                            Options.Coordinator.OrphanTimeout < Bounds.ResendDelay;
  // A stop may stay unanswered while the server answers holds. Then the run ends with the lease that was
  // given before the stop, or at the limit that the stop sets.
  bool StoppedRunsEndBeforeRetry =
      leaseExpiry(Ledger, std::max(Ledger.LeaseDuration, Ledger.RunLimit)) + RunEndMargin <=
      Bounds.ResendDelay;
  // If a relaying VM dies or loses the coordinator, the coordinator's contact with it ends first, and then
  // the contact of each owner with the coordinator as it was before, and the runs with it.
  bool RelayedRunsEndBeforeRetry = relayedRunsEndTime(Options) + RunEndMargin <= Bounds.ResendDelay &&
                                   relayedRunsEndTime(Options) + RunEndMargin <= Options.Relay.OrphanTimeout;
  return ContactIsLongEnough && LeaseIsGranted && LeaseOutlastsLostHold && StartsInTime &&
         RunsEndBeforeRetry && StoppedRunsEndBeforeRetry && RelayedRunsEndBeforeRetry;
}

} // namespace yuccaplank::dispatch
