// Fuzz target for the bytes that a peer sends.
#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccaplank::wire {

/// Feeds the reader of envelopes and handshakes. The first byte selects the role (bit 0), whether the peer
/// has been authenticated before (bit 1), and the size of the pieces in which the rest arrives (bits 2 to 4,
/// as a power of 8). Returns 0, or 1 when the reader breaks a rule: an envelope of a peer that is not
/// authenticated, authentication without the key, or a handshake message passed on.
int fuzzPeerReader(const std::uint8_t *Data, std::size_t Size);

} // namespace yuccaplank::wire
