// Passes each message of another VM, or of this one, to the role that handles it.
#pragma once

#include "configuration_exchange.hpp"
#include "contact_sessions.hpp"
#include "server_entry_exchange.hpp"
#include "vm_components.hpp"
#include "vm_roles.hpp"
#include "yuccaplank/runtime/lifetime.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace yuccaplank::dispatch {

class message_router {
public:
  message_router(vm_components &Vm, vm_roles &Roles, contact_sessions &Sessions,
                 configuration_exchange &Configurations, server_entry_exchange &ServerEntries)
      : Vm(Vm), Roles(Roles), Sessions(Sessions), Configurations(Configurations),
        ServerEntries(ServerEntries) {}

  void handle(const std::string &From, const schema::dispatch_message &Message);
  /// See entry_vm.
  void cancel(job_id Job, std::function<void(bool Found)> OnDone);
  /// See entry_vm.
  [[nodiscard]] bool understoodByAll(job_id Job) const;
  /// Relayed jobs that this VM declined because the sender was out of contact.
  [[nodiscard]] std::uint64_t declinedJobs() const { return DeclinedJobs; }

private:
  void onStatus(const schema::vm_status &Status);
  void learnBacklogs(const schema::vm_status &Status);
  void refuseRelayed(const std::string &From, const schema::relay_job &Job) const;
  void onRelay(const std::string &From, const schema::relay_job &Job);
  void onCancel(const std::string &From, const schema::cancel_submitted &Request);
  void scheduleSoon();

  vm_components &Vm;
  vm_roles &Roles;
  contact_sessions &Sessions;
  configuration_exchange &Configurations;
  server_entry_exchange &ServerEntries;
  bool SchedulePosted = false;
  std::uint64_t DeclinedJobs = 0;
  runtime::lifetime Lifetime;
};

} // namespace yuccaplank::dispatch
