// Framing and handshake of a peer connection, independent of its transport.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/error.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccaplank::wire {

enum class peer_role : std::uint8_t { Client, Server };

/// Bytes of a handshake nonce.
inline constexpr std::size_t PeerNonceBytes = 32;

struct peer_protocol_options {
  peer_role Role = peer_role::Client;
  std::string Key;
  schema::incarnation Self;
  std::string Domain;
  /// Fresh random bytes for each connection, PeerNonceBytes of them.
  std::string Nonce;
  std::size_t MaxEnvelopeBytes = 0;
};

/// Length-delimited form of an envelope.
std::string encodeEnvelope(const schema::envelope &Message);

/// One end of a connection. Both ends send their hello at once, answer the other's hello with a proof, and
/// count as authenticated when the other's proof is right. A proof is HMAC-SHA-256 with the shared key over
/// the role of its sender and the hellos of client and server.
class peer_protocol {
public:
  explicit peer_protocol(peer_protocol_options Options);

  /// Frame that opens the handshake.
  [[nodiscard]] std::string helloFrame() const;
  /// Appends received bytes.
  void feed(std::string_view Data);
  /// Next envelope of the authenticated peer, or nothing when more bytes are needed. Handshake messages are
  /// consumed here. After an error the connection has to be closed: errc::PeerRejected when authentication
  /// failed, errc::BodyTooLarge, or errc::MalformedDocument.
  runtime::result<std::optional<schema::envelope>> next();
  /// Handshake bytes that have to be sent.
  std::string takeHandshakeOutput();
  [[nodiscard]] bool authenticated() const { return Authenticated; }
  /// Claims of the peer, once its hello has arrived; proven only when authenticated.
  [[nodiscard]] const std::optional<schema::hello> &peer() const { return Peer; }

private:
  struct frame {
    std::size_t HeaderBytes = 0;
    std::size_t BodyBytes = 0;
  };
  [[nodiscard]] runtime::result<std::optional<frame>> nextFrame() const;
  runtime::result<void> onHandshake(const schema::envelope &Message, std::string_view Body);
  runtime::result<void> onHello(const schema::hello &Hello, std::string_view Body);
  [[nodiscard]] std::string computeProof(peer_role Prover) const;
  void compactInput();

  peer_protocol_options Options;
  std::string LocalHelloBytes;
  std::string PeerHelloBytes;
  std::optional<schema::hello> Peer;
  bool Authenticated = false;
  std::string Input;
  std::size_t ConsumedBytes = 0;
  std::string Reply;
};

} // namespace yuccaplank::wire
