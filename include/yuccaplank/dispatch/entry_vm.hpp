// All dispatching roles of one entry VM, and its communication with the other VMs.
#pragma once

#include "yuccaplank/dispatch/configuration.hpp"
#include "yuccaplank/dispatch/contact_plan.hpp"
#include "yuccaplank/dispatch/evacuations.hpp"
#include "yuccaplank/dispatch/fleet_view.hpp"
#include "yuccaplank/dispatch/job_coordinator.hpp"
#include "yuccaplank/dispatch/placement_queue.hpp"
#include "yuccaplank/dispatch/relay_options.hpp"
#include "yuccaplank/dispatch/server_entry_options.hpp"
#include "yuccaplank/dispatch/server_owner.hpp"

#include "report.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

struct entry_vm_options {
  std::string Vm;
  /// Address at which other VMs reach this one, "ip:port".
  std::string Address;
  std::string Domain;
  /// Thousandths of a core.
  std::uint32_t Strength = 1000;
  runtime::duration HeartbeatInterval = std::chrono::milliseconds(150);
  /// Interval between attempts to contact VMs that are out of contact.
  runtime::duration RetryInterval = std::chrono::milliseconds(1000);
  /// A VM that has lost contact with all others at once is more likely to be cut off or slow than to be the
  /// last one. It claims servers of other failure domains only after this delay.
  runtime::duration IsolatedClaimDelay = std::chrono::milliseconds(2000);
  /// How long a cancel request waits for replies of other VMs.
  runtime::duration CancelTimeout = std::chrono::milliseconds(400);
  fleet_view_options View;
  dispatching_options Dispatching;
  placement_options Placement;
  coordinator_options Coordinator;
  relay_options Relay;
  ledger_options Ledger;
  server_entry_options ServerEntries;
};

/// The services that an entry VM uses. Messages to a VM are delivered in order while a connection lasts.
class entry_vm_ports {
public:
  virtual ~entry_vm_ports() = default;
  /// With an empty Vm, sends to whichever VM is at the address.
  virtual void send(const std::string &Vm, const std::string &Address, schema::dispatch_message Message) = 0;
  virtual void disconnect(const std::string &Vm) = 0;
  virtual server_orders &orders() = 0;
  virtual void answer(job_id Job, const job_answer &Answer) = 0;
  /// Called when the term of this VM's fencing tokens has risen; the term should be stored beyond the end of
  /// the process.
  virtual void onTermRaised(std::uint32_t Term) = 0;
  /// Called when this VM starts or stops needing the list of backend servers. A VM that only relays does not
  /// need it.
  virtual void onServersNeeded(bool Needed) = 0;
  /// Called for a VM that dispatches according to its entry in the store but has been out of contact for
  /// long, or that has not answered a roll call.
  virtual void onStaleRegistration(const std::string &Vm) = 0;
  /// Called when the VMs that dispatch are lost: the roll has to be called in the store, so that every VM
  /// that is alive registers again.
  virtual void onRollCallNeeded() = 0;
  /// Called when another VM has a newer configuration. The receiver decodes it.
  virtual void onConfigurationOffered(const schema::configuration_copy &Copy) = 0;
};

/// Values for metrics.
struct entry_vm_state {
  coordinator_counters Coordinator;
  ledger_counters Ledger;
  placement_counters Placement;
  owner_counts Servers;
  /// Jobs that this VM coordinates, and jobs of its callers that other VMs coordinate.
  std::size_t Jobs = 0;
  std::size_t RelayedJobs = 0;
  std::size_t VmsInContact = 0;
  /// Largest age, over all VMs in contact, of the latest heartbeat that the VM has answered. The age counts
  /// from when this VM sent the heartbeat.
  runtime::duration OldestAnswer{};
  /// Received echoes that match no recent heartbeat of this VM.
  std::uint64_t IgnoredEchoes = 0;
  /// Relayed jobs that this VM declined because the sender was out of contact.
  std::uint64_t DeclinedJobs = 0;
  /// Relayed jobs that this VM refused because their memory would have exceeded the limit.
  std::uint64_t RelayedJobsRefused = 0;
  /// Jobs of this VM's callers that it refused because of the placer's backlog.
  std::uint64_t ShedJobs = 0;
  server_entry_counters ServerEntries = {};
  bool Dispatching = false;
  bool Placing = false;
  /// Evacuated failure domains, with the number of runs on their servers that this VM owns.
  std::map<std::string, std::uint32_t> RunsInEvacuatedDomains = {};
};

class entry_vm {
public:
  virtual ~entry_vm() = default;

  /// Sets the version of this VM's registration in the store; a VM without one does not dispatch. With
  /// Returning, the VM had an entry before, so the entries that it reads now are those of the whole fleet.
  virtual void setRegistration(std::uint64_t Version, bool Returning) = 0;
  /// Reports a term that this VM or another one has used before.
  virtual void observeTerm(std::uint32_t Term) = 0;
  /// Applies the configuration unless the current one is as new or newer. Returns whether it was applied.
  virtual bool setConfiguration(configuration Configuration, std::string Document) = 0;
  /// Applies the evacuations of one source unless a newer state of it is known. Those in the store are set
  /// before the first configuration, so that no task starts before they are known.
  virtual void setEvacuations(const schema::evacuation_state &State) = 0;
  /// Sets the servers that the platform lists as of a version of the store, unless another VM has told newer
  /// ones.
  virtual void setServers(const std::vector<server_entry> &Servers, std::uint64_t Version) = 0;
  /// Called after each attempt to read the servers' entries that was sent at SentAt, on the clock that counts
  /// suspension: with the version of the store that it has reached, or with nothing if it has failed.
  virtual void onServersRead(std::optional<std::uint64_t> Version, runtime::time_point SentAt) = 0;
  /// Forgets the servers, which this VM no longer needs.
  virtual void forgetServers() = 0;
  /// Sets the other VMs that are registered in the store.
  virtual void setRegisteredVms(const registered_vms &Vms) = 0;
  /// Sets the version of the latest roll call in the store; 0 if there is none.
  virtual void setRollCall(std::uint64_t Version) = 0;
  /// Sets addresses at which other VMs may be found.
  virtual void addSeeds(const std::vector<std::string> &Addresses) = 0;

  virtual void onMessage(const std::string &Vm, const std::string &Incarnation,
                         const schema::dispatch_message &Message) = 0;
  virtual void onClosed(const std::string &Vm) = 0;
  virtual void onConnectFailed(const std::string &Address) = 0;

  [[nodiscard]] virtual const configuration *currentConfiguration() const = 0;
  /// Returns whether this VM can serve jobs: it has a configuration, knows a VM that places tasks, and is not
  /// draining.
  [[nodiscard]] virtual bool ready() const = 0;
  /// Service for jobs of this VM's callers.
  virtual job_service &jobs() = 0;
  /// Whether every VM that may handle a job with this id understands the id. Builds before protocol_version
  /// CapitalIds take an id with capitals for another one.
  [[nodiscard]] virtual bool understoodByAll(job_id Job) const = 0;
  /// Cancels a job on whichever VM coordinates it. OnDone receives whether the job was found.
  virtual void cancel(job_id Job, std::function<void(bool Found)> OnDone) = 0;
  /// Number of waiting jobs of a queue on all VMs in contact.
  [[nodiscard]] virtual std::uint32_t waitingJobs(const std::string &Queue) const = 0;
  /// Called when the process was suspended for so long that other VMs may have taken over its roles.
  virtual void onPause() = 0;
  /// Lets other VMs take over this VM's roles; its current jobs continue.
  virtual void drain() = 0;
  [[nodiscard]] virtual entry_vm_state state() const = 0;
  /// Report for operators.
  [[nodiscard]] virtual schema::fleet_report report() const = 0;
};

std::unique_ptr<entry_vm> makeEntryVm(runtime::executor &Executor, entry_vm_ports &Ports,
                                      entry_vm_options Options);

} // namespace yuccaplank::dispatch
