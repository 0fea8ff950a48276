// Starts and stops of runs on one server.
#pragma once

#include "ledger_state.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::dispatch {

/// Sends the orders that start and stop runs on a server, until the server has answered them or its lists
/// tell what became of them.
class run_orders {
public:
  run_orders(ledger_state &Ledger, ledger_parts &Parts) : Ledger(Ledger), Parts(Parts) {}
  /// Whether runs may start on the server.
  [[nodiscard]] bool usable() const;
  /// See server_ledger.
  void start(const std::string &Coordinator, const schema::start_task &Request);
  /// A start that is not in a later list may still be carried out, unless a stop voids it.
  void resolveSuspectedStarts(std::uint64_t Hold, const std::vector<run_key> &Running);
  /// Sends stop orders for the run until the server has answered one.
  void stopRun(const run_key &Run, server_run &State, const char *Reason);
  /// Stops a run that was not ordered here under the current token, such as one that a new incarnation
  /// started by a late order of a former owner.
  void stopUnknownRun(const run_key &Run);
  /// Stops the listed runs that were not ordered here.
  void stopUnknownRuns(const std::vector<run_key> &Running);
  /// Checks whether the server takes too long to confirm stops.
  void updateStopsOverdue(time_point Now);
  /// Stops the starts that were found unanswered lately, which a new incarnation may still carry out.
  void stopUnansweredStarts();
  /// Forgets unanswered starts that can no longer be carried out.
  void forgetOldStarts(time_point Now);
  /// Called when this VM gives up the server.
  void reset() { StopsOverdue = false; }

private:
  const char *startRefusalReason(const schema::start_task &Request) const;
  void refuse(const std::string &Coordinator, const run_key &Run, std::string_view Reason);
  // Whether the server may have restarted, and so lost its fence, while a VM out of contact may have claimed
  // it.
  [[nodiscard]] bool fenceMayBeLost() const;
  // Processes what all replies to starts and stops have in common. Returns the run that the reply refers to,
  // or null if the run or this VM's ownership has ended.
  server_run *processOrderReply(const run_key &Run, time_point Sent, const order_reply &Reply);
  void onStartReply(const run_key &Run, time_point Sent, const order_reply &Reply);
  // Called when the server has certainly carried out the start order. A stop that is under way continues.
  void confirmStart(server_run &State) const;
  // Without a reply, the server's list tells whether the order was carried out. Stopping the run at once
  // would waste the work of those of which only the reply was lost or late.
  void onStartOverdue(const run_key &Run);
  void stopUnansweredStart(const run_key &Run, server_run &State);
  void onStartRefused(const run_key &Run, const server_run &State, order_outcome Outcome);
  void sendStop(const run_key &Run, server_run &State);
  // Only the latest stop of a run is repeated, so that repeats do not multiply.
  void repeatStop(const run_key &Run, std::uint32_t Number);
  void onStopReply(const run_key &Run, std::uint32_t Number, time_point Sent, const order_reply &Reply);

  ledger_state &Ledger;
  ledger_parts &Parts;
  // Recent unanswered starts that a new incarnation may still carry out, with the time when each was found
  // unanswered.
  std::map<run_key, time_point> UnansweredStarts;
  // Whether a stop has been unconfirmed for so long that the lease may end before it is.
  bool StopsOverdue = false;
};

} // namespace yuccaplank::dispatch
