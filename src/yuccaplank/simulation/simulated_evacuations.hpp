// Evacuates failure domains of a simulated day and checks that nothing starts there after the limit.
#pragma once

#include "simulation_context.hpp"

#include <functional>
#include <map>
#include <string>

namespace yuccaplank::simulation {

class simulated_evacuations {
public:
  using violation_function = std::function<void(std::string Text)>;

  simulated_evacuations(const simulation_context &Context, violation_function OnViolation)
      : Context(Context), OnViolation(std::move(OnViolation)) {}

  /// Schedules the evacuations of the day, some of them repeated or of several domains at once.
  void start();

private:
  void schedule(const std::string &Domain, runtime::duration Begin, runtime::duration Length);
  void setEvacuated(const std::string &Domain, bool IsEvacuated);
  void onStartOrder(const std::string &Vm, const std::string &Server);

  simulation_context Context;
  violation_function OnViolation;
  std::map<std::string, runtime::time_point> EvacuatedAt;
};

} // namespace yuccaplank::simulation
