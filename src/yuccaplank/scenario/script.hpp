// Runs scenario scripts in Lua.
#pragma once

#include <string>
#include <vector>

namespace yuccaplank::scenario {

struct scenario_result {
  std::string Name;
  bool Passed = false;
  /// What failed, with the step that was running.
  std::string Failure;
};

/// Runs every scenario of a script. See scenarios/README.md for the functions that scripts may call.
std::vector<scenario_result> runScript(const std::string &File, const std::string &Filter = {});

} // namespace yuccaplank::scenario
