// Connections between simulated VMs: ordered, stalled by cuts, broken by resets and deaths.
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

/// Ends of a VM; called at delivery.
struct network_end {
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

/// Messages that have been sent between VMs.
struct message_totals {
  std::map<std::string, message_count> BySender;
  /// By the name of the message's body.
  std::map<std::string, message_count> ByKind;
};

/// VMs are named by their address.
class network {
public:
  network(runtime::executor &Executor, runtime::random &Random) : Executor(Executor), Random(Random) {}

  /// A process begins; connections of a former one at the same address are found broken.
  void attach(const std::string &Vm, network_end End);
  /// The process ends; with Silent nothing tells the others, as at a loss of power.
  void detach(const std::string &Vm, bool Silent);
  void send(const std::string &From, const std::string &To, const schema::dispatch_message &Message);
  void disconnect(const std::string &From, const std::string &To);
  /// A cut stalls what is under way; it arrives when the cut ends, unless the connection has been closed by
  /// then.
  void setCut(const std::string &From, const std::string &To, bool IsCut);
  [[nodiscard]] bool cut(const std::string &From, const std::string &To) const {
    return Cuts.contains({From, To});
  }
  /// Messages in this direction take this much longer.
  void setExtraDelay(const std::string &From, const std::string &To, runtime::duration Time);
  /// Counts what is sent from now on; costs time in long simulations.
  void countMessages() { Counts.emplace(); }
  /// Empty unless messages are counted.
  [[nodiscard]] const std::optional<message_totals> &counts() const { return Counts; }
  /// Delay of one way.
  runtime::duration delay();

private:
  using direction = std::pair<std::string, std::string>;
  struct connection {
    std::uint64_t Id = 0;
    std::map<direction, runtime::time_point> LastDelivery;
    std::map<direction, std::vector<std::function<void()>>> Stalled;
  };
  static direction pairOf(const std::string &One, const std::string &Other) {
    return One < Other ? direction{One, Other} : direction{Other, One};
  }
  void count(const std::string &From, const schema::dispatch_message &Message);
  connection *find(const std::string &One, const std::string &Other);
  void deliver(const std::string &From, const std::string &To, std::function<void()> Function);
  void arrive(const std::string &From, const std::string &To, std::uint64_t Connection,
              const std::function<void()> &Function);
  void tellClosed(const std::string &Vm, const std::string &Other, std::uint64_t Connection);

  runtime::executor &Executor;
  runtime::random &Random;
  std::map<std::string, network_end> Ends;
  std::set<std::string> Dark;
  std::map<direction, connection> Connections;
  std::set<direction> Cuts;
  std::map<direction, runtime::duration> ExtraDelays;
  std::uint64_t LastConnection = 0;
  std::optional<message_totals> Counts;
};

} // namespace yuccaplank::simulation
