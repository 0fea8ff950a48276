// What this VM knows of the others, and which of them places tasks and owns which backend servers.
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
  /// Contact with a VM lasts for this time from when this VM *sent* the last heartbeat that the other one has
  /// answered. The other one has dealt with that heartbeat later than it was sent, and so waits longer before
  /// it counts on what this VM did for it being over; dispatch/bounds checks the sums.
  runtime::duration Lease = std::chrono::milliseconds(560);
  /// Contact ends this long after the connection has broken, which is the usual sign of a dead process.
  runtime::duration ReconnectTime = std::chrono::milliseconds(250);
  /// After a start, servers are claimed and tasks placed only when each VM known then has been heard or found
  /// out of reach, or this time has passed, so that a VM that has just started does not believe itself alone.
  runtime::duration DiscoveryTimeout = std::chrono::milliseconds(700);
  /// Of the own clock in heartbeats; differs from process to process.
  std::uint32_t ClockOrigin = 1;
};

/// A VM that is known from the store, from settings or from another VM.
struct known_vm {
  std::string Address;
  bool InContact = false;
  /// The connection has broken since the VM was last heard.
  bool Broken = false;
  /// In contact, or found out of reach, since discovery began.
  bool Discovered = false;
  runtime::time_point LastHeard{};
  /// Its clock in the last status that was heard over the present connection; 0 before.
  std::uint32_t ClockMs = 0;
  /// When this VM sent the last status that the other one has answered, by the clock that counts suspension.
  runtime::time_point AnsweredAt = runtime::time_point::min();
  schema::vm_status Status;
};

/// A change of the view that others act on.
struct view_change {
  enum class kind : std::uint8_t {
    /// In contact after having been lost or unknown.
    Found,
    /// In contact again after a connection broke, so that messages may have been lost; or with another role.
    Resumed,
    Lost,
  } Kind = kind::Found;
  std::string Vm;
};

/// Agreement is not needed: two VMs that both own a server are told apart by its fence, and two placers only
/// cause refused starts.
class fleet_view {
public:
  virtual ~fleet_view() = default;
  /// The own status, as sent to others.
  virtual void setSelf(const schema::vm_status &Status) = 0;
  /// A VM may be at this address.
  virtual void learn(const std::string &Vm, const std::string &Address) = 0;
  /// The VM has been removed for good.
  virtual void forget(const std::string &Vm) = 0;
  virtual std::vector<view_change> heard(const schema::vm_status &Status) = 0;
  /// Sets the own clock in a status for the VM, and the echo of that one's clock.
  virtual void stamp(const std::string &Vm, schema::vm_status &Status) const = 0;
  /// The connection to the VM has broken.
  virtual void broken(const std::string &Vm) = 0;
  /// No connection to an address could be made.
  virtual void unreachable(const std::string &Address) = 0;
  /// The VM is certainly out of reach.
  virtual std::vector<view_change> lost(const std::string &Vm) = 0;
  /// Ends contact with each VM whose time is over; cheap when there is none.
  virtual std::vector<view_change> tick() = 0;

  [[nodiscard]] virtual const std::map<std::string, known_vm> &others() const = 0;
  /// Whether the VM is in contact; the own one always is.
  [[nodiscard]] virtual bool inContact(const std::string &Vm) const = 0;
  /// Echoes that belong to no recent heartbeat of this VM.
  [[nodiscard]] virtual std::uint64_t ignoredEchoes() const = 0;
  /// What was known is old, as after a start.
  virtual void restartDiscovery() = 0;
  /// Whether enough is known to claim servers and to place tasks.
  [[nodiscard]] virtual bool discoveryComplete() const = 0;
  /// The dispatching VM that was paused least often, of these the strongest, since it handles messages for
  /// each task of the fleet, of these the one that registered first; a draining one only when there is no
  /// other. Empty when there is none.
  [[nodiscard]] virtual std::string placer() const = 0;
  /// The VM that should own the servers of a rack: one of the rack's failure domain if any lives there, each
  /// in proportion to its strength; a draining one only when there is no other. Empty when there is none.
  [[nodiscard]] virtual std::string ownerOf(const std::string &Rack, const std::string &Domain) const = 0;
  /// The other VM that should coordinate a job which this VM relays: one of its own failure domain if any is
  /// in contact, each in proportion to its strength; a draining one only when there is no other. Empty when
  /// there is none.
  [[nodiscard]] virtual std::string dispatcherFor(std::uint64_t Job, const std::string &Domain) const = 0;
  /// Rises whenever placer(), ownerOf() or dispatcherFor() may have changed.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  /// Highest term that any VM has told.
  [[nodiscard]] virtual std::uint32_t highestTerm() const = 0;
};

std::unique_ptr<fleet_view> makeFleetView(const runtime::clock &Clock, fleet_view_options Options = {});

} // namespace yuccaplank::dispatch
