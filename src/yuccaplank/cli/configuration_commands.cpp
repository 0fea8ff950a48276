// Command "check-configuration".
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/platform/configuration_check.hpp"

#include <fmt/format.h>

#include <optional>

namespace yuccaplank::cli {
namespace {

// Prints an error and returns nothing if the file cannot be read.
std::optional<platform::configuration_document> readConfigurationFile(const command_context &Context,
                                                                      const std::string &File) {
  auto Text = Context.Console.ReadFile(File);
  if (Text)
    return platform::readConfigurationDocument(Text.value());
  Context.Console.printError(fmt::format("cannot read {}.", File));
  return std::nullopt;
}

} // namespace

exit_status runCheckConfiguration(command_context &Context) {
  const invocation &Invocation = Context.Invocation;
  std::string File = Invocation.stringOption("FILE");
  std::string InForceFile = Invocation.stringOption("in-force");
  auto BodyLimit = Invocation.Options["body-limit"].as<std::int64_t>();
  if (File == "-" && InForceFile == "-") {
    Context.Console.printError("only one of the two files can be standard input.");
    return exit_status::Usage;
  }
  if (BodyLimit <= 0) {
    Context.Console.printError("--body-limit must be at least 1.");
    return exit_status::Usage;
  }
  auto Document = readConfigurationFile(Context, File);
  if (!Document)
    return exit_status::OtherError;
  std::optional<platform::configuration_document> InForce;
  if (Invocation.Options.contains("in-force")) {
    InForce = readConfigurationFile(Context, InForceFile);
    if (!InForce)
      return exit_status::OtherError;
  }
  exit_status Status = exit_status::Done;
  platform::configuration_check_options Options{static_cast<std::size_t>(BodyLimit)};
  for (const auto &Finding :
       platform::checkConfiguration(*Document, InForce ? &*InForce : nullptr, Options)) {
    Context.Console.Out((Invocation.Global.Json ? formatFindingJson(Finding) : formatFinding(Finding)) +
                        "\n");
    if (Finding.Level == platform::finding_level::Error)
      Status = exit_status::OtherError;
  }
  return Status;
}

} // namespace yuccaplank::cli
