#include "vm_roles.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace yuccaplank::dispatch {
namespace {

using runtime::log;
using runtime::log_level;
using runtime::time_point;

// A VM that has been out of contact for this time is treated as permanently removed.
constexpr auto StaleRegistrationTimeout = std::chrono::seconds(15);
// Entries of VMs that did not answer a roll call are removed at this rate, so that the store is not
// overloaded.
constexpr std::size_t MaxRemovalsPerInterval = 10;

schema::dispatch_message makeSubscription(bool End) {
  schema::dispatch_message Message;
  Message.mutable_subscribe()->set_end(End);
  return Message;
}

} // namespace

vm_roles::vm_roles(vm_components &Vm) : Vm(Vm), Decision(Vm.Options.Dispatching), Roll(Vm.Options.Vm, {}) {}

void vm_roles::setRegistration(std::uint64_t Version, bool Returning) {
  Vm.Self.set_registration(Version);
  Decision.onRegistered(now(), Returning);
  updateDispatchers();
  onOwnStatusChanged();
}

void vm_roles::setRegisteredVms(const registered_vms &Vms) {
  Registered = Vms;
  updateDispatchers();
  Vm.Contacts.contactOthers();
}

void vm_roles::setRollCall(std::uint64_t Version) { Roll.setVersion(Version, now()); }

void vm_roles::onOwnStatusChanged() {
  Vm.View->setSelf(Vm.Self);
  Vm.Contacts.sendHeartbeats();
  updatePlacerAndOwnership();
}

void vm_roles::updatePlacerAndOwnership() {
  AppliedViewVersion = Vm.View->version();
  Vm.Relay->onDispatcherFound();
  std::string NewPlacer = Vm.View->discoveryComplete() ? Vm.View->placer() : std::string();
  if (NewPlacer != Placer) {
    log(log_level::Info, "placer_changed", {{"placer", NewPlacer}, {"former", Placer}});
    Placer = NewPlacer;
    Vm.Backlogs.clear();
    setPlacing(Placer == Vm.Options.Vm);
    Vm.Jobs->onPlacerChanged();
  }
  Vm.Owner->claimAssignedServers();
}

void vm_roles::setPlacing(bool IsPlacing) {
  if (std::exchange(Placing, IsPlacing) == IsPlacing)
    return;
  PlacingSince = now();
  if (IsPlacing)
    Vm.Queue->restartObservation();
  Vm.broadcast(makeSubscription(!IsPlacing));
}

void vm_roles::resyncPlacement(const std::string &Other) {
  if (Placing && Vm.Contacts.coordinates(Other))
    Vm.Send(Other, makeSubscription(false));
  if (Other == Placer)
    Vm.Jobs->onPlacerChanged();
}

void vm_roles::reportStaleVms() {
  time_point Before = now() - StaleRegistrationTimeout;
  if (!Placing || PlacingSince >= Before)
    return;
  for (const std::string &Other : Vm.Contacts.dispatchersOutOfContactSince(Before))
    Vm.Ports.onStaleRegistration(Other);
  std::vector<std::string> Missing = Roll.missingSince(Registered, Before);
  Missing.resize(std::min(Missing.size(), MaxRemovalsPerInterval));
  for (const std::string &Other : Missing)
    Vm.Ports.onStaleRegistration(Other);
}

void vm_roles::tick() {
  callRollIfNeeded();
  endRollCall();
  updateRole();
  updatePlacerAndOwnership();
}

// A dispatching VM that does not know the placer yet relays its jobs if it can.
bool vm_roles::relaysNewJobs() const {
  if (Vm.Self.role() != schema::VM_DISPATCHES)
    return true;
  return Placer.empty() && !Vm.View->dispatcherFor({}, Vm.Options.Domain).empty();
}

void vm_roles::updateDispatchers() {
  Vm.Contacts.setRegistered(Roll.present(Registered, now()));
  Vm.Contacts.chooseDispatchers();
  updateRole();
}

void vm_roles::updateRole() {
  bool Dispatches = Decision.update(now(), Vm.Contacts.isChosen());
  schema::vm_role Role = Vm.Self.role();
  if (Dispatches)
    Role = schema::VM_DISPATCHES;
  else if (Role == schema::VM_DISPATCHES)
    Role = schema::VM_RETIRES;
  else if (Role == schema::VM_RETIRES && Vm.Jobs->size() == 0 && Vm.Owner->counts().Owned == 0)
    Role = schema::VM_RELAYS;
  if (Role != Vm.Self.role())
    changeRole(Role);
}

void vm_roles::changeRole(schema::vm_role Role) {
  log(log_level::Info, "role_changed",
      {{"role", schema::vm_role_Name(Role)},
       {"former", schema::vm_role_Name(Vm.Self.role())},
       {"dispatchers", static_cast<std::int64_t>(Vm.Contacts.dispatcherCount())}});
  bool WasRelay = Vm.Contacts.isRelay();
  Vm.Self.set_role(Role);
  Vm.View->setSelf(Vm.Self);
  if (WasRelay)
    Vm.View->restartDiscovery();
  if (WasRelay != Vm.Contacts.isRelay())
    Vm.Ports.onServersNeeded(!Vm.Contacts.isRelay());
  Vm.Contacts.contactOthers();
  onOwnStatusChanged();
}

// Without a VM that dispatches, nobody removes the entries of lost VMs, which keep the places of others.
void vm_roles::callRollIfNeeded() {
  bool WithoutDispatcher = Vm.Self.registration() > 0 && !Vm.Contacts.knowsDispatcher();
  if (!Roll.isDue(WithoutDispatcher, now()))
    return;
  log(log_level::Warning, "roll_call_needed",
      {{"registered", static_cast<std::int64_t>(Registered.size())},
       {"dispatchers", static_cast<std::int64_t>(Vm.Contacts.dispatcherCount())},
       {"contacts", static_cast<std::int64_t>(Vm.Contacts.countInContact())}});
  Vm.Ports.onRollCallNeeded();
}

void vm_roles::endRollCall() {
  if (!Roll.hasEnded(now()))
    return;
  updateDispatchers();
  log(log_level::Info, "roll_call_ended",
      {{"registered", static_cast<std::int64_t>(Registered.size())},
       {"answered", static_cast<std::int64_t>(Roll.present(Registered, now()).size())},
       {"chosen", Vm.Contacts.isChosen()}});
  Decision.decideAnew();
}

} // namespace yuccaplank::dispatch
