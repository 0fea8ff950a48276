// This VM's knowledge of the other VMs, and the resulting choice of the placer and of the owners of backend
// servers.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

struct fleet_view_options {
  /// Contact with a VM lasts this long from when this VM *sent* the latest heartbeat that the other VM has
  /// answered. The other VM processed that heartbeat after it was sent, so it waits longer before it assumes
  /// that this VM's work for it has ended. dispatch/bounds checks the sums.
  runtime::duration ContactLease = std::chrono::milliseconds(560);
  /// Contact ends this long after the connection has broken, which usually means that the process has died.
  runtime::duration ReconnectTimeout = std::chrono::milliseconds(250);
  /// After a start, servers are claimed and tasks placed only when each VM known by then has been in contact
  /// or was found unreachable, or after this timeout. Otherwise a VM that has just started would assume that
  /// it is alone.
  runtime::duration DiscoveryTimeout = std::chrono::milliseconds(700);
  /// Origin of the local clock in heartbeats; differs from process to process.
  std::uint32_t ClockOrigin = 1;
};

/// Another VM, known from the store, from settings or from a third VM.
struct known_vm {
  std::string Address;
  bool InContact = false;
  /// Whether the connection has broken since the last accepted status.
  bool ConnectionBroken = false;
  /// Whether the VM has been in contact or was found unreachable since discovery began.
  bool DiscoveryDone = false;
  /// When its last status was received, its connection broke, or it became known.
  runtime::time_point LastActiveAt{};
  /// Clock value in the last status received over the present connection; 0 if there is none.
  std::uint32_t ClockMs = 0;
  /// When this VM sent the latest heartbeat that the other VM has answered, on the clock that counts
  /// suspension.
  runtime::time_point LastAnsweredHeartbeat = runtime::time_point::min();
  schema::vm_status Status;
};

/// A change of contact that the roles have to react to.
struct view_change {
  enum class kind : std::uint8_t {
    /// In contact, after having been out of contact or unknown.
    Found,
    /// In contact again after the connection broke, so that messages may have been lost; or in contact with a
    /// changed role.
    Resumed,
    Lost,
  } Kind = kind::Found;
  std::string Vm;
};

/// VMs need not agree on their views: if two VMs both assume that they own a server, its fence decides, and
/// two placers only cause rejected starts.
class fleet_view {
public:
  virtual ~fleet_view() = default;
  /// Sets this VM's status as sent to other VMs.
  virtual void setSelf(const schema::vm_status &Status) = 0;
  /// Adds a VM, or changes its address.
  virtual void addAddress(const std::string &Vm, const std::string &Address) = 0;
  /// Removes a VM that is out of contact.
  virtual void removeVm(const std::string &Vm) = 0;
  virtual std::vector<view_change> onStatus(const schema::vm_status &Status) = 0;
  /// Sets the local clock in a status for the VM, and the echo of that VM's clock.
  virtual void setClocks(const std::string &Vm, schema::vm_status &Status) const = 0;
  /// Called when the connection to the VM has broken.
  virtual void onConnectionBroken(const std::string &Vm) = 0;
  /// Called when no connection to the address could be made.
  virtual void onAddressUnreachable(const std::string &Address) = 0;
  /// Ends contact with a VM.
  virtual std::vector<view_change> endContact(const std::string &Vm) = 0;
  /// Ends contact with each VM whose contact lease has expired; cheap if there is none.
  virtual std::vector<view_change> tick() = 0;

  [[nodiscard]] virtual const std::map<std::string, known_vm> &others() const = 0;
  /// Whether the VM is in contact; this VM always is.
  [[nodiscard]] virtual bool inContact(const std::string &Vm) const = 0;
  /// Number of received echoes that match no recent heartbeat of this VM.
  [[nodiscard]] virtual std::uint64_t ignoredEchoes() const = 0;
  /// Starts discovery again, because the state of the other VMs is out of date.
  virtual void restartDiscovery() = 0;
  /// Whether this VM knows enough of the other VMs to claim servers and place tasks.
  [[nodiscard]] virtual bool discoveryComplete() const = 0;
  /// Returns the VM that places tasks: of the dispatching VMs, the one that was paused least often. Ties go
  /// to the strongest VM, since the placer handles messages for each task of the fleet, and then to the one
  /// that registered first. A draining VM is chosen only if there is no other. Empty if there is no
  /// dispatching VM.
  [[nodiscard]] virtual std::string placer() const = 0;
  /// Returns the VM that should own the servers of a rack: one of the rack's failure domain if it has any,
  /// each VM in proportion to its strength. A draining VM is chosen only if there is no other. Empty if there
  /// is no dispatching VM.
  [[nodiscard]] virtual std::string ownerOf(const std::string &Rack, const std::string &Domain) const = 0;
  /// Returns the other VM that should coordinate a job which this VM relays: one of the given failure domain
  /// if any is in contact, each VM in proportion to its strength. A draining VM is chosen only if there is no
  /// other. Empty if there is none.
  [[nodiscard]] virtual std::string dispatcherFor(job_id Job, const std::string &Domain) const = 0;
  /// Version of the view. It rises whenever placer(), ownerOf() or dispatcherFor() may have changed.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  /// Highest term that any VM has reported.
  [[nodiscard]] virtual std::uint32_t highestTerm() const = 0;
};

std::unique_ptr<fleet_view> makeFleetView(const runtime::clock &Clock, fleet_view_options Options = {});

} // namespace yuccaplank::dispatch
