#include "yuccaplank/dispatch/bounds.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using std::chrono::milliseconds;

// Kept between the end of what an earlier submission may run and the next submission.
constexpr duration Margin = milliseconds(10);
// Shorter contact does not survive a message that is late.
constexpr duration ShortestContact = milliseconds(300);
// Coordinators give up what runs for a job this long before its caller sends it again.
constexpr duration OrphanMargin = milliseconds(200);

// When a lease has certainly ended that lasts until this long after a heartbeat was sent.
duration leaseOver(const ledger_options &Ledger, duration Lease) {
  return std::chrono::duration_cast<duration>(Lease * (1 + Ledger.ClockDrift)) + Ledger.ClockError;
}

duration longestLease(const ledger_options &Ledger, duration Over) {
  return std::chrono::duration_cast<duration>((Over - Ledger.ClockError) / (1 + Ledger.ClockDrift));
}

// When nothing runs any more for a relaying VM, from when it stopped answering the dispatching VM's
// heartbeats.
duration relayedRunsOver(const entry_vm_options &Options) {
  return Options.View.Lease + leaseOver(Options.Ledger, Options.Ledger.RelayedRunLimit);
}

void scale(duration &Time, double Factor) { Time = std::chrono::duration_cast<duration>(Time * Factor); }

} // namespace

bool applyBounds(const platform_bounds &Bounds, entry_vm_options &Options) {
  ledger_options &Ledger = Options.Ledger;
  Ledger.Lease = std::min(Ledger.Lease, Bounds.MaxLease);
  const entry_vm_options Defaults;
  duration Needed = relayedRunsOver(Defaults) - Ledger.ClockError + 2 * Margin;
  double Factor = std::min(1.0, (Bounds.Resend - Ledger.ClockError) / std::chrono::duration<double>(Needed));
  if (Factor < 1)
    for (duration *Time : {&Options.HeartbeatInterval, &Options.View.Lease, &Options.View.ReconnectTime,
                           &Ledger.StartLimit, &Ledger.RunLimit, &Ledger.RelayedRunLimit, &Ledger.HoldWait})
      scale(*Time, Factor);
  Options.Coordinator.OrphanTimeout =
      std::min(Options.Coordinator.OrphanTimeout, duration(Bounds.Resend - OrphanMargin));
  Ledger.RunLimit =
      std::min(Ledger.RunLimit, longestLease(Ledger, Options.Coordinator.OrphanTimeout - Margin));
  Options.Relay.OrphanTimeout = std::min(Options.Relay.OrphanTimeout, Bounds.Resend);
  return keepsBounds(Bounds, Options);
}

bool keepsBounds(const platform_bounds &Bounds, const entry_vm_options &Options) {
  duration Contact = Options.View.Lease;
  const ledger_options &Ledger = Options.Ledger;
  // A heartbeat has an answer after two intervals at most, and some time is left for delays.
  bool Useful = Contact >= ShortestContact && 2 * Options.HeartbeatInterval + Contact / 3 <= Contact;
  bool LeaseGranted = Ledger.Lease <= Bounds.MaxLease;
  // A lease outlasts one hold that is lost and the next, also when the last answer to a heartbeat is old.
  bool LeaseLasts = 2 * Ledger.HoldWait < Ledger.Lease &&
                    2 * Ledger.HoldWait + 2 * Options.HeartbeatInterval < Ledger.RelayedRunLimit &&
                    Ledger.RelayedRunLimit <= Ledger.RunLimit;
  // An order that starts a run ends no later than the run may last.
  bool StartsInTime = Ledger.StartLimit <= Contact && Ledger.StartLimit <= Ledger.RelayedRunLimit;
  // The coordinator loses the owner, or dies: the owner's runs have ended before it starts others, or before
  // its caller sends the job again.
  bool Apart = leaseOver(Ledger, Ledger.RunLimit) < Options.Coordinator.OrphanTimeout &&
               Options.Coordinator.OrphanTimeout < Bounds.Resend;
  // A relaying VM loses the coordinator, or dies: the coordinator's contact with it ends, then that of each
  // owner with the coordinator as it was before, with its runs.
  bool Relayed = relayedRunsOver(Options) + Margin <= Bounds.Resend &&
                 relayedRunsOver(Options) + Margin <= Options.Relay.OrphanTimeout;
  return Useful && LeaseGranted && LeaseLasts && StartsInTime && Apart && Relayed;
}

} // namespace yuccaplank::dispatch
