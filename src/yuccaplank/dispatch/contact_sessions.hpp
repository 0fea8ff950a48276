// Applies the beginnings and ends of contact with other VMs to the roles. Each contact is a session, which
// begins with the jobs and runs that either side expects at the other.
#pragma once

#include "configuration_exchange.hpp"
#include "vm_components.hpp"
#include "vm_roles.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

class contact_sessions {
public:
  contact_sessions(vm_components &Vm, vm_roles &Roles, configuration_exchange &Configurations)
      : Vm(Vm), Roles(Roles), Configurations(Configurations) {}

  void applyChanges(const std::vector<view_change> &Changes);
  void endExpiredContacts() { applyChanges(Vm.View->tick()); }
  /// Ends contact with all VMs.
  void endAllContacts();
  /// Ends the session with a VM whose process is another one than before.
  void setIncarnation(const std::string &Other, const std::string &Incarnation);
  void onClosed(const std::string &Other);
  void onConnectFailed(const std::string &Address);
  void onResume(const std::string &From, const schema::resume_session &Session);

  /// Number of the current session with the VM; 0 if there was none.
  [[nodiscard]] std::uint32_t session(const std::string &Other) const;
  /// Whether this VM has just lost contact with the last of the others.
  [[nodiscard]] bool recentlyLostAll() const;

private:
  void onContactBegan(const std::string &Other);
  void onVmLost(const std::string &Other);
  void dropSession(const std::string &Other);
  void sendResume(const std::string &Other, bool Answer);
  void sendLosses(const std::string &Other) const;

  vm_components &Vm;
  vm_roles &Roles;
  configuration_exchange &Configurations;
  std::map<std::string, std::string> Incarnations;
  std::map<std::string, std::uint32_t> Sessions;
  // When this VM lost contact with the last of the others.
  std::optional<runtime::time_point> LostAllAt;
};

} // namespace yuccaplank::dispatch
