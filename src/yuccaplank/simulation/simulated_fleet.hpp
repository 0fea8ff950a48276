// Entry VMs of a simulation, the network between them, and their backend servers.
#pragma once

#include "network.hpp"
#include "simulated_servers.hpp"
#include "vm_executor.hpp"
#include "yuccaplank/dispatch/entry_vm.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::simulation {

inline constexpr const char *PoolName = "pool";
inline constexpr const char *QueueName = "queue";

/// Process of an entry VM. Each start of the VM creates a new one.
class simulated_vm final : public dispatch::entry_vm_ports {
public:
  using answer_function = std::function<void(dispatch::job_id Job, const dispatch::job_answer &Answer)>;

  simulated_vm(runtime::executor &Executor, network &Network, simulated_servers &Servers, std::string Name,
               answer_function OnAnswer);
  void start(dispatch::entry_vm_options Options);

  void send(const std::string &Vm, const std::string &Address, schema::dispatch_message Message) override;
  void disconnect(const std::string &Other) override {
    Executor.sendOut([this, Other] { Network.disconnect(Name, Other); });
  }
  dispatch::server_orders &orders() override { return *Orders; }
  void answer(dispatch::job_id Job, const dispatch::job_answer &Answer) override {
    Executor.sendOut([this, Job, Answer] { OnAnswer(Job, Answer); });
  }
  void onTermRaised(std::uint32_t) override {}
  void onServersNeeded(bool Needed) override;
  void onStaleRegistration(const std::string &) override {}
  void onRollCallNeeded() override {}
  void onConfigurationOffered(const schema::configuration_copy &Copy) override;
  /// Reads the servers' entries if the VM needs them, unless the store turns it away.
  void readServers() const;

  vm_executor Executor;
  network &Network;
  std::string Name;
  std::unique_ptr<dispatch::server_orders> Orders;
  answer_function OnAnswer;
  std::unique_ptr<dispatch::entry_vm> Vm;
  bool Paused = false;
  bool ServersNeeded = false;
  /// Whether the store turns the VM away.
  bool StoreRefused = false;
  simulated_servers &Servers;
};

struct fleet_layout {
  std::uint32_t Vms = 4;
  std::uint32_t Domains = 2;
  std::uint32_t Servers = 6;
  /// VMs of a domain that dispatch; the others relay.
  std::uint32_t DispatchersPerDomain = 3;
  /// Queues in addition to QueueName.
  std::vector<dispatch::queue_settings> Queues;
  /// Whether all VMs have the same strength.
  bool EqualVms = true;
  /// Factor on the time of a run outside the rack of its data.
  double RemoteFactor = 1;
};

/// Fleet whose VMs "vm0", "vm1", … and servers "s0", "s1", … are assigned to the domains "d0", "d1", … in
/// turn. Two servers share a rack.
class simulated_fleet {
public:
  using answer_function =
      std::function<void(const std::string &Vm, dispatch::job_id Job, const dispatch::job_answer &)>;
  using start_function = std::function<void(const std::string &Server, const dispatch::run_key &Run)>;

  simulated_fleet(runtime::executor &Executor, runtime::random &Random, fleet_layout Layout,
                  simulated_servers::options ServerOptions, start_function OnStart, answer_function OnAnswer);

  static std::string vmName(std::uint32_t Index);
  [[nodiscard]] std::string domainOf(std::uint32_t Index) const;
  [[nodiscard]] std::uint32_t strengthOf(std::uint32_t Index) const;
  [[nodiscard]] std::vector<std::string> domains() const;

  /// Calls Observer with each VM that is ended because it works without end while no time passes.
  void observeEndlessInstants(std::function<void(const std::string &Vm)> Observer) {
    OnEndlessInstant = std::move(Observer);
  }
  /// Adds the servers and starts all VMs.
  void start();
  /// Starts a new process. Pending calls and messages of the former one have no effect any more.
  void startVm(const std::string &Name);
  /// Ends the process; a power loss closes no connection.
  void endVm(const std::string &Name, bool PowerLoss);
  void pauseVm(const std::string &Name);
  /// Adds a delay to messages from one VM to another.
  void setExtraDelay(const std::string &From, const std::string &To, runtime::duration Delay);
  void resumeVm(const std::string &Name);
  /// Cuts or restores one direction between two VMs, or between a VM and the servers of a domain.
  void setCut(const std::string &From, const std::string &To, bool IsCut);
  /// Calls Cut for each direction of all links between a domain and the rest, including those to servers.
  void forEachLink(const std::string &Domain,
                   const std::function<void(const std::string &From, const std::string &To)> &Cut) const;
  void resetConnection(const std::string &One, const std::string &Other);
  /// Changes in the store whether a domain is evacuated. Each running VM reads the change after the delay
  /// that ReadDelay returns for it, and never if that is nothing; a VM that starts later reads it at once.
  void setEvacuated(const std::string &Domain, bool IsEvacuated,
                    const std::function<std::optional<runtime::duration>(const std::string &Vm)> &ReadDelay);
  /// Sets whether the store turns the VM away, whichever process it runs.
  void setStoreRefused(const std::string &Name, bool IsRefused);
  /// Lets each running VM that needs the servers read their entries, after the delay that ReadDelay returns.
  void publishServers(const std::function<runtime::duration()> &ReadDelay);
  /// Applies a configuration on one VM, as if it had read it from the store.
  void configure(simulated_vm &Process, std::uint64_t Version) const;

  simulated_vm &vm(const std::string &Name) { return *Vms.at(Name); }
  [[nodiscard]] const fleet_layout &layout() const { return Layout; }
  network &net() { return Net; }
  simulated_servers &servers() { return Servers; }

private:
  void addServers();
  void registerVm(simulated_vm &Process, std::uint64_t Registration) const;

  runtime::executor &Executor;
  runtime::random &Random;
  fleet_layout Layout;
  network Net;
  simulated_servers Servers;
  answer_function OnAnswer;
  std::function<void(const std::string &)> OnEndlessInstant;
  std::map<std::string, std::unique_ptr<simulated_vm>> Vms;
  // Processes that have ended; pending functions still refer to them.
  std::vector<std::unique_ptr<simulated_vm>> Ended;
  std::uint64_t LastRegistration = 0;
  std::set<std::string> RefusedVms;
  // The evacuations in the store.
  schema::evacuation_state Evacuations;
};

/// Returns a queue of the pool with the stretch and latency of the users' sites.
dispatch::queue_settings makeQueue(const std::string &Name, std::uint32_t Priority);

} // namespace yuccaplank::simulation
