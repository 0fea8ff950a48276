// Commands of the command-line tool.
#pragma once

#include "yuccaplank/cli/arguments.hpp"
#include "yuccaplank/cli/console.hpp"
#include "yuccaplank/cli/exit_status.hpp"
#include "yuccaplank/cli/requester.hpp"

#include <span>
#include <string_view>

namespace yuccaplank::cli {

/// Listener that a command connects to. A command with a target requires the address of such a listener.
enum class command_target : std::uint8_t { None, Entry, Operator };

/// Command line and services that a command runs with.
struct command_context {
  const invocation &Invocation;
  const console &Console;
  requester &Requester;
  /// Generates a random job id of 16 hexadecimal digits.
  std::function<std::string()> MakeJobId;
};

/// An entry of the command table.
struct command {
  /// One or two words, for example "report burn".
  std::string_view Name;
  /// Names of the positional arguments, all required, for example "FILE".
  std::string_view Positionals;
  std::string_view Summary;
  /// Example command lines, one per line.
  std::string_view Examples;
  command_target Target = command_target::None;
  void (*DeclareOptions)(boost::program_options::options_description &Options) = nullptr;
  exit_status (*Run)(command_context &Context) = nullptr;
};

/// Returns all commands in the order of the help text.
std::span<const command> commandTable();

/// Parses a command line and runs its command.
exit_status runCli(const std::vector<std::string> &Arguments, const environment &Environment,
                   const console &Console, requester &Requester, std::function<std::string()> MakeJobId);

// Functions that run the commands, defined in job_commands.cpp, fleet_commands.cpp, evacuation_commands.cpp,
// report_commands.cpp and configuration_commands.cpp.
exit_status runSubmit(command_context &Context);
exit_status runState(command_context &Context);
exit_status runCancel(command_context &Context);
exit_status runWaiting(command_context &Context);
exit_status runVms(command_context &Context);
exit_status runServers(command_context &Context);
exit_status runEvacuations(command_context &Context);
exit_status runEvacuate(command_context &Context);
exit_status runTakeBack(command_context &Context);
exit_status runReportBurn(command_context &Context);
exit_status runTop(command_context &Context);
exit_status runCheckConfiguration(command_context &Context);

} // namespace yuccaplank::cli
