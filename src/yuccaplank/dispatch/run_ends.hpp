// Ends of runs on one server, as its owner reports them.
#pragma once

#include "ledger_state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::dispatch {

/// Removes the runs of a server that have certainly ended, and reports this to their coordinators.
class run_ends {
public:
  run_ends(ledger_state &Ledger, ledger_parts &Parts) : Ledger(Ledger), Parts(Parts) {}
  /// Sends the event to the coordinator, if there is one.
  void report(const std::string &Coordinator, schema::dispatch_message Event);
  /// Removes a run that has certainly ended or never started. Loss tells what the run was lost with.
  void endRun(const run_key &Run, schema::run_event Event, std::string_view Reason,
              schema::server_loss Loss = schema::LOSS_NONE);
  /// Tells all coordinators before the runs are reported as gone, so that none places their tasks again
  /// first. LOSS_NONE is not told.
  void announceLoss(schema::server_loss Loss, const std::vector<run_key> &LostRuns);
  /// What runs were lost with when another incarnation or another server replies: a crash, unless the server
  /// has left as planned.
  [[nodiscard]] schema::server_loss lossWithRestart() const;
  /// Ends the runs that the list of this hold shows to have ended.
  void endMissingRuns(std::uint64_t Hold, const std::vector<run_key> &Running);
  /// Ends the runs whose lease has expired.
  void endExpiredRuns(time_point Now);
  /// Tells all coordinators that the runs may be lost, if the server does not reply while another VM takes
  /// it.
  void onReleased();
  /// See server_ledger.
  void delist();
  /// Another server has the address, so this one has ended.
  void onServerReplaced();

private:
  void countLoss(schema::server_loss Loss);
  // A server that drains ends all runs when it leaves as planned.
  [[nodiscard]] schema::server_loss lossWithoutReply() const;

  ledger_state &Ledger;
  ledger_parts &Parts;
};

} // namespace yuccaplank::dispatch
