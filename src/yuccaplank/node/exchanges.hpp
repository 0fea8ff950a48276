// Requests to peers that await their answer.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/executor.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace yuccaplank::node {

/// Why an exchange ended without an answer.
enum class exchange_failure : std::uint8_t {
  /// The request may have reached the peer.
  PeerLost,
  /// No connection to the peer could be established, so the request has certainly not reached it.
  NotDelivered,
  TimedOut,
};

/// Matches answers to requests by exchange number and peer, and fails those whose peer is lost.
class exchanges {
public:
  using answer_handler = std::function<void(const schema::envelope &)>;
  using failure_handler = std::function<void(exchange_failure)>;

  explicit exchanges(runtime::executor &Executor) : Executor(Executor) {}

  /// Registers a request; exactly one of the handlers runs, unless the exchange is dropped.
  std::uint64_t open(const schema::incarnation &Peer, runtime::duration Timeout, answer_handler OnAnswer,
                     failure_handler OnFailure);
  /// Delivers an answer; ignored when the exchange is unknown or belongs to another peer.
  void answer(const schema::incarnation &From, std::uint64_t Exchange, const schema::envelope &Message);
  void failPeer(const schema::incarnation &Peer);
  /// A connect to the VM has failed: requests have not been delivered if there was no connection to it since
  /// they were made.
  void connectFailed(const std::string &Vm);
  /// There is a connection to the VM; requests that waited for it may have been written to it.
  void connected(const std::string &Vm);
  /// A connection to the VM has ended, perhaps before anything was heard on it.
  void disconnected(const std::string &Vm);
  void drop(std::uint64_t Exchange);
  [[nodiscard]] std::size_t size() const { return Pending.size(); }

private:
  struct pending {
    schema::incarnation Peer;
    answer_handler OnAnswer;
    failure_handler OnFailure;
    runtime::timer_id Timer = 0;
    // Whether there was a connection when the request was made or later.
    bool WasConnected = false;
  };
  void failIf(const std::function<bool(const pending &)> &Matches, exchange_failure Failure);

  void markMaybeDelivered(const std::string &Vm);
  std::optional<pending> take(std::uint64_t Exchange);

  runtime::executor &Executor;
  std::unordered_map<std::uint64_t, pending> Pending;
  std::unordered_set<std::string> Connected;
  std::uint64_t LastExchange = 0;
};

} // namespace yuccaplank::node
