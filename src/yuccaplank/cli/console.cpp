#include "yuccaplank/cli/console.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <unistd.h>

namespace yuccaplank::cli {
namespace {

void writeTo(std::FILE *Stream, std::string_view Text) {
  std::fwrite(Text.data(), 1, Text.size(), Stream);
  std::fflush(Stream);
}

runtime::result<std::string> readFile(const std::string &File) {
  if (File == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    return make_error_code(runtime::errc::NotFound);
  std::string Text(std::istreambuf_iterator<char>(Stream), {});
  if (Stream.bad())
    return make_error_code(runtime::errc::NotFound);
  return Text;
}

runtime::result<void> writeFile(const std::string &File, std::string_view Text) {
  std::ofstream Stream(File, std::ios::binary);
  Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Stream.close();
  if (!Stream)
    return make_error_code(runtime::errc::NotFound);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

void console::printError(std::string_view Text) const { Err(fmt::format("yuccaplank: {}\n", Text)); }

void console::printProgress(std::string_view Text) const {
  if (ErrorIsTerminal)
    Err(fmt::format("yuccaplank: {}\n", Text));
}

console makeProcessConsole() {
  console Console;
  Console.Out = [](std::string_view Text) { writeTo(stdout, Text); };
  Console.Err = [](std::string_view Text) { writeTo(stderr, Text); };
  Console.ReadFile = readFile;
  Console.WriteFile = writeFile;
  Console.ErrorIsTerminal = isatty(STDERR_FILENO) == 1;
  Console.OutputIsTerminal = isatty(STDOUT_FILENO) == 1;
  return Console;
}

} // namespace yuccaplank::cli
