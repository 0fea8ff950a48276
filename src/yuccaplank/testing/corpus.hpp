// Runs fuzz targets over the files of a corpus and mutations of them, the same in each run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccaplank::testing {

/// Feeds each file of fuzz/Name and 3,000 mutations of it to Target, which returns 0 unless a rule is broken.
void fuzzCorpus(const std::string &Name, int (*Target)(const std::uint8_t *, std::size_t));

} // namespace yuccaplank::testing
