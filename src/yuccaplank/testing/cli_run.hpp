// Runs the command-line tool with a scripted HTTP client and files in memory.
#pragma once

#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/testing/scripted_http_client.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::testing {

struct cli_run {
  explicit cli_run(scripted_http_client::script Script);

  /// Returns the exit status.
  int run(const std::vector<std::string> &Arguments);

  std::map<std::string, std::string> Files;
  std::map<std::string, std::string> Environment;
  std::string Out;
  std::string Err;
  /// Whether the tool assumes that its standard error is a terminal.
  bool ErrorIsTerminal = false;
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  scripted_http_client Client;
};

} // namespace yuccaplank::testing
