// Cuts servers of a simulated day off by connection resets: the servers run on, but look as if they had
// crashed.
#pragma once

#include "simulation_context.hpp"

#include <cstdint>
#include <string>

namespace yuccaplank::simulation {

class reset_cuts {
public:
  explicit reset_cuts(const simulation_context &Context) : Context(Context) {}

  /// Begins one cut after the other until the given time.
  void start(runtime::time_point Until);

private:
  void beginNext();
  void cutFromAll(const std::string &Server);
  void cutFromVm(const std::string &Server, const std::string &Vm);

  simulation_context Context;
  runtime::time_point Until{};
  std::uint64_t Count = 0;
};

} // namespace yuccaplank::simulation
