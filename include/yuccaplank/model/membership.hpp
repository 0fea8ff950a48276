// Who is alive: ring heartbeats, probes, incarnations, and the dispatcher of each failure domain. No I/O.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/clock.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::model {

struct membership_options {
  schema::incarnation Self;
  std::string Domain;
  std::string PeerAddress;
  /// Failure domains that share one dispatcher, the own one among them; empty for the own one alone.
  std::vector<std::string> DispatchGroup;
  runtime::duration HeartbeatPeriod = std::chrono::milliseconds(500);
  /// Silence of the ring predecessor after which it is probed.
  runtime::duration SuspicionTimeout = std::chrono::milliseconds(1200);
  /// Time for the answer to a probe, after which the VM is unreachable.
  runtime::duration ProbeTimeout = std::chrono::milliseconds(700);
  /// Mean time between probes of an unreachable VM; spread by half of it either way.
  runtime::duration UnreachableProbePeriod = std::chrono::seconds(2);
  std::uint64_t Seed = 1;
};

/// A message that membership wants sent.
struct membership_send {
  std::string Vm;
  std::string Address;
  schema::envelope Message;
};

/// A change that others act on.
struct membership_event {
  enum class kind : std::uint8_t { Reachable, Unreachable, Draining, Replaced, DispatcherChanged };
  kind Kind = kind::Reachable;
  /// The VM concerned; for Replaced the incarnation that has ended.
  schema::incarnation Vm;
  std::string Domain;
};

struct member_view {
  schema::vm_entry Entry;
  /// Time since the last message, in milliseconds.
  double SilentMs = 0;
};

class membership {
public:
  virtual ~membership() = default;
  /// Applies the platform's list, which may lag; direct evidence goes before it.
  virtual void applyVmList(const schema::vm_list &List) = 0;
  /// Any message from a peer is evidence that it lives.
  virtual void messageFrom(const schema::incarnation &From, const std::string &Domain) = 0;
  virtual void onHeartbeat(const schema::incarnation &From, const schema::heartbeat &Message) = 0;
  virtual void onProbe(const schema::incarnation &From, const schema::probe &Message) = 0;
  virtual void onProbeAck(const schema::incarnation &From, const schema::probe_ack &Message) = 0;
  virtual void onDraining(const schema::incarnation &From) = 0;
  virtual void onStreamClosed(const schema::incarnation &Peer) = 0;
  virtual void onConnectFailed(const std::string &Address) = 0;
  /// The process has not run for a while: nobody is suspected because of silence in that time.
  virtual void onPause(runtime::duration Pause) = 0;
  /// Announces that this VM leaves.
  virtual void startDraining() = 0;
  /// Summary of the own domain, sent with heartbeats while this VM is the dispatcher.
  virtual void setOwnSummary(const schema::domain_summary &Summary) = 0;
  virtual void setCatalogVersion(std::uint64_t Version) = 0;

  /// Runs due timers; call at nextWakeup and after every input.
  virtual void tick() = 0;
  [[nodiscard]] virtual runtime::time_point nextWakeup() const = 0;
  virtual std::vector<membership_send> takeSends() = 0;
  virtual std::vector<membership_event> takeEvents() = 0;

  /// The dispatcher of a domain; empty when no VM of it is reachable.
  [[nodiscard]] virtual std::optional<schema::incarnation> dispatcher(const std::string &Domain) const = 0;
  [[nodiscard]] virtual bool isDispatcher() const = 0;
  /// Whether the incarnation is known to be reachable (draining VMs are).
  [[nodiscard]] virtual bool reachable(const schema::incarnation &Vm) const = 0;
  /// Whether a later incarnation of the same VM is known.
  [[nodiscard]] virtual bool replaced(const schema::incarnation &Vm) const = 0;
  [[nodiscard]] virtual std::vector<member_view> members() const = 0;
  /// Latest summaries of the other domains, with their age brought up to date.
  [[nodiscard]] virtual std::vector<schema::domain_summary> summaries() const = 0;
  [[nodiscard]] virtual std::string addressOf(const std::string &Vm) const = 0;
};

std::unique_ptr<membership> makeMembership(const runtime::clock &Clock, membership_options Options);

} // namespace yuccaplank::model
