// The sizes of tasks that found no server during one pass of the placer, so that the tasks that are not
// smaller need not be tried.
#pragma once

#include "resource_amounts.hpp"

#include "dispatch.pb.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

class unplaceable_sizes {
public:
  void add(const schema::place_job &Request) {
    SizesByPool[Request.pool()].push_back(toResourceAmounts(Request.size()));
  }
  void clear() { SizesByPool.clear(); }

  /// Whether a task that is not larger in any dimension found no server in the pool.
  [[nodiscard]] bool contains(const schema::place_job &Request) const {
    auto Found = SizesByPool.find(Request.pool());
    if (Found == SizesByPool.end())
      return false;
    resource_amounts Size = toResourceAmounts(Request.size());
    return std::ranges::any_of(Found->second, [&](const resource_amounts &Unplaceable) {
      return Size.Cpu >= Unplaceable.Cpu && Size.MemoryMb >= Unplaceable.MemoryMb &&
             Size.Accelerators >= Unplaceable.Accelerators;
    });
  }
  /// Pools in which any task found no server.
  [[nodiscard]] std::vector<std::string> pools() const {
    std::vector<std::string> Result;
    for (const auto &[Pool, Sizes] : SizesByPool)
      Result.push_back(Pool);
    return Result;
  }

private:
  std::map<std::string, std::vector<resource_amounts>> SizesByPool;
};

} // namespace yuccaplank::dispatch
