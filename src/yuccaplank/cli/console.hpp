// Access of the commands to the terminal and to files. Tests replace it.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace yuccaplank::cli {

/// Output streams and files of a command.
struct console {
  std::function<void(std::string_view)> Out;
  std::function<void(std::string_view)> Err;
  /// Returns the whole content of a file, or errc::NotFound when it cannot be read. "-" is standard input.
  std::function<runtime::result<std::string>(const std::string &File)> ReadFile;
  std::function<runtime::result<void>(const std::string &File, std::string_view Text)> WriteFile;
  bool ErrorIsTerminal = false;
  bool OutputIsTerminal = false;

  /// Writes an error message to standard error as "yuccaplank: <text>".
  void printError(std::string_view Text) const;
  /// Writes a progress message to standard error if it is a terminal.
  void printProgress(std::string_view Text) const;
};

/// Returns the console that uses the standard streams and the files of the process.
console makeProcessConsole();

} // namespace yuccaplank::cli
