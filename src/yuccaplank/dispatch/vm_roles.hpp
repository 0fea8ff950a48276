// Decides which roles this VM has: whether it dispatches or relays, and whether it places tasks. Finds the
// registrations of lost VMs, which would keep other VMs from the dispatcher role.
#pragma once

#include "roll_call.hpp"
#include "vm_components.hpp"

#include <cstdint>
#include <string>

namespace yuccaplank::dispatch {

class vm_roles {
public:
  explicit vm_roles(vm_components &Vm);

  /// See entry_vm.
  void setRegistration(std::uint64_t Version, bool Returning);
  /// See entry_vm.
  void setRegisteredVms(const registered_vms &Vms);
  /// See entry_vm.
  void setRollCall(std::uint64_t Version);

  /// Tells the other VMs that this VM's status has changed, and applies the change to its own roles.
  void onOwnStatusChanged();
  /// Called when the view of the other VMs may have changed.
  void updatePlacerAndOwnership();
  /// Whether the view has changed since the last update.
  [[nodiscard]] bool isOutOfDate() const { return Vm.View->version() != AppliedViewVersion; }
  void setPlacing(bool IsPlacing);
  /// Sends the VM the messages that the placer and coordinators sent to each other before, which may be lost.
  void resyncPlacement(const std::string &Other);
  /// Reports registrations of VMs that are permanently removed. VMs that were removed without a signal keep
  /// their entries in the store and take the place of other VMs in the choice of dispatchers.
  void reportStaleVms();
  void tick();

  /// The VM that places tasks; empty if none is known.
  [[nodiscard]] const std::string &placer() const { return Placer; }
  /// Whether this VM places tasks.
  [[nodiscard]] bool placing() const { return Placing; }
  /// Whether new jobs are to be relayed to another VM.
  [[nodiscard]] bool relaysNewJobs() const;

private:
  void updateDispatchers();
  void updateRole();
  void changeRole(schema::vm_role Role);
  void callRollIfNeeded();
  void endRollCall();
  [[nodiscard]] runtime::time_point now() const { return Vm.Executor.clock().now(); }

  vm_components &Vm;
  dispatching_decision Decision;
  // The other VMs with an entry in the store.
  registered_vms Registered;
  roll_call Roll;
  // Version of the view that the placer and the ownership of servers were last updated for.
  std::uint64_t AppliedViewVersion = 0;
  std::string Placer;
  bool Placing = false;
  runtime::time_point PlacingSince{};
};

} // namespace yuccaplank::dispatch
