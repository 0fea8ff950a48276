#include "yuccaplank/dispatch/bounds.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using std::chrono::milliseconds;

// One way of a message or an order, with some delay.
constexpr duration CallTime = milliseconds(100);
// Orphaned runs are given up this long before the caller sends the job again.
constexpr duration OrphanMargin = milliseconds(200);
constexpr duration LeaseMargin = milliseconds(50);
// Less does not survive a message that is late.
constexpr duration ShortestSilence = milliseconds(300);
constexpr duration ShortestAdoption = milliseconds(50);

// When a run has certainly ended whose lease is not renewed.
duration leaseOver(const ledger_options &Ledger) {
  return std::chrono::duration_cast<duration>(Ledger.Lease * (1 + Ledger.ClockDrift)) + Ledger.ClockError;
}

duration longestLease(const ledger_options &Ledger, duration Over) {
  return std::chrono::duration_cast<duration>((Over - Ledger.ClockError) / (1 + Ledger.ClockDrift));
}

} // namespace

bool applyBounds(const platform_bounds &Bounds, entry_vm_options &Options) {
  duration &Orphan = Options.Coordinator.OrphanTime;
  duration &Silence = Options.View.SilenceLimit;
  ledger_options &Ledger = Options.Ledger;
  Orphan = std::min(Orphan, duration(Bounds.Resend - OrphanMargin));
  Ledger.Lease = std::min({Ledger.Lease, Bounds.MaxLease, longestLease(Ledger, Orphan - LeaseMargin)});
  Silence = std::min(Silence, duration(Orphan - Bounds.StopTime - CallTime - LeaseMargin));
  Ledger.AdoptionTime = std::min(
      Ledger.AdoptionTime, duration(Bounds.Resend - Silence - 2 * CallTime - Bounds.StopTime - LeaseMargin));
  return keepsBounds(Bounds, Options);
}

bool keepsBounds(const platform_bounds &Bounds, const entry_vm_options &Options) {
  duration Silence = Options.View.SilenceLimit;
  const ledger_options &Ledger = Options.Ledger;
  bool Useful = Silence >= ShortestSilence && Ledger.AdoptionTime >= ShortestAdoption;
  bool LeaseGranted = Ledger.Lease <= Bounds.MaxLease;
  // A lease outlasts one hold that is lost and the next.
  bool LeaseLasts = 2 * Ledger.HoldWait < Ledger.Lease;
  // The coordinator dies: owners find out and stop its runs.
  bool AfterCoordinator = Silence + Bounds.StopTime + CallTime < Bounds.Resend;
  // Coordinator and owner die together: the lease ends, or the next owner stops what nobody claims.
  bool AfterBoth = leaseOver(Ledger) < Bounds.Resend &&
                   Silence + CallTime + Ledger.AdoptionTime + Bounds.StopTime + CallTime < Bounds.Resend;
  // Coordinator and owner lose each other: the owner stops the runs before the coordinator starts others.
  bool Apart = Silence + Bounds.StopTime + CallTime < Options.Coordinator.OrphanTime &&
               leaseOver(Ledger) < Options.Coordinator.OrphanTime;
  // A relaying VM loses the coordinator, or both the coordinator and an owner die: their runs have ended
  // before the job is passed on. The relaying VM may notice at once, the owners only by silence.
  bool Relayed =
      Silence + Bounds.StopTime + 2 * CallTime < Options.Relay.OrphanTime &&
      leaseOver(Ledger) < Options.Relay.OrphanTime &&
      Silence + CallTime + Ledger.AdoptionTime + Bounds.StopTime + CallTime < Options.Relay.OrphanTime;
  return Useful && LeaseGranted && LeaseLasts && AfterCoordinator && AfterBoth && Apart && Relayed &&
         Options.Coordinator.OrphanTime < Bounds.Resend;
}

} // namespace yuccaplank::dispatch
