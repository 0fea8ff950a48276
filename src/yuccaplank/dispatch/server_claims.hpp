// Claims of one server: its fence, and the adoption of the runs found there.
#pragma once

#include "ledger_state.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace yuccaplank::dispatch {

/// Takes over a server by raising its fence, has its runs adopted, and gives it up to other owners.
class server_claims {
public:
  server_claims(ledger_state &Ledger, ledger_parts &Parts) : Ledger(Ledger), Parts(Parts) {}
  /// See server_ledger.
  void claim();
  /// See server_ledger.
  void onClaimedElsewhere(std::uint64_t OtherToken);
  /// See server_ledger.
  void release();
  /// Gives up the server because it has rejected an order under this VM's token.
  void loseOwnership();
  /// See server_ledger.
  void adopt(const std::string &Coordinator, const schema::adopt_reply &Reply);
  /// See server_ledger.
  bool resendAdoption(const std::string &Coordinator);
  /// Highest known fencing token of any VM's claim.
  [[nodiscard]] std::uint64_t highestToken() const { return std::max(Ledger.Token, HighestKnownToken); }

private:
  void sendClaim();
  void onClaimReply(const hold_reply &Reply);
  void beginAdoption(const hold_reply &Reply);
  void endAdoption();
  void sendYields();

  ledger_state &Ledger;
  ledger_parts &Parts;
  unsigned FencedClaims = 0;
  // New claims use a higher token than this one. Claims of other VMs and rejected claims of this VM raise it.
  std::uint64_t HighestKnownToken = 0;
  // Asks coordinators to claim the runs that the latest claim found.
  schema::dispatch_message AdoptRequest;
  // Earliest time at which this VM may claim the server again.
  time_point ReclaimAfter{};
};

} // namespace yuccaplank::dispatch
