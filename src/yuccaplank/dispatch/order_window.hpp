// Limits the orders that an owner has in progress, each of which takes a connection to its server.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"
#include "yuccaplank/runtime/lifetime.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::dispatch {

/// Starts are sent at once, since a run's lease begins with its order; a server that has too many of them is
/// full, which its owner tells the placer. Stops wait for each other, since many runs end at once when the
/// caller of a large job leaves. Holds are not limited: a server has one at a time.
class order_window final : public server_orders {
public:
  /// A server is full from this number of starts without a reply on until half of them are left.
  static constexpr std::size_t MaxStartsPerServer = 32;
  /// All servers are full from this number of starts on until half of them are left.
  static constexpr std::size_t MaxStarts = 512;
  /// Stops without a reply that a server has at a time.
  static constexpr std::size_t MaxStopsPerServer = 16;

  /// Passes the orders on to Next(). OnFreed is called when a server is no longer full; with an empty name,
  /// when no server is full because of the total any more.
  order_window(std::function<server_orders &()> Next, std::function<void(const std::string &Server)> OnFreed)
      : Next(std::move(Next)), OnFreed(std::move(OnFreed)) {}

  void start(const server_target &Server, start_order Order,
             std::function<void(order_reply)> OnDone) override;
  /// A stop that waits is merged with a later one of the same run.
  void stop(const server_target &Server, const run_key &Run, std::uint64_t FencingToken,
            std::function<void(order_reply)> OnDone) override;
  void hold(const server_target &Server, const hold_order &Order,
            std::function<void(hold_reply)> OnDone) override;

  /// Whether the server should get no more starts now.
  [[nodiscard]] bool isFull(const std::string &Server) const;

private:
  struct stop_order {
    server_target Server;
    std::uint64_t FencingToken = 0;
    std::vector<std::function<void(order_reply)>> OnDone;
  };
  struct server_window {
    std::size_t Starts = 0;
    bool IsFull = false;
    std::size_t Stops = 0;
    std::map<run_key, stop_order> WaitingStops;
    // Keys of WaitingStops in the order of arrival.
    std::deque<run_key> StopQueue;
  };

  void sendStop(const run_key &Run, stop_order Order);
  void onStartReply(const std::string &Server);
  void onStopReply(const std::string &Server);
  void forgetIfIdle(const std::string &Server);

  std::function<server_orders &()> Next;
  std::function<void(const std::string &)> OnFreed;
  // The servers with orders in progress.
  std::map<std::string, server_window> Servers;
  std::size_t Starts = 0;
  bool AllAreFull = false;
  runtime::lifetime Lifetime;
};

} // namespace yuccaplank::dispatch
