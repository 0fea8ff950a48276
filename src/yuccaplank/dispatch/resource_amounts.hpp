// Room of a backend server: what is left of its cores, memory and accelerators.
#pragma once

#include "dispatch.pb.h"

#include <cstdint>

namespace yuccaplank::dispatch {

/// Negative where more is taken than there is.
struct resource_amounts {
  std::int64_t Cpu = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  void subtract(const schema::task_size &Size) {
    Cpu -= Size.cpu();
    MemoryMb -= Size.memory_mb();
    Accelerators -= Size.accelerators();
  }
  [[nodiscard]] bool fits(const schema::task_size &Size) const {
    return Cpu >= Size.cpu() && MemoryMb >= Size.memory_mb() && Accelerators >= Size.accelerators();
  }
};

inline resource_amounts toResourceAmounts(const schema::task_size &Size) {
  return {Size.cpu(), Size.memory_mb(), Size.accelerators()};
}

} // namespace yuccaplank::dispatch
