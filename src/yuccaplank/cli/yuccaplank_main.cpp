// Entry point of the command-line tool for callers and operators.
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <csignal>
#include <cstdlib>
#include <random>

int main(int Count, char **Arguments) {
  using namespace yuccaplank;
  std::signal(SIGPIPE, SIG_IGN);
  auto Loop = runtime::makeLoop();
  auto Client = wire::makeHttpClient(*Loop);
  cli::requester Requester(*Loop, *Client, {[&] { Loop->run(); }, [&] { Loop->stop(); }});
  pcg_extras::seed_seq_from<std::random_device> Seed;
  pcg64 Random(Seed);
  cli::environment Environment = [](const std::string &Name) {
    const char *Value = std::getenv(Name.c_str());
    return std::string(Value ? Value : "");
  };
  std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  cli::exit_status Status = cli::runCli(Words, Environment, cli::makeProcessConsole(), Requester,
                                        [&] { return fmt::format("{:016x}", Random()); });
  return static_cast<int>(Status);
}
