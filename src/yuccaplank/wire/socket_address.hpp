// Numeric socket addresses in the form "ip:port", with IPv6 addresses in brackets, and listening sockets.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <sys/socket.h>

#include <cstdint>
#include <string_view>

namespace yuccaplank::wire {

/// Address in the form that the socket functions use.
struct socket_address {
  sockaddr_storage Bytes{};
  socklen_t Length = 0;

  /// Port in host byte order.
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&Bytes); }
  [[nodiscard]] sockaddr *get() { return reinterpret_cast<sockaddr *>(&Bytes); }
};

/// Parses "127.0.0.1:80" or "[::1]:80". Anything else, including host names, is errc::MalformedDocument.
runtime::result<socket_address> parseSocketAddress(std::string_view Text);

/// A listening TCP socket; the caller closes Fd.
struct listening_socket {
  int Fd = -1;
  /// The actual port, also if port 0 was requested.
  std::uint16_t Port = 0;
};

/// Opens a non-blocking listening socket on Address. Errors: errc::MalformedDocument for a malformed address,
/// otherwise the system error. Backlog is the number of connections that may wait to be accepted.
runtime::result<listening_socket> listenOn(std::string_view Address, int Backlog);

} // namespace yuccaplank::wire
