// Global options and their sources: command line first, then the environment.
#pragma once

#include "yuccaplank/runtime/clock.hpp"
#include "yuccaplank/runtime/error.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace yuccaplank::cli {

/// Value of an environment variable; empty when unset.
using environment = std::function<std::string(const std::string &Name)>;

/// Options of every command, from the command line or the environment.
struct global_options {
  /// "ip:port" of entry VMs.
  std::vector<std::string> Entries;
  /// "ip:port" of operator listeners.
  std::vector<std::string> Operators;
  bool Json = false;
  runtime::duration Timeout = std::chrono::seconds(30);
};

struct command;

/// A command line that can be run.
struct invocation {
  const command *Command = nullptr;
  global_options Global;
  boost::program_options::variables_map Options;

  [[nodiscard]] bool flag(const std::string &Name) const { return Options[Name].as<bool>(); }
  /// Value of a text option; empty when it was not given.
  [[nodiscard]] std::string text(const std::string &Name) const;
};

/// A wrong command line, with a sentence that says what is wrong.
struct usage_error {
  std::string Message;
  /// Command that was recognized, if any.
  const command *Command = nullptr;
};

/// Request for help; Command is null for the overview.
struct help_request {
  const command *Command = nullptr;
};

using parsed_arguments = std::variant<invocation, usage_error, help_request>;

/// Arguments without the program's name.
parsed_arguments parseArguments(const std::vector<std::string> &Arguments, const environment &Environment);

/// Text of "--help".
std::string helpText(const command *Command);

} // namespace yuccaplank::cli
