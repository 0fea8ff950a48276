// Runs fuzz targets on the files of a corpus and on reproducible mutations of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccaplank::testing {

/// Passes each file of fuzz/Name and 3,000 mutations of it to Target. The test fails unless Target returns 0
/// each time.
void fuzzCorpus(const std::string &Name, int (*Target)(const std::uint8_t *, std::size_t));

} // namespace yuccaplank::testing
