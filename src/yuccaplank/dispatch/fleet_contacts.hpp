// Decides which VMs this VM keeps in contact with, and sends them heartbeats.
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

/// Number of waiting jobs by queue.
using queue_lengths = std::map<std::string, std::uint32_t>;
void fillQueues(const queue_lengths &Lengths,
                google::protobuf::RepeatedPtrField<schema::queue_length> &Queues);

class contact_ports {
public:
  virtual ~contact_ports() = default;
  /// With an empty Vm, sends to whichever VM is at the address.
  virtual void sendTo(const std::string &Vm, const std::string &Address,
                      schema::dispatch_message Message) = 0;
  /// Queue lengths of the jobs that this VM coordinates.
  [[nodiscard]] virtual queue_lengths localQueueLengths() const = 0;
  /// VMs that coordinate jobs of this VM's callers.
  [[nodiscard]] virtual std::set<std::string> jobCoordinators() const = 0;
};

class fleet_contacts {
public:
  /// Self is this VM's status as sent to other VMs. Self, View and Ports must outlive this object.
  fleet_contacts(fleet_view &View, contact_ports &Ports, const schema::vm_status &Self,
                 const dispatching_options &Options)
      : View(View), Ports(Ports), Self(Self), Options(Options) {}

  /// Sets the other VMs that are registered in the store and may be alive.
  void setRegistered(registered_vms Vms) { Registered = std::move(Vms); }
  /// Sets addresses at which VMs may be found, for use while no VM is in contact.
  void setSeeds(std::vector<std::string> Addresses) { Seeds = std::move(Addresses); }
  /// Chooses the dispatching VMs from the registered VMs and this VM's status.
  void chooseDispatchers();
  /// Whether this VM should dispatch.
  [[nodiscard]] bool isChosen() const { return Dispatchers.contains(Self.vm()); }
  [[nodiscard]] std::size_t dispatcherCount() const { return Dispatchers.size(); }

  /// Whether this VM relays its callers' jobs and coordinates none.
  [[nodiscard]] bool isRelay() const { return Self.role() == schema::VM_RELAYS; }
  /// Whether the VM is in contact and may coordinate jobs, so that it has to know who owns which servers.
  [[nodiscard]] bool coordinates(const std::string &Vm) const;
  [[nodiscard]] std::vector<std::string> coordinatingVms() const;

  /// Whether this version is understood by every other VM that may coordinate jobs, place tasks or own
  /// servers: those that dispatch according to the store and those in contact.
  [[nodiscard]] bool isUnderstoodByAll(protocol_version Version) const;
  /// Coordinating VMs that understand this version.
  [[nodiscard]] std::vector<std::string> coordinatingVms(protocol_version Version) const;

  /// Coordinating VMs that read the entries of the servers from the store and answer requests for them.
  [[nodiscard]] std::vector<std::string> serverEntrySources() const;

  /// Whether this VM keeps contact with Vm. If not, Vm may still contact this VM.
  [[nodiscard]] bool needsContact(const std::string &Vm) const;
  /// If the store has no entries, adds the VMs that an answering VM lists.
  void addPeers(const schema::vm_status &Status);
  void sendHeartbeats();
  /// Sends a greeting to each VM that this VM needs contact with and lacks, and removes VMs without contact
  /// that it does not need.
  void contactOthers();
  void sendGreeting(const std::string &Vm, const std::string &Address);
  /// Answers a status immediately if contact has just begun or is missing on one side, so that it begins
  /// within one round trip.
  void answerGreeting(const schema::vm_status &Greeting, bool ContactBegins);

  /// Number of VMs in contact.
  [[nodiscard]] std::size_t countInContact() const;
  /// Whether this VM dispatches or a VM that does is in contact.
  [[nodiscard]] bool knowsDispatcher() const;
  /// Dispatching VMs, according to the store, that have been out of contact since Before.
  [[nodiscard]] std::vector<std::string> dispatchersOutOfContactSince(runtime::time_point Before) const;
  /// Whether any VM that may own servers is out of contact.
  [[nodiscard]] bool anyOwnerOutOfContact() const;
  /// Queue lengths of this VM and of all VMs in contact.
  [[nodiscard]] queue_lengths fleetQueueLengths() const;

private:
  [[nodiscard]] std::set<std::string> contacts() const;
  void forgetUnneededVms(const std::set<std::string> &Contacts);
  void sendStatus(const std::string &Vm, const std::string &Address, schema::dispatch_message Message);
  [[nodiscard]] schema::dispatch_message makeStatus(bool WithPeers, bool ForRelay) const;

  fleet_view &View;
  contact_ports &Ports;
  const schema::vm_status &Self;
  dispatching_options Options;
  registered_vms Registered;
  // Chosen dispatching VMs; may include this VM.
  std::set<std::string> Dispatchers;
  std::vector<std::string> Seeds;
  std::uint64_t Heartbeats = 0;
  // Attempts to contact others since this VM has had no other VM in contact.
  std::size_t RetriesWithoutContact = 0;
};

} // namespace yuccaplank::dispatch
