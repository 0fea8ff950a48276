// Runs scenario scripts, which are written in Lua.
#pragma once

#include <string>
#include <vector>

namespace yuccaplank::scenario {

struct scenario_result {
  std::string Name;
  bool Passed = false;
  /// The current step and the error message; empty if the scenario passed.
  std::string Failure;
};

/// Runs the scenarios of a script whose names contain Filter. scenarios/README.md lists the functions that
/// scripts may call.
std::vector<scenario_result> runScript(const std::string &File, const std::string &Filter = {});

} // namespace yuccaplank::scenario
