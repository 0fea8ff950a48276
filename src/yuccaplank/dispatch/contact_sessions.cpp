#include "contact_sessions.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

void contact_sessions::applyChanges(const std::vector<view_change> &Changes) {
  for (const view_change &Change : Changes) {
    switch (Change.Kind) {
    case view_change::kind::Found:
      log(log_level::Info, "vm_found", {{"vm", Change.Vm}});
      if (Vm.Contacts.coordinates(Change.Vm))
        Vm.Owner->onOwnerFound();
      onContactBegan(Change.Vm);
      break;
    case view_change::kind::Resumed:
      log(log_level::Info, "vm_resumed", {{"vm", Change.Vm}});
      onContactBegan(Change.Vm);
      break;
    case view_change::kind::Lost:
      onVmLost(Change.Vm);
      break;
    }
  }
  if (!Changes.empty())
    Roles.updatePlacerAndOwnership();
}

void contact_sessions::endAllContacts() {
  std::vector<std::string> Names;
  for (const auto &[Other, OtherVm] : Vm.View->others())
    Names.push_back(Other);
  for (const std::string &Other : Names)
    applyChanges(Vm.View->endContact(Other));
}

void contact_sessions::setIncarnation(const std::string &Other, const std::string &Incarnation) {
  std::string &LastIncarnation = Incarnations[Other];
  if (!LastIncarnation.empty() && LastIncarnation != Incarnation) {
    log(log_level::Warning, "vm_restarted", {{"vm", Other}});
    if (!Vm.View->endContact(Other).empty())
      dropSession(Other);
  }
  LastIncarnation = Incarnation;
}

void contact_sessions::onClosed(const std::string &Other) {
  Vm.View->onConnectionBroken(Other);
  auto Found = Vm.View->others().find(Other);
  // A VM that this one needs no contact with is not reconnected, since that would repeat without end.
  if (Found != Vm.View->others().end() && Found->second.InContact && Vm.Contacts.needsContact(Other))
    Vm.Contacts.sendGreeting(Other, Found->second.Address);
}

void contact_sessions::onConnectFailed(const std::string &Address) {
  Vm.View->onAddressUnreachable(Address);
  std::vector<std::string> Unreachable;
  for (const auto &[Other, OtherVm] : Vm.View->others())
    if (OtherVm.Address == Address && OtherVm.InContact && OtherVm.ConnectionBroken)
      Unreachable.push_back(Other);
  for (const std::string &Other : Unreachable)
    applyChanges(Vm.View->endContact(Other));
}

void contact_sessions::onResume(const std::string &From, const schema::resume_session &Session) {
  Vm.Owner->onResume(From, Session);
  Vm.Waiters.onResume(From, Session);
  // The other VM has noticed a broken connection that this VM may have missed.
  if (Session.answer() || From == Vm.Options.Vm)
    return;
  sendResume(From, true);
  Roles.resyncPlacement(From);
}

std::uint32_t contact_sessions::session(const std::string &Other) const {
  auto Found = Sessions.find(Other);
  return Found == Sessions.end() ? 0 : Found->second;
}

bool contact_sessions::recentlyLostAll() const {
  return LostAllAt && Vm.Contacts.countInContact() == 0 &&
         Vm.Executor.clock().now() - *LostAllAt < Vm.Options.IsolatedClaimDelay;
}

void contact_sessions::onContactBegan(const std::string &Other) {
  sendResume(Other, false);
  Configurations.onContactBegan(Other);
  if (Vm.Contacts.coordinates(Other)) {
    Vm.Owner->announceOwnedServers(Other);
    sendLosses(Other);
  }
  Roles.resyncPlacement(Other);
}

void contact_sessions::onVmLost(const std::string &Other) {
  log(log_level::Warning, "vm_lost", {{"vm", Other}});
  if (Vm.Contacts.countInContact() == 0)
    LostAllAt = Vm.Executor.clock().now();
  Vm.Ports.disconnect(Other);
  dropSession(Other);
  if (!Vm.Contacts.needsContact(Other))
    Vm.View->removeVm(Other);
}

void contact_sessions::dropSession(const std::string &Other) {
  Vm.Queue->removeVm(Other);
  Vm.Owner->onVmLost(Other);
  Vm.Jobs->onVmLost(Other);
  Vm.Waiters.onVmLost(Other);
  Vm.Relay->onVmLost(Other);
}

void contact_sessions::sendResume(const std::string &Other, bool Answer) {
  schema::resume_session Session;
  Session.set_session(++Sessions[Other]);
  Session.set_answer(Answer);
  Vm.Relay->onVmResumed(Other, Session);
  Vm.Jobs->onVmResumed(Other, std::move(Session));
}

// The other VM may have started or been out of contact since.
void contact_sessions::sendLosses(const std::string &Other) const {
  schema::dispatch_message Message;
  *Message.mutable_lost_servers() = Vm.Losses.recent();
  if (Message.lost_servers().servers_size() > 0)
    Vm.Send(Other, std::move(Message));
}

} // namespace yuccaplank::dispatch
