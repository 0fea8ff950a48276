// Options of the load tool.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccaplank::load {

struct load_options {
  /// "ip:port" of entry VMs.
  std::vector<std::string> Entries;
  std::string Host;
  std::string Path;
  /// Jobs offered a second, as a Poisson process.
  double Rate = 50;
  double Seconds = 10;
  /// Jobs of the first seconds do not count for times.
  double WarmupSeconds = 0;
  std::uint32_t MinTasks = 1;
  std::uint32_t MaxTasks = 4;
  double Cores = 27;
  /// Mean run time of a task on a server of ordinary speed; single ones are log-normal around it.
  double MeanTaskMs = 60;
  double TaskSpread = 0.4;
  /// Spread of the declared run time around the real one.
  double DeclaredSpread = 0.4;
  std::uint32_t DeadlineMs = 2000;
  /// Share of the callers that leave before their answer.
  double LeavePercent = 0;
  /// Share of the jobs that are cancelled by a call to another entry VM.
  double CancelPercent = 0;
  /// Control listener of the stand-in site; empty leaves out the checks there.
  std::string CheckAddress;
  bool Timeline = false;
  std::uint64_t Seed = 1;
};

/// The help text was asked for.
struct load_help {
  std::string Text;
};
/// The command line is wrong; Message says why.
struct load_usage_error {
  std::string Message;
};

/// Arguments without the program's name. RandomSeed is used when no seed is given.
std::variant<load_options, load_help, load_usage_error>
parseLoadOptions(const std::vector<std::string> &Arguments, std::uint64_t RandomSeed);

} // namespace yuccaplank::load
