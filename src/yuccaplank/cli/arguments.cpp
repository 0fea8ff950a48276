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

// Longest accepted time; larger numbers would overflow the clock.
constexpr double MaxSeconds = 86'400;

po::options_description globalOptions() {
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

po::options_description commandOptions(const command &Command) {
  po::options_description Options("Options");
  Command.Declare(Options);
  return Options;
}

std::vector<std::string> words(std::string_view Text) {
  std::vector<std::string> Words;
  std::istringstream Stream{std::string(Text)};
  for (std::string Word; Stream >> Word;)
    Words.push_back(Word);
  return Words;
}

// Arguments in two parts: the words that may name the command, and all others in their order.
struct split_arguments {
  std::vector<std::string> Leading;
  std::vector<std::string> Rest;
};

// Global options may stand before the command. An option's value is not mistaken for the command.
split_arguments splitArguments(const std::vector<std::string> &Arguments) {
  split_arguments Split;
  po::options_description Globals = globalOptions();
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

// Removes the words of the command from Rest.
const command *takeCommand(std::vector<std::string> &Rest) {
  for (const command &Command : commandTable()) {
    std::vector<std::string> Names = words(Command.Name);
    if (Rest.size() < Names.size() || !std::equal(Names.begin(), Names.end(), Rest.begin()))
      continue;
    Rest.erase(Rest.begin(), Rest.begin() + static_cast<std::ptrdiff_t>(Names.size()));
    return &Command;
  }
  return nullptr;
}

std::string unknownCommand(const std::vector<std::string> &Rest) {
  if (Rest.empty())
    return "a command is missing.";
  for (const command &Command : commandTable())
    if (words(Command.Name).size() == 2 && words(Command.Name).front() == Rest.front())
      return Rest.size() == 1 ? fmt::format("'{}' needs a second word.", Rest[0])
                              : fmt::format("there is no command '{} {}'.", Rest[0], Rest[1]);
  return fmt::format("there is no command '{}'.", Rest.front());
}

std::string optionOrEnvironment(const po::variables_map &Options, const std::string &Name,
                                const environment &Environment) {
  if (Options.contains(Name))
    return Options[Name].as<std::string>();
  return Environment("YUCCAPLANK_" + boost::to_upper_copy(Name));
}

// Each check returns a sentence, or nothing.
std::string checkPositionals(const invocation &Invocation) {
  for (const std::string &Name : words(Invocation.Command->Positionals))
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

std::string checkTimes(const invocation &Invocation) {
  for (const std::string Name : {"timeout", "wait"}) {
    const auto *Seconds = boost::any_cast<double>(&Invocation.Options[Name].value());
    double Least = Name == "timeout" ? 1e-3 : 0;
    if (Seconds && !(*Seconds >= Least && *Seconds <= MaxSeconds))
      return fmt::format("--{} must be {} to {} seconds.", Name, Least, MaxSeconds);
  }
  return {};
}

std::string checkInvocation(const invocation &Invocation) {
  for (auto *Check : {checkPositionals, checkTarget, checkTimes})
    if (std::string Message = Check(Invocation); !Message.empty())
      return Message;
  return {};
}

void splitAddresses(const std::string &Text, std::vector<std::string> &Addresses) {
  if (!Text.empty())
    boost::split(Addresses, Text, boost::is_any_of(","));
}

void fillGlobal(invocation &Invocation, const environment &Environment) {
  const po::variables_map &Options = Invocation.Options;
  global_options &Global = Invocation.Global;
  splitAddresses(optionOrEnvironment(Options, "entry", Environment), Global.Entries);
  splitAddresses(optionOrEnvironment(Options, "operator", Environment), Global.Operators);
  Global.Json = Options["json"].as<bool>();
  double Seconds = Options["timeout"].as<double>();
  if (std::isfinite(Seconds) && Seconds <= MaxSeconds)
    Global.Timeout = runtime::fromMs(Seconds * 1000);
}

parsed_arguments parseCommand(const command &Command, const std::vector<std::string> &Arguments,
                              const environment &Environment) {
  po::options_description All;
  All.add(globalOptions()).add(commandOptions(Command));
  po::positional_options_description Positions;
  for (const std::string &Name : words(Command.Positionals)) {
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
  fillGlobal(Invocation, Environment);
  if (std::string Message = checkInvocation(Invocation); !Message.empty())
    return usage_error{Message, &Command};
  return Invocation;
}

} // namespace

std::string invocation::text(const std::string &Name) const {
  return Options.contains(Name) ? Options[Name].as<std::string>() : std::string();
}

parsed_arguments parseArguments(const std::vector<std::string> &Arguments, const environment &Environment) {
  split_arguments Split = splitArguments(Arguments);
  const command *Command = takeCommand(Split.Rest);
  std::vector<std::string> All = Split.Leading;
  All.insert(All.end(), Split.Rest.begin(), Split.Rest.end());
  if (!Command) {
    for (const std::string &Argument : All)
      if (Argument == "--help")
        return help_request{};
    return usage_error{unknownCommand(Split.Rest), nullptr};
  }
  try {
    return parseCommand(*Command, All, Environment);
  } catch (const po::error &Error) {
    return usage_error{fmt::format("{}.", Error.what()), Command};
  }
}

std::string helpText(const command *Command) {
  std::ostringstream Text;
  if (!Command) {
    Text << "Usage: yuccaplank COMMAND [arguments] [options]\n\nCommands:\n";
    for (const command &Entry : commandTable())
      Text << fmt::format("  {:<18}{}\n", Entry.Name, Entry.Summary);
    Text << "\n" << globalOptions();
    Text << "\nExit status: 0 done, 1 other error, 2 usage, 3 failed (may have run), 4 refused (not run),\n"
            "5 outcome unknown.\n";
    return Text.str();
  }
  std::string Separator = Command->Positionals.empty() ? "" : " ";
  Text << fmt::format("Usage: yuccaplank {}{}{} [options]\n\n{}\n\n", Command->Name, Separator,
                      Command->Positionals, Command->Summary);
  po::options_description Own = commandOptions(*Command);
  if (!Own.options().empty())
    Text << Own << "\n";
  Text << globalOptions() << "\nExamples:\n";
  std::istringstream Examples{std::string(Command->Examples)};
  for (std::string Line; std::getline(Examples, Line);)
    Text << "  " << Line << "\n";
  return Text.str();
}

} // namespace yuccaplank::cli
