// Numeric socket addresses in the form "ip:port", with IPv6 addresses in brackets.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <sys/socket.h>

#include <cstdint>
#include <string_view>

namespace yuccaplank::wire {

/// Address in the form that the socket functions take.
struct socket_address {
  sockaddr_storage Bytes{};
  socklen_t Length = 0;

  /// Port in host byte order.
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&Bytes); }
  [[nodiscard]] sockaddr *get() { return reinterpret_cast<sockaddr *>(&Bytes); }
};

/// Parses "127.0.0.1:80" or "[::1]:80"; errc::MalformedDocument for anything else, host names included.
runtime::result<socket_address> parseSocketAddress(std::string_view Text);

} // namespace yuccaplank::wire
