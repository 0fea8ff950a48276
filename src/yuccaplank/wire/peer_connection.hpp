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

/// Receives the events of connections. It may call any function of the connection from within a handler, but
/// must not destroy it there.
class peer_connection_owner {
public:
  virtual ~peer_connection_owner() = default;
  /// The peer has proved its identity.
  virtual void onAuthenticated(peer_connection &Connection) = 0;
  virtual void onEnvelope(peer_connection &Connection, schema::envelope Message) = 0;
  /// Called once. The socket stays open until the connection is destroyed.
  virtual void onClosed(peer_connection &Connection, runtime::errc Reason) = 0;
  virtual void countReceived(std::size_t Bytes) = 0;
  virtual void countSent(std::size_t Bytes) = 0;
};

struct peer_connection_options {
  std::uint64_t Id = 0;
  peer_protocol_options Protocol;
  /// Limit for connecting and the handshake together.
  runtime::duration HandshakeTimeout{};
  /// Only for clients: the expected VM (empty accepts any VM) and its address.
  std::string Vm;
  std::string Address;
};

class peer_connection {
public:
  virtual ~peer_connection() = default;
  /// Queues an encoded envelope. All envelopes queued in one loop iteration are written together.
  virtual void send(std::string_view Frame) = 0;
  virtual void close(runtime::errc Reason) = 0;
  [[nodiscard]] virtual std::uint64_t id() const = 0;
  [[nodiscard]] virtual bool closed() const = 0;
  [[nodiscard]] virtual bool authenticated() const = 0;
  /// Incarnation that the peer claims to be; proved only if authenticated() is true.
  [[nodiscard]] virtual const schema::incarnation &peer() const = 0;
  /// Failure domain that the peer claims to be in.
  [[nodiscard]] virtual const std::string &domain() const = 0;
  /// Address to which a client connected; empty on the server side.
  [[nodiscard]] virtual const std::string &address() const = 0;
  /// VM that a client expects, or that the peer claims to be; empty if unknown.
  [[nodiscard]] virtual std::string vm() const = 0;
  [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
};

/// Connects to Options.Address.
runtime::result<std::unique_ptr<peer_connection>>
connectPeer(runtime::loop &Loop, peer_connection_owner &Owner, peer_connection_options Options);
/// Creates a connection on an accepted socket and takes ownership of the socket.
std::unique_ptr<peer_connection> acceptPeer(runtime::loop &Loop, peer_connection_owner &Owner,
                                            peer_connection_options Options, st_h2o_socket_t *Socket);

} // namespace yuccaplank::wire
