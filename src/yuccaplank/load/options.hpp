// Options of the load tool.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccaplank::load {

struct load_options {
  /// Addresses of entry VMs, in the form "ip:port".
  std::vector<std::string> Entries;
  std::string Host;
  std::string Path;
  /// Mean number of submitted jobs per second; arrivals are a Poisson process.
  double Rate = 50;
  double Seconds = 10;
  /// Jobs that are submitted in this initial period are excluded from latency figures.
  double WarmupSeconds = 0;
  std::uint32_t MinTasks = 1;
  std::uint32_t MaxTasks = 4;
  double Cores = 27;
  /// Median run time of a task on a server of normal speed; the run times have a log-normal distribution.
  double MedianTaskMs = 60;
  double TaskSpread = 0.4;
  /// Log-normal spread of the declared run time around the actual one.
  double DeclaredSpread = 0.4;
  std::uint32_t DeadlineMs = 2000;
  /// Percentage of callers that disconnect before the answer.
  double LeavePercent = 0;
  /// Percentage of jobs that are cancelled through a randomly selected entry VM.
  double CancelPercent = 0;
  /// Percentage of jobs whose ids have capital digits.
  double CapitalsPercent = 0;
  /// Percentage of jobs whose data lies on one of Racks, and of these the percentage on the first one. The
  /// others are spread evenly.
  double RackPercent = 0;
  double HotRackPercent = 70;
  std::vector<std::string> Racks;
  /// Percentage of jobs that ask for one rack for all their tasks.
  double SameRackPercent = 0;
  /// Address of the stand-in site's control listener; if empty, the checks at the site are skipped.
  std::string CheckAddress;
  bool Timeline = false;
  std::uint64_t Seed = 1;
};

/// The help text was requested.
struct load_help {
  std::string Text;
};
/// The command line is invalid; Message describes the error.
struct load_usage_error {
  std::string Message;
};

/// Parses Arguments, which do not include the program name. RandomSeed is used if no seed is given.
std::variant<load_options, load_help, load_usage_error>
parseLoadOptions(const std::vector<std::string> &Arguments, std::uint64_t RandomSeed);

} // namespace yuccaplank::load
