// Injects random faults of VMs, links and servers into a simulated day.
#pragma once

#include "simulation_context.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace yuccaplank::simulation {

class fault_injector {
public:
  virtual ~fault_injector() = default;
  /// Injects faults until the given time; some of them last longer.
  virtual void start(runtime::time_point Until) = 0;
  /// Number of faults so far.
  [[nodiscard]] virtual std::uint64_t count() const = 0;
};

/// OnVmEnded is called when the process of a VM has ended.
std::unique_ptr<fault_injector> makeFaultInjector(const simulation_context &Context,
                                                  std::function<void(const std::string &Vm)> OnVmEnded);

} // namespace yuccaplank::simulation
