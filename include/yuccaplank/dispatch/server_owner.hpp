// The owner role: sends orders to the backend servers that this VM owns, and exchanges messages about them
// with placers and coordinators.
#pragma once

#include "yuccaplank/dispatch/server_ledger.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

class owner_ports {
public:
  virtual ~owner_ports() = default;
  virtual server_orders &orders() = 0;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  virtual void broadcast(const schema::dispatch_message &Message) = 0;
  /// See ledger_ports.
  virtual void announceLoss(schema::lost_server Lost) = 0;
  /// See ledger_ports.
  virtual void onServerReplied(const std::string &Server, std::int64_t IncarnationStartMs,
                               std::int64_t ClockMs) = 0;
  /// Whether this VM should own the servers of a rack.
  [[nodiscard]] virtual bool shouldOwn(const std::string &Rack, const std::string &Domain) const = 0;
  [[nodiscard]] virtual bool reachable(const std::string &Vm) const = 0;
  /// See ledger_ports.
  [[nodiscard]] virtual bool anyOwnerOutOfContact() const = 0;
  /// See ledger_ports.
  [[nodiscard]] virtual std::optional<runtime::time_point>
  lastAnsweredHeartbeat(const std::string &Vm) const = 0;
  /// See ledger_ports.
  virtual std::uint64_t fencingToken(std::uint64_t Above) = 0;
};

struct owner_counts {
  std::size_t Listed = 0;
  std::size_t Owned = 0;
  std::size_t Usable = 0;
  std::size_t Runs = 0;
};

class server_owner {
public:
  virtual ~server_owner() = default;
  /// Sets the servers that the platform currently lists.
  virtual void setServers(const std::vector<server_entry> &Servers) = 0;
  /// Sets the failure domains whose servers get no new runs. Ownership and runs are not affected.
  virtual void setEvacuatedDomains(const std::set<std::string> &Domains) = 0;
  /// Sets whether starts have to wait because the entries of the servers may be outdated. Runs and ownership
  /// are not affected.
  virtual void suspendStarts(bool Suspend) = 0;
  /// Claims the servers that this VM should own but does not; called when the view of the other VMs has
  /// changed.
  virtual void claimAssignedServers() = 0;
  virtual void onStart(const std::string &Coordinator, const schema::start_task &Request) = 0;
  virtual void onStop(const std::string &Coordinator, const schema::stop_task &Request) = 0;
  virtual void onSubscribe(const std::string &Placer, const schema::subscribe_servers &Request) = 0;
  virtual void onAdopted(const std::string &Coordinator, const schema::adopt_reply &Reply) = 0;
  /// Called when another VM has claimed or owns a server.
  virtual void onClaimedElsewhere(const std::string &NewOwner, const std::string &Server,
                                  std::uint64_t Token) = 0;
  /// Called when contact begins with a VM that may own servers. Before, that VM may have sent orders to
  /// restarted servers that had lost the fence of this VM's claim.
  virtual void onOwnerFound() = 0;
  /// Sends the list of servers that this VM owns to a VM with which contact begins.
  virtual void announceOwnedServers(const std::string &Vm) = 0;
  virtual void onResume(const std::string &Coordinator, const schema::resume_session &Session) = 0;
  virtual void onVmLost(const std::string &Vm) = 0;
  /// Called when this VM was paused for so long that others may have taken over its servers.
  virtual void onPause() = 0;
  /// Called every 50 ms.
  virtual void tick() = 0;
  [[nodiscard]] virtual owner_counts counts() const = 0;
  /// Capacity and health of the owned servers.
  [[nodiscard]] virtual std::vector<schema::server_state> states() const = 0;
  [[nodiscard]] virtual const ledger_counters &counters() const = 0;
};

std::unique_ptr<server_owner> makeServerOwner(runtime::executor &Executor, owner_ports &Ports,
                                              ledger_options Options = {});

} // namespace yuccaplank::dispatch
