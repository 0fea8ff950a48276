// Command line parsing and event loop of the stand-in programs.
#pragma once

#include "yuccaplank/runtime/loop.hpp"

#include <boost/program_options.hpp>

#include <functional>

namespace yuccaplank::standin {

/// Parses the command line, calls Run with the parsed options, and returns the exit status. "--help" prints
/// the options. An exception of the parser or of Run is treated as a usage error: its text and the options
/// are printed, and the status is 2.
int runProgram(int Count, char **Arguments, const boost::program_options::options_description &Description,
               const std::function<int(const boost::program_options::variables_map &ParsedOptions)> &Run);

/// Runs the loop until SIGTERM or SIGINT; SIGHUP is ignored.
void runUntilSignal(runtime::loop &Loop);

} // namespace yuccaplank::standin
