// Fuzz target for the decoders of the platform's documents and replies, with the signature that libFuzzer
// calls.
#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccaplank::platform {

/// Decodes arbitrary bytes as each kind of document and reply of the platform. Returns 1 if an accepted one
/// violates an invariant, else 0. Violations are: settings without a VM, a server without a rack, a queue
/// that no request reaches, an order reply with status 409 that counts as accepted, a rejected hold reply
/// with runs, and a run without a number or whose task is not the one that its name gives.
int fuzzDecoders(const std::uint8_t *Data, std::size_t Size);

} // namespace yuccaplank::platform
