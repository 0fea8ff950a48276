// One peer connection: an HTTP/2 session with a single stream on an h2o socket.
#pragma once

#include "peer_protocol.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

struct st_h2o_socket_t;

namespace yuccaplank::wire {

class peer_connection;

/// Owner of connections. It may call any function of the connection from within these, but not destroy it.
class peer_connection_owner {
public:
  virtual ~peer_connection_owner() = default;
  /// The peer has proven its identity.
  virtual void onAuthenticated(peer_connection &Connection) = 0;
  virtual void onEnvelope(peer_connection &Connection, schema::envelope Message) = 0;
  /// Called once; the socket stays open until the connection is destroyed.
  virtual void onClosed(peer_connection &Connection, runtime::errc Reason) = 0;
  virtual void countReceived(std::size_t Bytes) = 0;
  virtual void countSent(std::size_t Bytes) = 0;
};

struct peer_connection_options {
  std::uint64_t Id = 0;
  peer_protocol_options Protocol;
  /// Time for connecting and the handshake together.
  runtime::duration HandshakeTimeout{};
  /// Client only: the VM that is expected, empty for any, and its address.
  std::string Vm;
  std::string Address;
};

class peer_connection {
public:
  virtual ~peer_connection() = default;
  /// Queues an encoded envelope; the frames of one loop turn are written together.
  virtual void send(std::string_view Frame) = 0;
  virtual void close(runtime::errc Reason) = 0;
  [[nodiscard]] virtual std::uint64_t id() const = 0;
  [[nodiscard]] virtual bool closed() const = 0;
  [[nodiscard]] virtual bool authenticated() const = 0;
  /// Incarnation that the peer claims; proven only when authenticated.
  [[nodiscard]] virtual const schema::incarnation &peer() const = 0;
  /// Failure domain that the peer claims.
  [[nodiscard]] virtual const std::string &domain() const = 0;
  /// Address of a client connection; empty on the server side.
  [[nodiscard]] virtual const std::string &address() const = 0;
  /// The VM that a client expects or that a server's peer claims to be; empty when unknown.
  [[nodiscard]] virtual std::string vm() const = 0;
  [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
};

/// Connects to Options.Address.
runtime::result<std::unique_ptr<peer_connection>>
connectPeer(runtime::loop &Loop, peer_connection_owner &Owner, peer_connection_options Options);
/// Takes over an accepted socket.
std::unique_ptr<peer_connection> acceptPeer(runtime::loop &Loop, peer_connection_owner &Owner,
                                            peer_connection_options Options, st_h2o_socket_t *Socket);

} // namespace yuccaplank::wire
