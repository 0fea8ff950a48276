#include "yuccaplank/standin/program.hpp"

#include <fmt/format.h>

#include <csignal>
#include <exception>
#include <sstream>
#include <string>

namespace yuccaplank::standin {
namespace {

namespace po = boost::program_options;

constexpr int UsageStatus = 2;

std::string optionsText(const po::options_description &Description) {
  return (std::ostringstream() << Description).str();
}

} // namespace

int runProgram(int Count, char **Arguments, const po::options_description &Description,
               const std::function<int(const po::variables_map &ParsedOptions)> &Run) {
  try {
    po::variables_map ParsedOptions;
    po::store(po::parse_command_line(Count, Arguments, Description), ParsedOptions);
    po::notify(ParsedOptions);
    if (ParsedOptions.contains("help")) {
      fmt::print("{}\n", optionsText(Description));
      return 0;
    }
    return Run(ParsedOptions);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n{}\n", Error.what(), optionsText(Description));
    return UsageStatus;
  }
}

void runUntilSignal(runtime::loop &Loop) {
  Loop.setSignalHandler([&](int Signal) {
    if (Signal != SIGHUP)
      Loop.stop();
  });
  Loop.run();
}

} // namespace yuccaplank::standin
