// Contact with other VMs: whom this VM contacts, and the heartbeats that it sends them.
#pragma once

#include "yuccaplank/dispatch/contact_plan.hpp"
#include "yuccaplank/dispatch/fleet_view.hpp"
#include "yuccaplank/dispatch/messages.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

/// Jobs that wait, by queue.
using queue_lengths = std::map<std::string, std::uint32_t>;
void fillQueues(const queue_lengths &Lengths,
                google::protobuf::RepeatedPtrField<schema::queue_length> &Queues);

class contact_ports {
public:
  virtual ~contact_ports() = default;
  /// An empty Vm addresses whichever VM is at the address.
  virtual void sendTo(const std::string &Vm, const std::string &Address,
                      schema::dispatch_message Message) = 0;
  /// Of the jobs that this VM coordinates.
  [[nodiscard]] virtual queue_lengths waitingHere() const = 0;
  /// VMs that coordinate jobs of this VM's callers.
  [[nodiscard]] virtual std::set<std::string> jobHolders() const = 0;
};

class fleet_contacts {
public:
  /// Self is the own status as it is told to others; it must outlive this object, as must View and Ports.
  fleet_contacts(fleet_view &View, contact_ports &Ports, const schema::vm_status &Self, std::size_t PerDomain)
      : View(View), Ports(Ports), Self(Self), PerDomain(PerDomain) {}

  /// The other VMs that are registered in the store.
  void setRegistered(registered_vms Vms) { Registered = std::move(Vms); }
  /// Addresses at which VMs may be, for a VM that is in contact with none.
  void setSeeds(std::vector<std::string> Addresses) { Seeds = std::move(Addresses); }
  /// Chooses who dispatches, from the registered VMs and the own status.
  void chooseDispatchers();
  /// Whether this VM should dispatch.
  [[nodiscard]] bool chosen() const { return Dispatchers.contains(Self.vm()); }
  [[nodiscard]] std::size_t dispatchers() const { return Dispatchers.size(); }

  /// Whether this VM relays its callers' jobs and coordinates none.
  [[nodiscard]] bool relays() const { return Self.role() == schema::VM_RELAYS; }
  /// Whether the VM is in contact and may coordinate jobs, so that it has to know who owns which servers.
  [[nodiscard]] bool coordinates(const std::string &Vm) const;
  [[nodiscard]] std::vector<std::string> coordinatingVms() const;

  /// Whether this VM keeps contact with the other one; that one may still contact this one.
  [[nodiscard]] bool needsContact(const std::string &Vm) const;
  /// Without entries from the store, contact spreads from the VMs that answer.
  void learnPeers(const schema::vm_status &Status);
  void sendHeartbeats();
  /// Tries the VMs that contact is wanted with and that are not in contact, and forgets the others.
  void tryOthers();
  void greet(const std::string &Vm, const std::string &Address);
  /// Answers a status at once where contact has just begun or one side lacks it, so that it begins within a
  /// round trip.
  void answerGreeting(const schema::vm_status &Greeting, bool ContactBegins);

  /// Dispatching VMs by the store that have been out of contact since Before.
  [[nodiscard]] std::vector<std::string> missingSince(runtime::time_point Before) const;
  /// Whether a VM that may own servers is out of contact.
  [[nodiscard]] bool ownerMissing() const;
  /// On any VM in contact.
  [[nodiscard]] queue_lengths waitingInFleet() const;

private:
  [[nodiscard]] std::set<std::string> contacts() const;
  void forgetUnneededVms(const std::set<std::string> &Contacts);
  void sendStatus(const std::string &Vm, const std::string &Address, schema::dispatch_message Message);
  [[nodiscard]] schema::dispatch_message makeStatus(bool WithPeers, bool ForRelay) const;

  fleet_view &View;
  contact_ports &Ports;
  const schema::vm_status &Self;
  std::size_t PerDomain;
  registered_vms Registered;
  // This VM included.
  std::set<std::string> Dispatchers;
  std::vector<std::string> Seeds;
  std::uint64_t Heartbeats = 0;
};

} // namespace yuccaplank::dispatch
