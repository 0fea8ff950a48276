#include "yuccaplank/cli/arguments.hpp"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/wire/socket_address.hpp"

#include <boost/algorithm/string.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cmath>
#include <sstream>

namespace yuccaplank::cli {
namespace {

namespace po = boost::program_options;

// Longest accepted timeout or wait; larger numbers would overflow the clock.
constexpr double MaxDurationS = 86'400;

po::options_description makeGlobalOptions() {
  po::options_description Options("Global options");
  Options.add_options()("entry", po::value<std::string>()->value_name("IP:PORT[,...]"),
                        "entry VMs; default: environment YUCCAPLANK_ENTRY");
  Options.add_options()("operator", po::value<std::string>()->value_name("IP:PORT[,...]"),
                        "operator listeners of entry VMs; default: environment YUCCAPLANK_OPERATOR");
  Options.add_options()("json", po::bool_switch(), "print JSON");
  Options.add_options()("timeout", po::value<double>()->value_name("SECONDS")->default_value(30, "30"),
                        "time to wait for an answer");
  Options.add_options()("help", po::bool_switch(), "print this help");
  return Options;
}

po::options_description makeCommandOptions(const command &Command) {
  po::options_description Options("Options");
  Command.DeclareOptions(Options);
  return Options;
}

std::vector<std::string> splitWords(std::string_view Text) {
  std::vector<std::string> Words;
  std::istringstream Stream{std::string(Text)};
  for (std::string Word; Stream >> Word;)
    Words.push_back(Word);
  return Words;
}

// Arguments in two parts: the options that precede the command, and the command with all that follows it.
struct split_arguments {
  std::vector<std::string> Leading;
  std::vector<std::string> Rest;
};

// Separates the options that precede the command together with their values, so that a value is not mistaken
// for the command.
split_arguments splitArguments(const std::vector<std::string> &Arguments) {
  split_arguments Split;
  po::options_description Globals = makeGlobalOptions();
  std::size_t Index = 0;
  while (Index < Arguments.size() && Arguments[Index].starts_with("--")) {
    std::string Name = Arguments[Index].substr(2);
    Split.Leading.push_back(Arguments[Index++]);
    const po::option_description *Option = Globals.find_nothrow(Name, false);
    bool TakesValue = Option && Option->semantic()->max_tokens() > 0;
    if (TakesValue && Index < Arguments.size())
      Split.Leading.push_back(Arguments[Index++]);
  }
  Split.Rest.assign(Arguments.begin() + static_cast<std::ptrdiff_t>(Index), Arguments.end());
  return Split;
}

// Finds the command that Rest begins with, and removes its words from Rest. Returns null if there is none.
const command *extractCommand(std::vector<std::string> &Rest) {
  for (const command &Command : commandTable()) {
    std::vector<std::string> Names = splitWords(Command.Name);
    if (Rest.size() < Names.size() || !std::equal(Names.begin(), Names.end(), Rest.begin()))
      continue;
    Rest.erase(Rest.begin(), Rest.begin() + static_cast<std::ptrdiff_t>(Names.size()));
    return &Command;
  }
  return nullptr;
}

std::string describeUnknownCommand(const std::vector<std::string> &Rest) {
  if (Rest.empty())
    return "a command is missing.";
  for (const command &Command : commandTable())
    if (splitWords(Command.Name).size() == 2 && splitWords(Command.Name).front() == Rest.front())
      return Rest.size() == 1 ? fmt::format("'{}' needs a second word.", Rest[0])
                              : fmt::format("there is no command '{} {}'.", Rest[0], Rest[1]);
  return fmt::format("there is no command '{}'.", Rest.front());
}

std::string readOptionOrEnvironment(const po::variables_map &Options, const std::string &Name,
                                    const environment &Environment) {
  if (Options.contains(Name))
    return Options[Name].as<std::string>();
  return Environment("YUCCAPLANK_" + boost::to_upper_copy(Name));
}

// Each of the following checks returns an error message, or an empty string when the check passes.
std::string checkPositionals(const invocation &Invocation) {
  for (const std::string &Name : splitWords(Invocation.Command->Positionals))
    if (!Invocation.Options.contains(Name))
      return fmt::format("'{}' needs {}.", Invocation.Command->Name, Name);
  return {};
}

bool isAddress(std::string_view Text) {
  auto Address = wire::parseSocketAddress(Text);
  return Address && Address.value().port() != 0;
}

std::string checkTarget(const invocation &Invocation) {
  const global_options &Global = Invocation.Global;
  command_target Target = Invocation.Command->Target;
  if (Target == command_target::Entry && Global.Entries.empty())
    return "no entry VM is given; use --entry or YUCCAPLANK_ENTRY.";
  if (Target == command_target::Operator && Global.Operators.empty())
    return "no operator listener is given; use --operator or YUCCAPLANK_OPERATOR.";
  std::vector<std::string> Addresses = Global.Entries;
  Addresses.insert(Addresses.end(), Global.Operators.begin(), Global.Operators.end());
  for (const std::string &Address : Addresses)
    if (!isAddress(Address))
      return fmt::format("'{}' is not an address of the form ip:port.", Address);
  return {};
}

std::string checkDurations(const invocation &Invocation) {
  for (const std::string Name : {"timeout", "wait"}) {
    const auto *Seconds = boost::any_cast<double>(&Invocation.Options[Name].value());
    double Minimum = Name == "timeout" ? 1e-3 : 0;
    if (Seconds && !(*Seconds >= Minimum && *Seconds <= MaxDurationS))
      return fmt::format("--{} must be {} to {} seconds.", Name, Minimum, MaxDurationS);
  }
  return {};
}

std::string checkInvocation(const invocation &Invocation) {
  for (auto *Check : {checkPositionals, checkTarget, checkDurations})
    if (std::string Message = Check(Invocation); !Message.empty())
      return Message;
  return {};
}

void splitAddresses(const std::string &Text, std::vector<std::string> &Addresses) {
  if (!Text.empty())
    boost::split(Addresses, Text, boost::is_any_of(","));
}

void readGlobalOptions(invocation &Invocation, const environment &Environment) {
  const po::variables_map &Options = Invocation.Options;
  global_options &Global = Invocation.Global;
  splitAddresses(readOptionOrEnvironment(Options, "entry", Environment), Global.Entries);
  splitAddresses(readOptionOrEnvironment(Options, "operator", Environment), Global.Operators);
  Global.Json = Options["json"].as<bool>();
  double Seconds = Options["timeout"].as<double>();
  if (std::isfinite(Seconds) && Seconds <= MaxDurationS)
    Global.Timeout = runtime::fromMs(Seconds * 1000);
}

parsed_arguments parseCommand(const command &Command, const std::vector<std::string> &Arguments,
                              const environment &Environment) {
  po::options_description All;
  All.add(makeGlobalOptions()).add(makeCommandOptions(Command));
  po::positional_options_description Positions;
  for (const std::string &Name : splitWords(Command.Positionals)) {
    All.add_options()(Name.c_str(), po::value<std::string>());
    Positions.add(Name.c_str(), 1);
  }
  invocation Invocation;
  Invocation.Command = &Command;
  po::command_line_parser Parser(Arguments);
  auto Style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
  po::store(Parser.options(All).positional(Positions).style(Style).run(), Invocation.Options);
  if (Invocation.Options["help"].as<bool>())
    return help_request{&Command};
  po::notify(Invocation.Options);
  readGlobalOptions(Invocation, Environment);
  if (std::string Message = checkInvocation(Invocation); !Message.empty())
    return usage_error{Message, &Command};
  return Invocation;
}

} // namespace

std::string invocation::stringOption(const std::string &Name) const {
  return Options.contains(Name) ? Options[Name].as<std::string>() : std::string();
}

parsed_arguments parseArguments(const std::vector<std::string> &Arguments, const environment &Environment) {
  split_arguments Split = splitArguments(Arguments);
  const command *Command = extractCommand(Split.Rest);
  std::vector<std::string> All = Split.Leading;
  All.insert(All.end(), Split.Rest.begin(), Split.Rest.end());
  if (!Command) {
    for (const std::string &Argument : All)
      if (Argument == "--help")
        return help_request{};
    return usage_error{describeUnknownCommand(Split.Rest), nullptr};
  }
  try {
    return parseCommand(*Command, All, Environment);
  } catch (const po::error &Error) {
    return usage_error{fmt::format("{}.", Error.what()), Command};
  }
}

std::string formatHelp(const command *Command) {
  std::ostringstream Text;
  if (!Command) {
    Text << "Usage: yuccaplank COMMAND [arguments] [options]\n\nCommands:\n";
    for (const command &Entry : commandTable())
      Text << fmt::format("  {:<21}{}\n", Entry.Name, Entry.Summary);
    Text << "\n" << makeGlobalOptions();
    Text << "\nExit status: 0 done, 1 other error, 2 usage, 3 failed (may have run), 4 refused (not run),\n"
            "5 outcome unknown.\n";
    return Text.str();
  }
  std::string Separator = Command->Positionals.empty() ? "" : " ";
  Text << fmt::format("Usage: yuccaplank {}{}{} [options]\n\n{}\n\n", Command->Name, Separator,
                      Command->Positionals, Command->Summary);
  po::options_description CommandOptions = makeCommandOptions(*Command);
  if (!CommandOptions.options().empty())
    Text << CommandOptions << "\n";
  Text << makeGlobalOptions() << "\nExamples:\n";
  std::istringstream Examples{std::string(Command->Examples)};
  for (std::string Line; std::getline(Examples, Line);)
    Text << "  " << Line << "\n";
  return Text.str();
}

} // namespace yuccaplank::cli
