// Fuzz targets of the document readers, in the form that libFuzzer calls.
#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccaplank::wire {

/// Reads arbitrary bytes as settings. Returns 0; throws std::logic_error when an accepted document changes by
/// writing and reading, or when an issue has no line.
int fuzzSettings(const std::uint8_t *Data, std::size_t Size);

/// The same for job documents.
int fuzzJob(const std::uint8_t *Data, std::size_t Size);

} // namespace yuccaplank::wire
