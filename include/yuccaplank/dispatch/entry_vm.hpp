// All dispatching roles of one entry VM, and its talk with the other VMs.
#pragma once

#include "yuccaplank/dispatch/configuration.hpp"
#include "yuccaplank/dispatch/contact_plan.hpp"
#include "yuccaplank/dispatch/fleet_view.hpp"
#include "yuccaplank/dispatch/job_coordinator.hpp"
#include "yuccaplank/dispatch/placement_queue.hpp"
#include "yuccaplank/dispatch/relay_options.hpp"
#include "yuccaplank/dispatch/server_owner.hpp"

#include "report.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

struct entry_vm_options {
  std::string Vm;
  /// Where other VMs reach this one, "ip:port".
  std::string Address;
  std::string Domain;
  /// Thousandths of a core.
  std::uint32_t Strength = 1000;
  runtime::duration HeartbeatInterval = std::chrono::milliseconds(150);
  /// Interval at which VMs that are out of contact are tried.
  runtime::duration RetryInterval = std::chrono::milliseconds(1000);
  /// A VM that has lost all others at once is more likely cut off or slow than the last one, and takes over
  /// servers of other failure domains only after this time.
  runtime::duration AloneTime = std::chrono::milliseconds(2000);
  /// How long a cancel waits for the other VMs.
  runtime::duration CancelTimeout = std::chrono::milliseconds(400);
  fleet_view_options View;
  dispatching_options Dispatching;
  placement_options Placement;
  coordinator_options Coordinator;
  relay_options Relay;
  ledger_options Ledger;
};

/// Network and surroundings. Messages are delivered in order while a connection lasts.
class entry_vm_ports {
public:
  virtual ~entry_vm_ports() = default;
  /// An empty Vm addresses whichever VM is at the address.
  virtual void send(const std::string &Vm, const std::string &Address, schema::dispatch_message Message) = 0;
  virtual void disconnect(const std::string &Vm) = 0;
  virtual server_orders &orders() = 0;
  virtual void answer(std::uint64_t Job, const job_answer &Answer) = 0;
  /// The term of this VM's fencing tokens has risen; it should outlast the process.
  virtual void onTermRaised(std::uint32_t Term) = 0;
  /// Whether this VM needs to know the backend servers; it does not while it relays.
  virtual void onServersNeeded(bool Needed) = 0;
  /// A VM that dispatches by its entry in the store has been out of contact for long.
  virtual void onStaleRegistration(const std::string &Vm) = 0;
  /// Another VM has a newer configuration; decoding it is up to the receiver.
  virtual void onConfigurationOffered(const schema::configuration_copy &Copy) = 0;
};

/// Numbers for metrics.
struct entry_vm_state {
  coordinator_counters Coordinator;
  ledger_counters Ledger;
  placement_counters Placement;
  owner_counts Servers;
  /// Jobs that this VM coordinates, and those of its callers that others coordinate.
  std::size_t Jobs = 0;
  std::size_t RelayedJobs = 0;
  std::size_t VmsInContact = 0;
  /// Age of the oldest heartbeat of this VM whose answer is the latest of some VM in contact.
  runtime::duration OldestAnswer{};
  /// Echoes that belong to no recent heartbeat of this VM.
  std::uint64_t IgnoredEchoes = 0;
  /// Jobs that arrived from VMs out of contact and were not taken.
  std::uint64_t DeclinedJobs = 0;
  bool Dispatching = false;
  bool Placing = false;
};

class entry_vm {
public:
  virtual ~entry_vm() = default;

  /// Version of this VM's registration in the store; without one it does not dispatch. Returning: the VM was
  /// registered before, so that the others' entries are those of a whole fleet.
  virtual void setRegistration(std::uint64_t Version, bool Returning) = 0;
  /// A term that was used before, by this VM or another.
  virtual void observeTerm(std::uint32_t Term) = 0;
  /// Older versions than the one in force are ignored; tells whether it is in force now.
  virtual bool setConfiguration(configuration Configuration, std::string Document) = 0;
  virtual void setServers(const std::vector<server_entry> &Servers) = 0;
  /// The other VMs that are registered in the store.
  virtual void setRegisteredVms(const registered_vms &Vms) = 0;
  /// Addresses at which VMs may be.
  virtual void addSeeds(const std::vector<std::string> &Addresses) = 0;

  virtual void onMessage(const std::string &Vm, const std::string &Incarnation,
                         const schema::dispatch_message &Message) = 0;
  virtual void onClosed(const std::string &Vm) = 0;
  virtual void onConnectFailed(const std::string &Address) = 0;

  [[nodiscard]] virtual const configuration *current() const = 0;
  /// Whether jobs can be served: there is a configuration and a VM that dispatches, and this VM is not
  /// draining.
  [[nodiscard]] virtual bool ready() const = 0;
  /// Jobs of this VM's callers.
  virtual job_service &jobs() = 0;
  /// Cancels a job wherever it is; OnDone tells whether it was found.
  virtual void cancel(std::uint64_t Job, std::function<void(bool Found)> OnDone) = 0;
  /// Jobs of a queue that wait on any VM in contact.
  [[nodiscard]] virtual std::uint32_t waiting(const std::string &Queue) const = 0;
  /// The process did not run for so long that others may have taken over its roles.
  virtual void onPause() = 0;
  /// Others take over this VM's roles; jobs in hand go on.
  virtual void drain() = 0;
  [[nodiscard]] virtual entry_vm_state state() const = 0;
  /// For operators.
  [[nodiscard]] virtual schema::fleet_report report() const = 0;
};

std::unique_ptr<entry_vm> makeEntryVm(runtime::executor &Executor, entry_vm_ports &Ports,
                                      entry_vm_options Options);

} // namespace yuccaplank::dispatch
