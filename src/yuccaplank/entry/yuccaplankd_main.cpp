// yuccaplankd: the process of an entry VM.
#include "own_settings.hpp"
#include "vm_process.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <malloc.h>

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
  // Path of the file that the platform writes.
  std::string Platform;
  // Path of the product's own settings; empty for the defaults.
  std::string Own;
};

std::optional<std::string> tryReadFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

// Like all programs of the product, reports errors on standard error.
std::optional<std::string> readFile(const std::string &File) {
  auto Content = tryReadFile(File);
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

// Makes malloc take allocations from this size, such as the buffers of large bodies, directly from the
// operating system and return them when they are freed. By default the first such release raises the size to
// that of the allocation, and the heap keeps what later ones leave.
void returnLargeAllocations() {
  constexpr int LargeBytes = 64 << 10;
  mallopt(M_MMAP_THRESHOLD, LargeBytes);
}

int serve(const settings_files &Files, entry::vm_process_options Options) {
  runtime::logToStandardOutput();
  runtime::setLogLevel(entry::logLevel(Options.OwnSettings));
  runtime::raiseDescriptorLimit();
  returnLargeAllocations();
  auto Loop = runtime::makeLoop();
  platform::settings Settings = Options.Settings;
  Options.ReadSettings = [Files](platform::settings &Updated, schema::daemon_settings &Own) {
    return readSettings(Files, Updated, Own);
  };
  Options.ReadSettingsText = [Files] {
    return tryReadFile(Files.Platform).value_or("") + tryReadFile(Files.Own).value_or("");
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
  runtime::blockSignals();
  const char *FromEnvironment = std::getenv(platform::SettingsVariable);
  options::options_description Description("yuccaplankd [options]");
  Description.add_options()("help,h", "show this text") //
      ("settings,s", options::value<std::string>()->default_value(FromEnvironment ? FromEnvironment : ""),
       "settings file of the platform (default: the file that YUCCAPLANK_BOOT names)") //
      ("own-settings", options::value<std::string>()->default_value(""),
       "the product's own settings, JSON with comments (docs/SETTINGS.md)") //
      ("check-settings", "check the settings files and exit")               //
      ("operator-port", options::value<std::uint16_t>()->default_value(0),
       "port for metrics and reports; 0 serves none");
  options::variables_map ParsedOptions;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description), ParsedOptions);
  } catch (const options::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return ExitUsage;
  }
  if (ParsedOptions.count("help") > 0) {
    std::cout << Description;
    return 0;
  }
  settings_files Files{ParsedOptions["settings"].as<std::string>(),
                       ParsedOptions["own-settings"].as<std::string>()};
  entry::vm_process_options Options;
  if (!readSettings(Files, Options.Settings, Options.OwnSettings))
    return ExitUsage;
  if (ParsedOptions.count("check-settings") > 0)
    return 0;
  Options.OperatorPort = ParsedOptions["operator-port"].as<std::uint16_t>();
  return serve(Files, std::move(Options));
}
