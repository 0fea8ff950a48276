// yuccaplankd: the daemon of an entry VM.
#include "daemon.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace options = boost::program_options;
using namespace yuccaplank;

namespace {

constexpr int ExitUsage = 2;

std::optional<schema::daemon_settings> readSettingsFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    fmt::print(stderr, "{}: cannot be read\n", File);
    return std::nullopt;
  }
  std::string Text(std::istreambuf_iterator<char>(Stream), {});
  schema::daemon_settings Settings;
  auto Issues = wire::readSettings(Text, Settings);
  if (Issues.empty())
    return Settings;
  fmt::print(stderr, "{}", wire::formatIssues(Issues));
  return std::nullopt;
}

int serve(const schema::daemon_settings &Settings) {
  std::signal(SIGPIPE, SIG_IGN);
  // 50 servers with 24 connections each exceed the usual soft limit of 1024.
  runtime::raiseDescriptorLimit();
  auto Loop = runtime::makeLoop();
  auto Daemon = daemon::makeDaemon(*Loop, Settings);
  if (!Daemon) {
    runtime::log(runtime::log_level::Error, "start_failed", {{"reason", Daemon.error().message()}});
    return 1;
  }
  return Daemon.value()->run();
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Described("yuccaplankd [options]");
  Described.add_options()("help,h", "show this text")                                     //
      ("settings,s", options::value<std::string>(), "settings file, JSON with comments")  //
      ("check-settings", options::value<std::string>(), "check a settings file and exit") //
      ("verbose,v", "log at debug level");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Described), Given);
  } catch (const options::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return ExitUsage;
  }
  if (Given.count("help") > 0) {
    std::cout << Described;
    return 0;
  }
  if (Given.count("verbose") > 0)
    runtime::setLogLevel(runtime::log_level::Debug);
  bool CheckOnly = Given.count("check-settings") > 0;
  if (!CheckOnly && Given.count("settings") == 0) {
    fmt::print(stderr, "--settings FILE is required, see --help\n");
    return ExitUsage;
  }
  auto Settings = readSettingsFile(Given[CheckOnly ? "check-settings" : "settings"].as<std::string>());
  if (!Settings)
    return ExitUsage;
  return CheckOnly ? 0 : serve(*Settings);
}
