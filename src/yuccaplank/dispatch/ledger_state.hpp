// What the parts of a server's ledger share.
#pragma once

#include "lease_clock.hpp"
#include "run_limits.hpp"
#include "run_list_refresh.hpp"
#include "run_table.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/runtime/lifetime.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace yuccaplank::dispatch {

using runtime::duration;
using runtime::time_point;

enum class ownership : std::uint8_t {
  /// Another VM or no VM owns the server.
  None,
  /// A claim was sent to raise the fence and is not accepted yet.
  Claiming,
  /// The claim was accepted; coordinators may still claim the runs that it found.
  Adopting,
  Owned,
};

/// State of one server that several parts of its ledger use.
struct ledger_state {
  ledger_state(runtime::executor &Executor, ledger_ports &Ports, server_entry EntryIn,
               const ledger_options &Options)
      : Executor(Executor), Ports(Ports), Entry(std::move(EntryIn)), Options(Options),
        Clock(Options.ClockDrift, Options.ClockError), Limits(Options) {}

  [[nodiscard]] time_point now() const { return Executor.clock().now(); }
  [[nodiscard]] time_point sinceBoot() const { return Executor.clock().sinceBoot(); }
  /// Calls Function after this time unless the server is released before.
  void runAfter(duration Delay, std::function<void()> Function);
  void onCapacityChanged() { Ports.onCapacityChanged(Entry.Target.Id); }
  void setResponsive(bool IsResponsive);
  /// Called with each list of runs that is not outdated.
  void onReply(const hold_reply &Reply) {
    Ports.onServerReplied(Entry.Target.Id, Reply.IncarnationStartMs, Reply.ClockMs.value_or(0));
  }
  /// If an order could not be sent, the server may have restarted and lost its fence.
  void requestRunListIfUndelivered(order_outcome Outcome);
  /// Another incarnation may have another capacity. The entry and the list of runs each may be the older one.
  [[nodiscard]] bool entryDescribesIncarnation() const;
  void setIncarnation(std::int64_t StartMs);
  /// Takes over from the entry whether the present incarnation drains. The entry of the next incarnation may
  /// arrive before its first list.
  void updateDraining();
  /// Returns how far every run allows to extend the lease; nothing if it must not be extended.
  std::optional<duration> allowedLease();
  /// Longest lease that an order may give without prolonging a run beyond its limit.
  duration leaseLimit();
  /// Extends the lease of all runs as far as every coordinator allows, and returns its end on the server's
  /// clock.
  std::optional<std::int64_t> extendLease();

  runtime::executor &Executor;
  ledger_ports &Ports;
  server_entry Entry;
  ledger_options Options;
  lease_clock Clock;
  run_limits Limits;
  ownership Ownership = ownership::None;
  /// Token of the latest claim of this VM.
  std::uint64_t Token = 0;
  run_table Runs;
  std::int64_t IncarnationStartMs = 0;
  std::uint64_t LastHold = 0;
  run_list_refresh ListRefresh;
  bool Responsive = true;
  /// Whether a connection was refused since the latest reply to a hold.
  bool RefusesConnections = false;
  bool Delisted = false;
  /// Whether the present incarnation drains, so that it leaves as planned.
  bool Draining = Entry.Draining;
  bool Evacuated = false;
  bool StartsSuspended = false;
  /// Drops callbacks of calls that were made before the server was released.
  runtime::lifetime OwnershipLifetime;
};

class run_ends;
class run_lists;
class run_orders;
class server_claims;
class server_watch;

/// The parts of a ledger, which call each other.
struct ledger_parts {
  server_claims &Claims;
  run_orders &Orders;
  run_lists &Lists;
  run_ends &Ends;
  server_watch &Watch;
};

} // namespace yuccaplank::dispatch
