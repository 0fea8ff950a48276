// Backend servers of a simulation, which can crash, hang, fail tasks, become slow, or be cut off.
#pragma once

#include "network.hpp"
#include "vm_executor.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/standin/task_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::simulation {

/// How connections to a server fail while it is cut off. The server runs on.
enum class server_cut : std::uint8_t {
  None,
  /// Nothing arrives, and nothing is answered.
  Silent,
  /// Connections are reset, as if no process listened.
  Resets,
};

class simulated_servers {
public:
  struct options {
    /// Share of orders that are carried out late and get no answer.
    double LateOrderShare = 0;
    /// Share of orders whose answer is lost.
    double LostAnswerShare = 0;
    /// Share of the runs that fail on a sound server.
    double FailedRunShare = 0;
    /// Share of the tasks that take LongTaskFactor times as long as the others, on every server.
    double LongTaskShare = 0;
    double LongTaskFactor = 7;
    /// Factor on the time of a run outside the rack of its data.
    double RemoteFactor = 1;
  };
  /// OnStart is called after each start that a server has carried out.
  simulated_servers(runtime::executor &Executor, network &Network, runtime::random &Random, options Options,
                    std::function<void(const std::string &Server, const dispatch::run_key &Run)> OnStart)
      : Executor(Executor), Network(Network), Random(Random), Options(Options), OnStart(std::move(OnStart)) {}

  void add(const dispatch::server_entry &Entry, double ClockRate, double Slowness);
  /// Returns the entries of the servers that the simulated platform lists. It unlists a server that has not
  /// reached it for three heartbeats, because it has crashed or is cut off.
  [[nodiscard]] std::vector<dispatch::server_entry> entries() const;
  /// Returns the interface through which a VM sends orders to the servers. Callbacks run on the VM's
  /// executor.
  std::unique_ptr<dispatch::server_orders> makeOrders(const std::string &Vm, vm_executor &VmExecutor);

  /// Calls Observer for each start order when a VM sends it.
  void observeStartOrders(std::function<void(const std::string &Vm, const std::string &Server)> Observer) {
    OnStartOrder = std::move(Observer);
  }
  /// Runs of a server that crashes.
  struct crashed_runs {
    std::vector<dispatch::run_key> Running;
    /// Runs that had ended, but whose ends no VM has confirmed, so that no VM may know of them.
    std::vector<dispatch::run_key> Unobserved;
  };
  /// Calls Observer with the runs of each server that crashes.
  void observeCrashes(std::function<void(const crashed_runs &Runs)> Observer) {
    OnCrash = std::move(Observer);
  }
  /// Calls Observer for each run that ends because its lease has expired.
  void observeLapses(std::function<void(const dispatch::run_key &Run)> Observer) {
    OnLapsed = std::move(Observer);
  }
  /// Servers carry out the stops of the tasks for which Predicate returns true late, and do not answer them.
  void setLateStops(std::function<bool(const dispatch::task_key &Task)> Predicate) {
    HasLateStops = std::move(Predicate);
  }
  /// Calls Observer when a server has restarted, or is listed no longer or again.
  void observeListing(std::function<void()> Observer) { OnListingChanged = std::move(Observer); }
  [[nodiscard]] const std::string &domainOf(const std::string &Server) const {
    return Servers.at(Server).Entry.Domain;
  }

  /// Ends the server's process. Its address refuses connections, or is silent if the machine is down, too.
  void crash(const std::string &Server, bool MachineDown = false);
  void start(const std::string &Server);
  /// Cuts a server off from all VMs and from the platform.
  void setCut(const std::string &Server, server_cut Cut);
  /// Cuts a server off from one VM by resets, or ends that.
  void setPathReset(const std::string &Server, const std::string &Vm, bool IsCut);
  /// Changes the capacity that the server tells from now on; what runs there goes on.
  void setCapacity(const std::string &Server, std::uint32_t Cpu);
  /// Sets the share of its runs that a server fails.
  void setFailing(const std::string &Server, double Share) { Servers.at(Server).FailingShare = Share; }
  /// Sets the share of the jobs whose tasks fail on every server that starts them now.
  void setFailingJobs(double Share) { FailingJobShare = Share; }
  void setSlowdown(const std::string &Server, double Factor) { Servers.at(Server).Slowdown = Factor; }
  /// Sets the share of its runs that never end on a server.
  void setHanging(const std::string &Server, double Share) { Servers.at(Server).HangingShare = Share; }

  /// Returns the servers on which the task runs now, one entry for each run.
  [[nodiscard]] std::vector<std::string> serversRunning(const dispatch::task_key &Task);
  [[nodiscard]] std::uint32_t usedCpu(const std::string &Server);
  [[nodiscard]] std::uint32_t capacityCpu(const std::string &Server) const {
    return Servers.at(Server).Entry.Capacity.cpu();
  }
  /// Returns the largest capacity that the present incarnation has had within the last CapacityNotice: a
  /// smaller one binds only after the VMs can know of it.
  [[nodiscard]] std::uint32_t bindingCapacityCpu(const std::string &Server) const;
  [[nodiscard]] std::vector<std::string> names() const;
  /// Version of the store that entries() is as of; it rises with each change of an entry.
  [[nodiscard]] std::uint64_t version() const { return Version; }

private:
  struct pending_hold {
    std::uint64_t Id = 0;
    dispatch::hold_order Order;
    std::function<void(dispatch::hold_reply)> Reply;
  };
  struct simulated_server {
    dispatch::server_entry Entry;
    std::unique_ptr<standin::task_server> State;
    double ClockRate = 1;
    // Factors of the run times: a permanent and a temporary one.
    double Slowness = 1;
    double Slowdown = 1;
    server_cut Cut = server_cut::None;
    bool Listed = true;
    // Whether its heartbeats reach the platform, and how often that has changed.
    bool ReachesPlatform = true;
    std::uint64_t PlatformChanges = 0;
    // VMs whose connections to the server are reset.
    std::set<std::string> ResetPaths;
    bool MachineDown = false;
    double FailingShare = 0;
    double HangingShare = 0;
    std::vector<pending_hold> Holds;
    // Capacities of the present incarnation, with the time until which each was the present one.
    std::vector<std::pair<runtime::time_point, std::uint32_t>> FormerCapacities;
    std::uint64_t Incarnation = 0;
  };
  class orders;

  standin::run_work makeWork(const simulated_server &Server, const dispatch::start_order &Order);
  // Returns true with this probability. Draws no random number if the result is certain, so that days without
  // such faults keep the meaning of their seeds.
  bool happens(double Share) { return Share > 0 && (Share >= 1 || Random.uniform() < Share); }
  void serveHold(const std::string &Name, const dispatch::hold_order &Order,
                 std::function<void(dispatch::hold_reply)> Reply);
  // Crashes the server if the task of the run is the one that does so, and restarts it seconds later.
  void crashIfTaskDoes(const std::string &Name, const dispatch::run_key &Run, const standin::run_work &Work);
  // Answers the waiting holds if runs have ended.
  void answerHolds(const std::string &Name);
  void scheduleAdvance(const std::string &Name);
  // Lists the server or not after a delay, if that has to change and the server stays as it is.
  void scheduleListing(const std::string &Name);
  void setListed(const std::string &Name, bool Listed);

  runtime::executor &Executor;
  network &Network;
  runtime::random &Random;
  options Options;
  std::function<void(const std::string &, const dispatch::run_key &)> OnStart;
  std::function<void(const std::string &, const std::string &)> OnStartOrder;
  std::function<void(const crashed_runs &)> OnCrash;
  std::function<void()> OnListingChanged;
  std::function<void(const dispatch::run_key &)> OnLapsed;
  std::function<bool(const dispatch::task_key &)> HasLateStops;
  std::map<std::string, simulated_server> Servers;
  std::uint64_t LastHold = 0;
  std::uint64_t Version = 1;
  double FailingJobShare = 0;
};

} // namespace yuccaplank::simulation
