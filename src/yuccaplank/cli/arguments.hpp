// Parses the command line. The environment provides the addresses that the command line does not give.
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

/// Returns the value of an environment variable, or an empty string when it is unset.
using environment = std::function<std::string(const std::string &Name)>;

/// Options that every command accepts.
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

  [[nodiscard]] bool boolOption(const std::string &Name) const { return Options[Name].as<bool>(); }
  /// Returns the value of a string option or positional argument; empty when it was not given.
  [[nodiscard]] std::string stringOption(const std::string &Name) const;
};

/// Error in the command line, with a message for the user.
struct usage_error {
  std::string Message;
  /// Command that was recognized, if any.
  const command *Command = nullptr;
};

/// Request for help. Command is null when the help concerns the whole program.
struct help_request {
  const command *Command = nullptr;
};

using parsed_arguments = std::variant<invocation, usage_error, help_request>;

/// Parses the arguments without the program's name.
parsed_arguments parseArguments(const std::vector<std::string> &Arguments, const environment &Environment);

/// Returns the text that "--help" prints. Command is null for the list of all commands.
std::string formatHelp(const command *Command);

} // namespace yuccaplank::cli
