#include "yuccaplank/wire/socket_address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <string>

namespace yuccaplank::wire {
namespace {

std::error_code systemError() { return {errno, std::system_category()}; }

} // namespace

std::uint16_t socket_address::port() const {
  if (Bytes.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<const sockaddr_in6 &>(Bytes).sin6_port);
  return ntohs(reinterpret_cast<const sockaddr_in &>(Bytes).sin_port);
}

runtime::result<socket_address> parseSocketAddress(std::string_view Text) {
  auto Malformed = make_error_code(runtime::errc::MalformedDocument);
  std::size_t Colon = Text.rfind(':');
  // The system's functions take what precedes a zero byte for the whole host.
  if (Colon == std::string_view::npos || Text.find('\0') != std::string_view::npos)
    return Malformed;
  std::string Host(Text.substr(0, Colon));
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  auto [End, Error] = std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error != std::errc() || End != PortText.data() + PortText.size())
    return Malformed;
  socket_address Address;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    sockaddr_in6 V6{};
    V6.sin6_family = AF_INET6;
    V6.sin6_port = htons(Port);
    if (inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(), &V6.sin6_addr) != 1)
      return Malformed;
    std::memcpy(&Address.Bytes, &V6, sizeof(V6));
    Address.Length = sizeof(V6);
    return Address;
  }
  sockaddr_in V4{};
  V4.sin_family = AF_INET;
  V4.sin_port = htons(Port);
  if (inet_pton(AF_INET, Host.c_str(), &V4.sin_addr) != 1)
    return Malformed;
  std::memcpy(&Address.Bytes, &V4, sizeof(V4));
  Address.Length = sizeof(V4);
  return Address;
}

runtime::result<listening_socket> listenOn(std::string_view Address, int Backlog) {
  auto Parsed = parseSocketAddress(Address);
  if (!Parsed)
    return Parsed.error();
  const socket_address &Requested = Parsed.value();
  int Fd = socket(Requested.Bytes.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return systemError();
  int Enable = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  if (bind(Fd, Requested.get(), Requested.Length) != 0 || listen(Fd, Backlog) != 0) {
    std::error_code Error = systemError();
    close(Fd);
    return Error;
  }
  socket_address Bound;
  Bound.Length = sizeof(Bound.Bytes);
  getsockname(Fd, Bound.get(), &Bound.Length);
  return listening_socket{Fd, Bound.port()};
}

} // namespace yuccaplank::wire
