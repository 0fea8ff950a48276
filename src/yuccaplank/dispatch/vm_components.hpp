// The roles of one entry VM, and what they share: this VM's status and its view of the other VMs.
#pragma once

#include "admission/known_backlogs.hpp"
#include "cancel_exchanges.hpp"
#include "fleet_contacts.hpp"
#include "job_relay.hpp"
#include "job_waiters.hpp"
#include "loss_history.hpp"
#include "yuccaplank/dispatch/entry_vm.hpp"

#include <functional>
#include <memory>

namespace yuccaplank::dispatch {

/// The services that the roles use.
struct role_ports {
  coordinator_ports &Coordinator;
  owner_ports &Owner;
  contact_ports &Contact;
  relay_ports &Relay;
  /// Sends to this VM or to one in contact.
  send_function Send;
  /// Answers a job of this VM's callers.
  std::function<void(job_id Job, const job_answer &Answer)> AnswerCaller;
};

struct vm_components {
  vm_components(runtime::executor &Executor, entry_vm_ports &Ports, entry_vm_options OptionsIn,
                const role_ports &Roles)
      : Executor(Executor), Ports(Ports), Options(std::move(OptionsIn)), Send(Roles.Send),
        View(makeFleetView(Executor.clock(), Options.View)),
        Contacts(*View, Roles.Contact, Self, Options.Dispatching),
        Queue(makePlacementQueue(Executor.clock(), Send, Options.Placement)),
        Jobs(makeJobCoordinator(Executor, Roles.Coordinator, Options.Coordinator)),
        Owner(makeServerOwner(Executor, Roles.Owner, Options.Ledger)),
        Relay(makeJobRelay(Executor, Roles.Relay, Options.Relay)),
        Waiters(*Jobs, Send, Roles.AnswerCaller, Options.Relay.MaxRelayedBytes), Cancels(Executor, Send),
        Losses(Executor.clock()) {
    Self.set_role(schema::VM_RELAYS);
    Self.set_protocol_version(static_cast<std::uint32_t>(CurrentProtocolVersion));
    Self.set_vm(Options.Vm);
    Self.set_address(Options.Address);
    Self.set_domain(Options.Domain);
    Self.set_strength(Options.Strength);
    View->setSelf(Self);
  }
  vm_components(const vm_components &) = delete;
  vm_components &operator=(const vm_components &) = delete;
  ~vm_components() = default;

  /// Sends to this VM and to all VMs that may coordinate jobs.
  void broadcast(const schema::dispatch_message &Message) const {
    Send(Options.Vm, Message);
    for (const std::string &Vm : Contacts.coordinatingVms())
      Send(Vm, Message);
  }

  runtime::executor &Executor;
  entry_vm_ports &Ports;
  entry_vm_options Options;
  send_function Send;
  /// This VM's status as sent to other VMs.
  schema::vm_status Self;
  std::unique_ptr<fleet_view> View;
  fleet_contacts Contacts;
  std::unique_ptr<placement_queue> Queue;
  std::unique_ptr<job_coordinator> Jobs;
  std::unique_ptr<server_owner> Owner;
  std::unique_ptr<job_relay> Relay;
  job_waiters Waiters;
  cancel_exchanges Cancels;
  loss_history Losses;
  admission::known_backlogs Backlogs;
};

} // namespace yuccaplank::dispatch
