// Authenticated message transport between entry VMs, on HTTP/2 (nghttp2). Messages are called envelopes.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace yuccaplank::wire {

/// Identity, address and limits of a transport.
struct peer_transport_options {
  /// Listening address in the form "ip:port"; port 0 selects a free port.
  std::string Address;
  /// Shared key; in the handshake both sides prove that they know it.
  std::string Key;
  schema::incarnation Self;
  std::string Domain;
  std::size_t MaxEnvelopeBytes = 32U << 20U;
  /// Limit for the bytes that are queued to one peer; send() fails beyond it.
  std::size_t MaxQueuedBytes = 64U << 20U;
  runtime::duration ConnectTimeout = std::chrono::milliseconds(500);
};

/// Handlers run on the event loop.
struct peer_transport_handlers {
  /// An envelope from an authenticated peer was received.
  std::function<void(const schema::incarnation &From, const std::string &Domain, schema::envelope Message)>
      OnMessage;
  /// The last connection to the incarnation has closed; envelopes in flight may be lost.
  std::function<void(const schema::incarnation &Peer)> OnClosed;
  /// A connection to an address could not be established or authenticated.
  std::function<void(const std::string &Address, std::error_code Error)> OnConnectFailed;
};

/// Connections to all peers. One connection carries envelopes in both directions.
class peer_transport {
public:
  virtual ~peer_transport() = default;
  /// Queues an envelope for the VM at an address and connects if needed. Envelopes arrive in order or not at
  /// all. If Vm is empty, any VM at the address is accepted; Address may be empty while the VM is connected.
  /// Errors: errc::BodyTooLarge for an oversized envelope, errc::QueueFull for a full queue. A full queue
  /// closes an established connection, because its peer has stopped reading.
  virtual std::error_code send(const std::string &Vm, const std::string &Address,
                               schema::envelope Message) = 0;
  /// Closes all connections to a VM.
  virtual void disconnect(const std::string &Vm) = 0;
  /// Listening port.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Envelopes and bytes transferred since the start.
  struct counters {
    std::uint64_t MessagesSent = 0;
    std::uint64_t BytesSent = 0;
    std::uint64_t BytesReceived = 0;
  };
  [[nodiscard]] virtual counters totals() const = 0;
};

/// Creates a transport that is already listening. Errors: errc::MissingField for an empty key,
/// errc::MalformedDocument for a malformed address, otherwise the system error.
runtime::result<std::unique_ptr<peer_transport>>
makePeerTransport(runtime::loop &Loop, peer_transport_options Options, peer_transport_handlers Handlers);

} // namespace yuccaplank::wire
