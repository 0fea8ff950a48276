// Detects connections whose peer has closed its sending side. h2o does not detect this itself while a request
// is pending, because it does not read from an HTTP/1.1 connection then.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <functional>

struct st_h2o_socket_t;

namespace yuccaplank::wire {

/// Watches all connections with one epoll set: one system call per connection.
class hangup_watch {
public:
  hangup_watch(runtime::loop &Loop, std::function<void(std::uint64_t Id)> OnHangup)
      : Loop(Loop), OnHangup(std::move(OnHangup)) {}
  hangup_watch(const hangup_watch &) = delete;
  hangup_watch &operator=(const hangup_watch &) = delete;
  ~hangup_watch();

  /// Creates the epoll set. Errors are system errors.
  runtime::result<void> open();
  /// Watches a connection, given its file descriptor, until it is closed.
  void add(int Connection, std::uint64_t Id) const;
  /// Returns whether the peer of a connection has closed it, even if the event has not been read yet.
  static bool peerHasClosed(int Connection);

private:
  void readEvents() const;

  runtime::loop &Loop;
  std::function<void(std::uint64_t)> OnHangup;
  st_h2o_socket_t *Socket = nullptr;
  int Fd = -1;
};

} // namespace yuccaplank::wire
