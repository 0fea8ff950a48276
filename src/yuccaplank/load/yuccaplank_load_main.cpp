// Load tool; see options.cpp for its options.
#include "yuccaplank/load/load_run.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <fmt/format.h>

#include <csignal>
#include <random>

namespace {

using namespace yuccaplank;

constexpr int UsageStatus = 2;
// Random seeds are kept short enough to type.
constexpr std::uint64_t MaxRandomSeed = 1'000'000'000;

void printLines(std::string_view Lines) {
  fmt::print("{}", Lines);
  std::fflush(stdout);
}

int runLoad(const load::load_options &Options) {
  // Each job in progress uses a connection.
  runtime::raiseDescriptorLimit();
  printLines(load::formatFigure("seed", static_cast<double>(Options.Seed), "count"));
  auto Loop = runtime::makeLoop();
  auto Client = wire::makeHttpClient(*Loop);
  auto Run = load::makeLoadRun(*Loop, *Client, Options, printLines);
  Loop->setSignalHandler([&](int) { Run->stopArrivals(); });
  Run->start([&] { Loop->stop(); });
  Loop->run();
  printLines(Run->result().report());
  for (const std::string &Violation : Run->result().violations())
    fmt::print(stderr, "violation: {}\n", Violation);
  return Run->exitStatus();
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  std::uint64_t RandomSeed = std::random_device()() % MaxRandomSeed;
  auto Parsed = load::parseLoadOptions({Arguments + 1, Arguments + Count}, RandomSeed);
  if (const auto *Help = std::get_if<load::load_help>(&Parsed)) {
    fmt::print("{}", Help->Text);
    return 0;
  }
  if (const auto *Wrong = std::get_if<load::load_usage_error>(&Parsed)) {
    fmt::print(stderr, "yuccaplank-load: {}\n", Wrong->Message);
    return UsageStatus;
  }
  return runLoad(std::get<load::load_options>(Parsed));
}
