// Fuzz targets for the document readers, with the signature that libFuzzer calls.
#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccaplank::wire {

/// Reads arbitrary bytes as settings. Returns 0. Throws std::logic_error if an accepted document changes when
/// it is written and read again, or if an issue is incomplete or refers to no line of the document.
int fuzzSettings(const std::uint8_t *Data, std::size_t Size);

/// Like fuzzSettings(), for job documents.
int fuzzJob(const std::uint8_t *Data, std::size_t Size);

} // namespace yuccaplank::wire
