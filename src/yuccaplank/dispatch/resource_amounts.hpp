// Amounts of cores, memory and accelerators: the capacity or the free capacity of a backend server.
#pragma once

#include "dispatch.pb.h"

#include <cstdint>

namespace yuccaplank::dispatch {

/// An amount of free capacity is negative when more is used than the server has.
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

inline bool areEqual(const schema::task_size &One, const schema::task_size &Other) {
  return One.cpu() == Other.cpu() && One.memory_mb() == Other.memory_mb() &&
         One.accelerators() == Other.accelerators();
}

} // namespace yuccaplank::dispatch
