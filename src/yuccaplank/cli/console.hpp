// Files and terminal as commands see them; tests replace them.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace yuccaplank::cli {

/// Output and files of a command.
struct console {
  std::function<void(std::string_view)> Out;
  std::function<void(std::string_view)> Err;
  /// Whole content of a file; "-" is standard input. errc::NotFound when it cannot be read.
  std::function<runtime::result<std::string>(const std::string &File)> ReadFile;
  std::function<runtime::result<void>(const std::string &File, std::string_view Text)> WriteFile;
  bool ErrorIsTerminal = false;
  bool OutputIsTerminal = false;

  /// Writes a sentence to standard error: "yuccaplank: <text>".
  void error(std::string_view Text) const;
  /// Shows the state of a long wait, only on a terminal.
  void progress(std::string_view Text) const;
};

/// Console of the process.
console processConsole();

} // namespace yuccaplank::cli
