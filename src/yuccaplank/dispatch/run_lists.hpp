// Holds and lists of runs of one server.
#pragma once

#include "ledger_state.hpp"

#include <cstdint>
#include <vector>

namespace yuccaplank::dispatch {

/// Sends the holds that renew the lease of a server's runs, request its list of runs and acknowledge their
/// ends, and applies the lists.
class run_lists {
public:
  run_lists(ledger_state &Ledger, ledger_parts &Parts) : Ledger(Ledger), Parts(Parts) {}
  /// See server_ledger.
  void requestRunList();
  /// Sends a hold if the server has runs or a list is needed, and none is awaited.
  void sendHoldIfNeeded();
  /// Requests a list that is not delayed until a run ends, and repeats this while runs wait for one.
  void requestListNow();
  /// Servers with runs are asked for their lists all the time. While another owner is out of contact, the
  /// list is requested before each start instead: a hold that shows a claim of that owner would lead to a
  /// counterclaim, and the two would keep taking the server from each other.
  void refreshIdleList(time_point Now);
  /// Takes over the list that the server sent in reply to a claim.
  void onClaimed(const hold_reply &Reply);
  /// Called when this VM gives up the server.
  void reset();

private:
  // Only one hold is awaited at a time. When its reply is overdue, the next one is sent beside it, so that a
  // lost reply does not delay the reports of all ends.
  void awaitHold(const hold_order &Order);
  // Returns the number of the hold.
  std::uint64_t sendHold(const hold_order &Order);
  void onHoldReply(std::uint64_t Hold, time_point Sent, const hold_order &Order, const hold_reply &Reply);
  // Replies on different connections may overtake each other. A run that has ended since must not be taken
  // for an unknown one, nor the former incarnation for a new one.
  [[nodiscard]] bool isOutdated(std::uint64_t Hold, const hold_reply &Reply) const;
  void onHoldFailed(order_outcome Outcome);
  // An unresponsive server is probed even when it has no runs, because only a reply makes it usable again.
  void probeUnresponsiveServer();
  void onListedEnd(const listed_end &End);
  // The runs of the former incarnation ended with it. The new incarnation knows neither its fence nor its
  // stops, and so may have carried out orders that were in flight.
  void onNewIncarnation(const hold_reply &Reply);

  ledger_state &Ledger;
  ledger_parts &Parts;
  // Clock of the server in its newest list.
  std::int64_t LatestListMs = 0;
  std::uint64_t LastObservedEnd = 0;
  // Number of the latest end whose acknowledgement the server has certainly received.
  std::uint64_t LastAcknowledgedEnd = 0;
  // Number of the hold whose reply is awaited; 0 if there is none.
  std::uint64_t AwaitedHold = 0;
  std::uint64_t LatestAnsweredHold = 0;
  // Whether a hold to an unresponsive server is scheduled.
  bool ProbeScheduled = false;
  // Whether a list was requested within the last reply timeout that was not to wait for an end.
  bool ListRequested = false;
  std::uint32_t UnansweredHolds = 0;
};

} // namespace yuccaplank::dispatch
