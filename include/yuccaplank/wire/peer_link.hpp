// Authenticated streams of envelopes between entry VMs, on nghttp2.
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
  /// "ip:port" of the peer listener; port 0 takes a free port.
  std::string Address;
  /// Shared key; the handshake proves that both sides know it.
  std::string Key;
  schema::incarnation Self;
  std::string Domain;
  std::size_t MaxEnvelopeBytes = 32U << 20U;
  /// Bytes queued to one peer, beyond which send() fails.
  std::size_t MaxQueuedBytes = 64U << 20U;
  runtime::duration ConnectTimeout = std::chrono::milliseconds(500);
};

/// Handlers run on the loop.
struct peer_transport_handlers {
  /// An envelope from an authenticated peer.
  std::function<void(const schema::incarnation &From, const std::string &Domain, schema::envelope Message)>
      OnMessage;
  /// The last connection to the incarnation has closed; messages in flight may be lost.
  std::function<void(const schema::incarnation &Peer)> OnClosed;
  /// A connection to an address could not be established or authenticated.
  std::function<void(const std::string &Address, std::error_code Error)> OnConnectFailed;
};

/// Connections to all peers. One connection serves both directions.
class peer_transport {
public:
  virtual ~peer_transport() = default;
  /// Queues an envelope for the VM at an address, connecting when needed. Envelopes arrive in order or not at
  /// all. An empty Vm takes whichever VM answers at the address; an empty address works while the VM is
  /// connected. Errors: errc::BodyTooLarge for an oversized envelope, errc::QueueFull; the latter closes an
  /// established connection, because its peer has stopped reading.
  virtual std::error_code send(const std::string &Vm, const std::string &Address,
                               schema::envelope Message) = 0;
  /// Closes the connection to a VM.
  virtual void disconnect(const std::string &Vm) = 0;
  /// Port of the peer listener.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Envelopes and bytes sent since the start.
  struct counters {
    std::uint64_t MessagesSent = 0;
    std::uint64_t BytesSent = 0;
    std::uint64_t BytesReceived = 0;
  };
  [[nodiscard]] virtual counters totals() const = 0;
};

/// Listens at once. Errors: errc::MalformedDocument for a malformed address, otherwise the system's error.
runtime::result<std::unique_ptr<peer_transport>>
makePeerTransport(runtime::loop &Loop, peer_transport_options Options, peer_transport_handlers Handlers);

} // namespace yuccaplank::wire
