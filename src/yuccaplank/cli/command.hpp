// Table of commands.
#pragma once

#include "yuccaplank/cli/arguments.hpp"
#include "yuccaplank/cli/console.hpp"
#include "yuccaplank/cli/exit_status.hpp"
#include "yuccaplank/cli/requester.hpp"

#include <span>
#include <string_view>

namespace yuccaplank::cli {

/// Listener that a command talks to; its address is then required.
enum class command_target : std::uint8_t { None, Entry, Operator };

/// What a command runs with.
struct command_context {
  const invocation &Invocation;
  const console &Console;
  requester &Requester;
  /// Makes job ids: 16 hexadecimal digits.
  std::function<std::string()> MakeJobId;
};

/// An entry of the command table.
struct command {
  /// One or two words, for example "report burn".
  std::string_view Name;
  /// Names of the positional arguments, all required, for example "FILE".
  std::string_view Positionals;
  std::string_view Summary;
  /// One command line each.
  std::string_view Examples;
  command_target Target = command_target::None;
  void (*Declare)(boost::program_options::options_description &Options) = nullptr;
  exit_status (*Run)(command_context &Context) = nullptr;
};

/// All commands in the order of the help text.
std::span<const command> commandTable();

/// Parses and runs a command line.
exit_status runCli(const std::vector<std::string> &Arguments, const environment &Environment,
                   const console &Console, requester &Requester, std::function<std::string()> MakeJobId);

// Commands by file.
exit_status runSubmit(command_context &Context);
exit_status runState(command_context &Context);
exit_status runCancel(command_context &Context);
exit_status runWaiting(command_context &Context);
exit_status runVms(command_context &Context);
exit_status runServers(command_context &Context);
exit_status runReportBurn(command_context &Context);
exit_status runTop(command_context &Context);

} // namespace yuccaplank::cli
