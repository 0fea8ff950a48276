// Options of the load tool.
#pragma once

#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccaplank::load {

/// Distribution of the times between arrivals.
enum class arrival_kind : std::uint8_t { Poisson, Fixed };

/// Options of a run.
struct load_options {
  /// "ip:port" of entry VMs.
  std::vector<std::string> Entries;
  /// Jobs offered a second; 0 keeps Concurrency jobs in flight instead.
  double Rate = 0;
  arrival_kind Arrivals = arrival_kind::Poisson;
  double Seconds = 10;
  /// Jobs finished in the first seconds do not count for times.
  double WarmupSeconds = 0;
  /// Most jobs in flight. With a rate, arrivals beyond it are skipped and counted.
  std::uint32_t Concurrency = 0;
  std::string Service = "load";
  std::uint32_t MinTasks = 1;
  std::uint32_t MaxTasks = 1;
  /// Tasks without run time.
  bool EmptyTasks = false;
  /// Greatest factor between a task's run time and the mean of its kind.
  double TaskSpread = 1.3;
  /// Greatest factor between the declared run time and the mean of the kind.
  double DeclaredFactor = 10;
  /// Factor on all run times.
  double TimeScale = 1;
  bool Repeatable = false;
  std::uint32_t DeadlineMs = 10'000;
  /// Speed of the fastest backend server, for the ideal response time.
  double SpeedMax = 1;
  /// One network round trip, for the ideal response time.
  double RoundTripMs = 0.1;
  /// Share of jobs that are submitted once more under the same id.
  double ResubmitPercent = 0;
  /// Number of times, spread over the run, at which all jobs in flight are cancelled.
  std::uint32_t CancelWaves = 0;
  /// Ids taken with one request.
  std::uint32_t IdsBlock = 100;
  /// Time to obtain an answer to one submission, with repetitions after lost connections.
  runtime::duration AnswerTimeout = std::chrono::seconds(30);
  /// Control listener of the stand-in servers; empty leaves out the checks of starts.
  std::string Check;
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
