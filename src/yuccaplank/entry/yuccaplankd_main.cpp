// yuccaplankd: the process of an entry VM.
#include "own_settings.hpp"
#include "vm_process.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace options = boost::program_options;
using namespace yuccaplank;

namespace {

constexpr int ExitUsage = 2;

struct settings_files {
  // Written by the platform.
  std::string Platform;
  // The product's own; empty for the defaults.
  std::string Own;
};

std::optional<std::string> contentOf(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

// All programs of the product report what is wrong on standard error.
std::optional<std::string> readFile(const std::string &File) {
  auto Content = contentOf(File);
  if (!Content)
    fmt::print(stderr, "{}: cannot be read\n", File);
  return Content;
}

bool readPlatformSettings(const std::string &File, platform::settings &Settings) {
  auto Text = readFile(File);
  if (!Text)
    return false;
  auto Issues = platform::readSettings(*Text, Settings);
  for (const platform::settings_issue &Issue : Issues)
    fmt::print(stderr, "{}: {} at '{}'\n", File, runtime::errcName(Issue.Reason), Issue.Path);
  return Issues.empty();
}

bool readOwnSettings(const std::string &File, schema::daemon_settings &Settings) {
  if (File.empty())
    return true;
  auto Text = readFile(File);
  if (!Text)
    return false;
  auto Issues = wire::readSettings(*Text, Settings);
  if (!Issues.empty())
    fmt::print(stderr, "{}:\n{}", File, wire::formatIssues(Issues));
  return Issues.empty();
}

bool readSettings(const settings_files &Files, platform::settings &Settings, schema::daemon_settings &Own) {
  bool Readable = readPlatformSettings(Files.Platform, Settings);
  return readOwnSettings(Files.Own, Own) && Readable;
}

int serve(const settings_files &Files, entry::vm_process_options Options) {
  runtime::logToStandardOutput();
  runtime::setLogLevel(entry::logLevel(Options.Own));
  runtime::raiseDescriptorLimit();
  auto Loop = runtime::makeLoop();
  platform::settings Settings = Options.Settings;
  Options.ReadSettings = [Files](platform::settings &Updated, schema::daemon_settings &Own) {
    return readSettings(Files, Updated, Own);
  };
  Options.SettingsText = [Files] {
    return contentOf(Files.Platform).value_or("") + contentOf(Files.Own).value_or("");
  };
  auto Process = entry::makeVmProcess(*Loop, std::move(Options));
  if (!Process) {
    runtime::log(runtime::log_level::Error, "start_failed", {{"reason", Process.error().message()}});
    return 1;
  }
  runtime::log(runtime::log_level::Info, "started",
               {{"vm", Settings.Vm}, {"domain", Settings.Domain}, {"callers", Settings.CallerAddress}});
  return Process.value()->run();
}

} // namespace

int main(int Count, char **Arguments) {
  const char *FromEnvironment = std::getenv(platform::SettingsVariable);
  options::options_description Described("yuccaplankd [options]");
  Described.add_options()("help,h", "show this text") //
      ("settings,s", options::value<std::string>()->default_value(FromEnvironment ? FromEnvironment : ""),
       "settings file of the platform (default: the file that YUCCAPLANK_BOOT names)") //
      ("own-settings", options::value<std::string>()->default_value(""),
       "the product's own settings, JSON with comments (docs/SETTINGS.md)") //
      ("check-settings", "check the settings files and exit")               //
      ("operator-port", options::value<std::uint16_t>()->default_value(0),
       "port for metrics and reports; 0 serves none");
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
  settings_files Files{Given["settings"].as<std::string>(), Given["own-settings"].as<std::string>()};
  entry::vm_process_options Options;
  if (!readSettings(Files, Options.Settings, Options.Own))
    return ExitUsage;
  if (Given.count("check-settings") > 0)
    return 0;
  Options.OperatorPort = Given["operator-port"].as<std::uint16_t>();
  return serve(Files, std::move(Options));
}
