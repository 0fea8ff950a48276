// Fuzz target of the adapter's decoders, in the form that libFuzzer calls.
#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccaplank::platform {

/// Reads arbitrary bytes as each document and reply of the platform. Returns 0, or 1 when one is accepted
/// that breaks a rule: settings without a VM, a server without a rack, a queue that no request reaches, or a
/// run without a number or of another task than its name says.
int fuzzDecoders(const std::uint8_t *Data, std::size_t Size);

} // namespace yuccaplank::platform
