// Fuzz target for the peer protocol.
#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccaplank::wire {

/// Feeds bytes of a peer to a peer_protocol. The first byte selects the role (bit 0), whether the peer is
/// already authenticated (bit 1), and the size of the chunks in which the other bytes arrive (bits 2 to 4, as
/// a power of 8). Returns 0, or 1 if the reader violates a rule: it must not return envelopes of a peer that
/// is not authenticated, authenticate a peer without the key, or return a handshake message.
int fuzzPeerReader(const std::uint8_t *Data, std::size_t Size);

} // namespace yuccaplank::wire
