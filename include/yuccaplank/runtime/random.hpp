// Seeded random number generator.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <pcg_random.hpp>

#include <cstdint>
#include <random>

namespace yuccaplank::runtime {

/// Generator whose sequence is determined by its seed.
class random {
public:
  explicit random(std::uint64_t Seed) : Engine(Seed) {}
  /// Uniform in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(Engine); }
  /// Returns Period lengthened or shortened by a random part of at most Fraction of it.
  duration jitter(duration Period, double Fraction) {
    return std::chrono::duration_cast<duration>(Period * (1 + Fraction * (2 * uniform() - 1)));
  }
  /// Uniform over all 64-bit values.
  std::uint64_t next() { return Engine(); }
  pcg64 &engine() { return Engine; }

private:
  pcg64 Engine;
};

} // namespace yuccaplank::runtime
