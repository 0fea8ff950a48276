// Chooses the VMs that dispatch and the VMs that a VM keeps in contact with. A bounded number of VMs per
// failure domain dispatches, so that the load of each VM does not grow with the fleet. The other VMs relay
// the jobs of their callers.
#pragma once

#include "yuccaplank/dispatch/protocol_version.hpp"
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
  /// Version of the entry. It rises when the VM registers again.
  std::uint64_t Version = 0;
  protocol_version Protocol = protocol_version::Initial;
};

using registered_vms = std::map<std::string, registered_vm>;

struct dispatching_options {
  /// Smallest number of dispatching VMs of a failure domain. They share its servers; with three, the domain
  /// can lose one during a burst of jobs.
  std::size_t PerDomain = 3;
  /// A domain with more VMs has one dispatching VM for this number, so that the servers and callers of each
  /// do not grow with the domain.
  std::size_t VmsPerDispatcher = 12;
  /// Delay after a VM's first registration, because entries of other VMs that start at the same time may be
  /// missing until then.
  runtime::duration SettleDelay = std::chrono::milliseconds(700);
  /// Delay before a changed choice takes effect. It is longer than the drain and restart of a VM (with a
  /// grace period of 6 s), which would otherwise move the role twice, and to weaker VMs.
  runtime::duration RoleChangeDelay = std::chrono::seconds(12);
};

/// Returns the names of the strongest VMs of each failure domain.
std::set<std::string> chooseDispatchers(const registered_vms &Vms, const dispatching_options &Options = {});

/// A relaying VM, and how many dispatchers it contacts.
struct relay_contact_plan {
  std::string Vm;
  std::string Domain;
  /// Dispatchers of its own domain.
  std::size_t Preferred = 3;
  /// Further dispatchers while none of these is in contact.
  std::size_t Fallback = 6;
};

/// Returns the VMs that a relaying VM keeps in contact with. They differ between relaying VMs, so that each
/// dispatcher has about equally many.
std::set<std::string> contactsOfRelay(const registered_vms &Vms, const std::set<std::string> &Dispatchers,
                                      const relay_contact_plan &Plan,
                                      const std::function<bool(const std::string &Vm)> &InContact);

/// Decides whether this VM dispatches. Changes of the choice take effect with a delay.
class dispatching_decision {
public:
  explicit dispatching_decision(const dispatching_options &Options) : Options(Options) {}

  /// With Returning, the VM had an entry before, so the entries that it has read are those of the whole
  /// fleet.
  void onRegistered(runtime::time_point Now, bool Returning);
  /// The next decision takes effect without delay. Called when the VMs that are alive have just been found
  /// out.
  void decideAnew() { Decided = false; }
  /// Takes whether the VM is chosen at Now, and returns whether it dispatches from now on.
  bool update(runtime::time_point Now, bool Chosen);

private:
  dispatching_options Options;
  std::optional<runtime::time_point> DecisionDueAt;
  std::optional<runtime::time_point> DiffersSince;
  bool Decided = false;
  bool Dispatches = false;
};

} // namespace yuccaplank::dispatch
