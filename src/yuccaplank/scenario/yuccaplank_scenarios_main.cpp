// yuccaplank-scenarios: runs the scenarios of a folder and prints "N passed, N failed" at the end.
#include "script.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace options = boost::program_options;
using namespace yuccaplank;

int main(int Count, char **Arguments) {
  options::options_description Description("yuccaplank-scenarios [options] FOLDER");
  Description.add_options()("help,h", "show this text")("folder", options::value<std::string>(),
                                                        "folder of the scripts to run")(
      "filter,f", options::value<std::string>()->default_value(""),
      "runs only scenarios whose name contains this text")("logs", "shows the log of the VMs");
  options::positional_options_description Positional;
  Positional.add("folder", 1);
  options::variables_map Values;
  try {
    options::store(
        options::command_line_parser(Count, Arguments).options(Description).positional(Positional).run(),
        Values);
  } catch (const options::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return 2;
  }
  if (Values.count("help") > 0 || Values.count("folder") == 0) {
    std::cout << Description;
    return Values.count("help") > 0 ? 0 : 2;
  }
  if (Values.count("logs") == 0)
    runtime::setLogLevel(runtime::log_level::Error);
  std::vector<std::filesystem::path> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(Values["folder"].as<std::string>()))
    if (Entry.path().extension() == ".lua")
      Files.push_back(Entry.path());
  std::sort(Files.begin(), Files.end());
  int Passed = 0;
  int Failed = 0;
  for (const auto &File : Files)
    for (const auto &Result : scenario::runScript(File, Values["filter"].as<std::string>())) {
      fmt::print("{} {}: {}\n", Result.Passed ? "pass" : "FAIL", File.filename().string(), Result.Name);
      if (!Result.Passed)
        fmt::print("     {}\n", Result.Failure);
      ++(Result.Passed ? Passed : Failed);
    }
  fmt::print("{} passed, {} failed\n", Passed, Failed);
  return Failed == 0 ? 0 : 1;
}
