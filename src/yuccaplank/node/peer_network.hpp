// Sends envelopes to peers by VM, and collects answers from several of them.
#pragma once

#include "exchanges.hpp"
#include "yuccaplank/model/membership.hpp"
#include "yuccaplank/node/entry_node.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::node {

class peer_network {
public:
  peer_network(runtime::executor &Executor, ports &Ports, model::membership &Membership,
               schema::incarnation Self, node_counters &Counters);

  void send(const std::string &Vm, schema::envelope Message);
  void sendTo(const std::string &Vm, const std::string &Address, schema::envelope Message);
  /// Sends to every reachable VM but this one.
  void broadcast(const schema::envelope &Message);
  /// Reachable VMs but this one.
  [[nodiscard]] std::vector<schema::incarnation> others() const;

  /// Asks every other VM; MakeRequest gets the exchange number. OnDone gets the VMs that did not answer.
  void collect(const std::function<schema::envelope(std::uint64_t)> &MakeRequest,
               std::function<void(const schema::envelope &)> OnReply,
               std::function<void(std::vector<std::string>)> OnDone);

  exchanges Exchanges;

private:
  ports &Ports;
  model::membership &Membership;
  schema::incarnation Self;
  node_counters &Counters;
};

} // namespace yuccaplank::node
