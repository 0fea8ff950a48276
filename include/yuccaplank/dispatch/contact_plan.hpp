// Which VMs dispatch, and which VMs a VM keeps in contact with. A bounded number of each failure domain
// dispatches, so that what a VM does stays the same when the fleet grows; the others pass their callers' jobs
// on.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace yuccaplank::dispatch {

/// A VM's entry in the store.
struct registered_vm {
  std::string Address;
  std::string Domain;
  /// Thousandths of a core.
  std::uint32_t Strength = 0;
};

using registered_vms = std::map<std::string, registered_vm>;

/// Names of the PerDomain strongest VMs of each failure domain.
std::set<std::string> chooseDispatchers(const registered_vms &Vms, std::size_t PerDomain);

/// VMs that a relaying VM of a domain keeps in contact with: the dispatchers of its domain, or all
/// dispatchers while none of these is in contact.
std::set<std::string> contactsOfRelay(const registered_vms &Vms, const std::set<std::string> &Dispatchers,
                                      const std::string &Domain,
                                      const std::function<bool(const std::string &Vm)> &InContact);

struct dispatching_options {
  /// Dispatching VMs of a failure domain, which share its servers; three bear the loss of one in a burst.
  std::size_t PerDomain = 3;
  /// After a VM's first registration the entries of others that start with it may be missing for this time.
  runtime::duration SettleDelay = std::chrono::milliseconds(700);
  /// Longer than the drain and the restart of a VM (a grace period of 6 s), which would otherwise move the
  /// role twice, and to weaker VMs.
  runtime::duration RoleChangeDelay = std::chrono::seconds(12);
};

/// Whether this VM dispatches, from whether it is chosen now.
class dispatching_decision {
public:
  explicit dispatching_decision(const dispatching_options &Options) : Options(Options) {}

  /// Returning: the VM had an entry before, so that the entries read with it are those of a whole fleet.
  void onRegistered(runtime::time_point Now, bool Returning);
  /// Whether the VM dispatches from now on.
  bool update(runtime::time_point Now, bool Chosen);

private:
  dispatching_options Options;
  std::optional<runtime::time_point> DecisionDueAt;
  std::optional<runtime::time_point> DiffersSince;
  bool Decided = false;
  bool Dispatches = false;
};

} // namespace yuccaplank::dispatch
