#include "yuccaplank/testing/cli_run.hpp"

namespace yuccaplank::testing {

cli_run::cli_run(scripted_http_client::script Script) : Client(*Executor, std::move(Script)) {}

int cli_run::run(const std::vector<std::string> &Arguments) {
  cli::console Console;
  Console.Out = [this](std::string_view Text) { Out += Text; };
  Console.Err = [this](std::string_view Text) { Err += Text; };
  Console.ReadFile = [this](const std::string &File) -> runtime::result<std::string> {
    if (!Files.contains(File))
      return make_error_code(runtime::errc::NotFound);
    return Files[File];
  };
  Console.WriteFile = [this](const std::string &File, std::string_view Text) -> runtime::result<void> {
    Files[File] = Text;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  };
  Console.ErrorIsTerminal = ErrorIsTerminal;
  cli::requester Requester(*Executor, Client,
                           {[this] { Executor->advance(std::chrono::milliseconds(1)); }, [] {}});
  auto Variable = [this](const std::string &Name) {
    return Environment.contains(Name) ? Environment[Name] : std::string();
  };
  return static_cast<int>(
      cli::runCli(Arguments, Variable, Console, Requester, [] { return "00000000000000c1"; }));
}

} // namespace yuccaplank::testing
