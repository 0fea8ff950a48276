// Blocking sockets, scripted servers and functions that run a loop, for tests of network code.
#pragma once

#include "yuccaplank/runtime/loop.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace yuccaplank::testing {

/// Runs the loop until Done returns true; fails the test when that takes longer than 10 s.
void runUntil(runtime::loop &Loop, const std::function<bool()> &Done);
/// Runs the loop for the given duration.
void runFor(runtime::loop &Loop, runtime::duration Time);

/// Blocking TCP socket whose destructor closes it; reads time out after 10 s.
class raw_socket {
public:
  explicit raw_socket(int Fd);
  raw_socket(raw_socket &&Other) noexcept;
  raw_socket &operator=(raw_socket &&Other) noexcept;
  raw_socket(const raw_socket &) = delete;
  raw_socket &operator=(const raw_socket &) = delete;
  ~raw_socket() { close(); }

  [[nodiscard]] int fd() const { return Fd; }
  void send(std::string_view Text) const;
  /// Reads until Bytes bytes have arrived, the connection has closed, or the read has timed out; returns the
  /// bytes that arrived.
  [[nodiscard]] std::string receive(std::size_t Bytes) const;
  /// Reads one HTTP message with a body of Content-Length bytes; the result is truncated when the connection
  /// closes first.
  [[nodiscard]] std::string receiveMessage() const;
  /// Discards received bytes until the peer closes the connection; returns whether it does so within 10 s.
  [[nodiscard]] bool closedByPeer() const;
  void close();

private:
  int Fd;
};

raw_socket connectTo(std::uint16_t Port);
/// Returns a listening socket on a free port of 127.0.0.1, and sets Port.
raw_socket listenOn(int Backlog, std::uint16_t &Port);

/// Server that runs the n-th script on the n-th accepted connection, in a thread of its own. Further
/// connections are accepted and stay idle.
class scripted_server {
public:
  using script = std::function<void(raw_socket &)>;
  explicit scripted_server(std::vector<script> Scripts);
  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;
  ~scripted_server();

  [[nodiscard]] std::string address() const;
  [[nodiscard]] int accepted() const { return Accepted; }

private:
  void serve();

  std::vector<script> Scripts;
  std::uint16_t Port = 0;
  raw_socket Listener;
  std::atomic<int> Accepted = 0;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace yuccaplank::testing
