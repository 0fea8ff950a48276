// Framing and handshake of a peer connection, independent of the underlying transport.
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
  /// PeerNonceBytes random bytes, newly generated for each connection.
  std::string Nonce;
  std::size_t MaxEnvelopeBytes = 0;
};

/// Encodes an envelope with its length as prefix.
std::string encodeEnvelope(const schema::envelope &Message);

/// One side of a connection. Both sides send their hello immediately and answer the other side's hello with a
/// proof. Each side considers the other one authenticated once it has verified the other side's proof. A
/// proof is an HMAC-SHA-256 with the shared key over the sender's role, the client's hello and the server's
/// hello.
class peer_protocol {
public:
  explicit peer_protocol(peer_protocol_options Options);

  /// Returns the encoded hello, which starts the handshake.
  [[nodiscard]] std::string helloFrame() const;
  /// Adds received bytes to the input.
  void feed(std::string_view Data);
  /// Returns the next envelope of the authenticated peer, or nothing if more input is needed. Handshake
  /// messages are processed here. After an error the connection must be closed: errc::PeerRejected if
  /// authentication failed, errc::BodyTooLarge, or errc::MalformedDocument.
  runtime::result<std::optional<schema::envelope>> next();
  /// Returns and clears the handshake bytes that have to be sent.
  std::string takeHandshakeOutput();
  [[nodiscard]] bool authenticated() const { return Authenticated; }
  /// The peer's hello, once received; proved only if authenticated() is true.
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
