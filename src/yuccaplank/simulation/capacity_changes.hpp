// Changes the capacity of random servers of a simulated day, while they run or with a restart.
#pragma once

#include "simulation_context.hpp"

namespace yuccaplank::simulation {

class capacity_changes {
public:
  explicit capacity_changes(const simulation_context &Context) : Context(Context) {}

  /// Changes capacities until the given time.
  void start(runtime::time_point Until);

private:
  void scheduleNext();
  void changeCapacity(const std::string &Server);
  void setCapacity(const std::string &Server, std::uint32_t Cpu);

  simulation_context Context;
  runtime::time_point Until{};
};

} // namespace yuccaplank::simulation
