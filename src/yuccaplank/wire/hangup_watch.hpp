// Reports connections whose peer has closed its sending side. h2o does not read from an HTTP/1.1 connection
// while a request is pending, so it does not notice by itself.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <functional>

struct st_h2o_socket_t;

namespace yuccaplank::wire {

/// One epoll set for all connections; it costs one system call for each connection and none for each request.
class hangup_watch {
public:
  hangup_watch(runtime::loop &Loop, std::function<void(std::uint64_t Id)> OnHangup)
      : Loop(Loop), OnHangup(std::move(OnHangup)) {}
  hangup_watch(const hangup_watch &) = delete;
  hangup_watch &operator=(const hangup_watch &) = delete;
  ~hangup_watch();

  /// Errors are the system's.
  runtime::result<void> open();
  /// Watches a connection until it is closed.
  void add(int Connection, std::uint64_t Id) const;

private:
  void readEvents() const;

  runtime::loop &Loop;
  std::function<void(std::uint64_t)> OnHangup;
  st_h2o_socket_t *Socket = nullptr;
  int Fd = -1;
};

} // namespace yuccaplank::wire
