// Network between simulated VMs. Its connections deliver messages in order, stall while a link is cut, and
// break when they are reset or a VM ends.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/runtime/random.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace yuccaplank::simulation {

/// Callbacks of a VM, which the network calls at delivery.
struct network_endpoint {
  std::function<void(const std::string &From, const std::string &Incarnation,
                     const schema::dispatch_message &)>
      OnMessage;
  std::function<void(const std::string &Vm)> OnClosed;
  std::function<void(const std::string &Address)> OnConnectFailed;
  std::string Incarnation;
};

struct message_count {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

/// Counts of the messages that VMs have sent to each other.
struct message_totals {
  std::map<std::string, message_count> BySender;
  /// Key: name of the message's body.
  std::map<std::string, message_count> ByKind;
};

/// VMs are identified by their address. A stalled connection does not time out, since TCP gives up much later
/// than the daemon does.
class network {
public:
  network(runtime::executor &Executor, runtime::random &Random) : Executor(Executor), Random(Random) {}

  /// Adds a new process; connections of an earlier process at the same address are closed.
  void attach(const std::string &Vm, network_endpoint Endpoint);
  /// Removes a process; on a power loss, its peers are not notified.
  void detach(const std::string &Vm, bool PowerLoss);
  void send(const std::string &From, const std::string &To, const schema::dispatch_message &Message);
  void disconnect(const std::string &From, const std::string &To);
  /// Cuts or restores one direction. Messages in transit stall and are delivered when the cut ends, unless
  /// the connection has been closed by then.
  void setCut(const std::string &From, const std::string &To, bool IsCut);
  [[nodiscard]] bool isCut(const std::string &From, const std::string &To) const {
    return Cuts.contains({From, To});
  }
  /// Adds a delay to messages in one direction.
  void setExtraDelay(const std::string &From, const std::string &To, runtime::duration Delay);
  /// Starts to count messages, which slows long simulations down.
  void countMessages() { Counts.emplace(); }
  /// Returns an empty optional unless messages are counted.
  [[nodiscard]] const std::optional<message_totals> &counts() const { return Counts; }
  /// Returns a random one-way delay.
  runtime::duration sampleDelay();

private:
  using direction = std::pair<std::string, std::string>;
  struct connection {
    std::uint64_t Id = 0;
    std::map<direction, runtime::time_point> LastDelivery;
    std::map<direction, std::vector<std::function<void()>>> Stalled;
  };
  static direction connectionKey(const std::string &One, const std::string &Other) {
    return One < Other ? direction{One, Other} : direction{Other, One};
  }
  void countMessage(const std::string &From, const schema::dispatch_message &Message);
  connection *find(const std::string &One, const std::string &Other);
  // Calls Function when a message sent now arrives: after earlier messages in this direction, and not while
  // it is cut or after the connection has been closed.
  void scheduleDelivery(const std::string &From, const std::string &To, std::function<void()> Function);
  void onArrival(const std::string &From, const std::string &To, std::uint64_t Connection,
                 const std::function<void()> &Function);
  void notifyClosed(const std::string &Vm, const std::string &Other, std::uint64_t Connection);

  runtime::executor &Executor;
  runtime::random &Random;
  std::map<std::string, network_endpoint> Endpoints;
  std::set<std::string> PoweredOff;
  std::map<direction, connection> Connections;
  std::set<direction> Cuts;
  std::map<direction, runtime::duration> ExtraDelays;
  std::uint64_t LastConnectionId = 0;
  std::optional<message_totals> Counts;
};

} // namespace yuccaplank::simulation
