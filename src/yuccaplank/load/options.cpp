#include "yuccaplank/load/options.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <boost/algorithm/string.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <charconv>
#include <sstream>

namespace yuccaplank::load {
namespace {

namespace po = boost::program_options;

constexpr std::uint32_t ClosedLoopJobs = 16;
constexpr std::uint32_t OpenLoopJobs = 4000;
constexpr std::uint32_t MaxIdsBlock = 1000;

// Options whose text is interpreted after parsing.
struct raw_options {
  std::string Entries;
  std::string Arrivals = "poisson";
  std::string Tasks = "1-1";
  std::string TaskMs = "log-normal";
  double AnswerTimeoutS = 30;
};

po::options_description describe(load_options &Options, raw_options &Raw) {
  po::options_description Description("yuccaplank-load: offers jobs to entry VMs and checks every answer");
  auto Add = Description.add_options();
  Add("help", "print this help");
  Add("entries", po::value(&Raw.Entries), "ip:port[,ip:port...] of entry VMs");
  Add("rate", po::value(&Options.Rate)->default_value(0), "jobs/s; 0 keeps --concurrency jobs in flight");
  Add("arrivals", po::value(&Raw.Arrivals)->default_value("poisson"), "poisson or fixed");
  Add("seconds", po::value(&Options.Seconds)->default_value(10), "time in which jobs are offered");
  Add("warmup", po::value(&Options.WarmupSeconds)->default_value(0), "seconds left out of times");
  Add("concurrency", po::value(&Options.Concurrency)->default_value(0),
      "most jobs in flight; 0 takes 16, or 4000 with a rate");
  Add("service", po::value(&Options.Service)->default_value("load"), "service of all jobs");
  Add("tasks", po::value(&Raw.Tasks)->default_value("1-1"), "MIN-MAX tasks of a job");
  Add("task-ms", po::value(&Raw.TaskMs)->default_value("log-normal"),
      "empty, or log-normal: 50 ms to 1 s, 2 % up to 6 s");
  Add("task-spread", po::value(&Options.TaskSpread)->default_value(1.3, "1.3"),
      "greatest factor between a task's run time and the mean of its kind");
  Add("declared-factor", po::value(&Options.DeclaredFactor)->default_value(10, "10"),
      "greatest factor between declared run times and the mean of the kind");
  Add("repeatable", po::bool_switch(&Options.Repeatable), "jobs are repeatable");
  Add("deadline-ms", po::value(&Options.DeadlineMs)->default_value(10'000), "deadline of all jobs");
  Add("speed-max", po::value(&Options.SpeedMax)->default_value(1, "1"), "speed of the fastest server");
  Add("rtt-ms", po::value(&Options.RoundTripMs)->default_value(0.1, "0.1"),
      "network round trip for the ideal response time");
  Add("resubmit-percent", po::value(&Options.ResubmitPercent)->default_value(0),
      "jobs submitted once more under the same id, in flight or after their end");
  Add("cancel-waves", po::value(&Options.CancelWaves)->default_value(0),
      "times at which all jobs in flight are cancelled");
  Add("ids-block", po::value(&Options.IdsBlock)->default_value(100), "ids taken with one request");
  Add("answer-timeout", po::value(&Raw.AnswerTimeoutS)->default_value(30), "seconds to wait for an answer");
  Add("check", po::value(&Options.Check), "ip:port of the stand-in servers' control listener");
  Add("timeline", po::bool_switch(&Options.Timeline), "print a line each second");
  Add("seed", po::value(&Options.Seed), "seed of all random choices");
  return Description;
}

bool parseTasks(const std::string &Text, load_options &Options) {
  const char *End = Text.data() + Text.size();
  auto [Dash, FirstError] = std::from_chars(Text.data(), End, Options.MinTasks);
  if (FirstError != std::errc())
    return false;
  Options.MaxTasks = Options.MinTasks;
  if (Dash == End)
    return true;
  auto [Last, Error] = std::from_chars(Dash + 1, End, Options.MaxTasks);
  return *Dash == '-' && Error == std::errc() && Last == End;
}

std::string check(const load_options &Options, const raw_options &Raw) {
  if (Options.Entries.empty())
    return "--entries is missing.";
  if (Raw.Arrivals != "poisson" && Raw.Arrivals != "fixed")
    return "--arrivals must be poisson or fixed.";
  if (Raw.TaskMs != "empty" && Raw.TaskMs != "log-normal")
    return "--task-ms must be empty or log-normal.";
  if (Options.MinTasks < 1 || Options.MaxTasks < Options.MinTasks || Options.MaxTasks > wire::MaxTasksPerJob)
    return fmt::format("--tasks must be MIN-MAX within 1 to {}.", wire::MaxTasksPerJob);
  if (!(Options.Rate >= 0) || !(Options.Seconds > 0) || !(Options.WarmupSeconds >= 0))
    return "--rate, --seconds and --warmup must not be negative, and --seconds not 0.";
  if (!(Options.TaskSpread >= 1) || !(Options.DeclaredFactor >= 1))
    return "--task-spread and --declared-factor must be at least 1.";
  if (!(Options.SpeedMax > 0) || !(Options.RoundTripMs >= 0) || !(Raw.AnswerTimeoutS > 0))
    return "--speed-max and --answer-timeout must be above 0, --rtt-ms at least 0.";
  if (!(Options.ResubmitPercent >= 0 && Options.ResubmitPercent <= 100))
    return "--resubmit-percent must be 0 to 100.";
  if (Options.IdsBlock < 1 || Options.IdsBlock > MaxIdsBlock)
    return fmt::format("--ids-block must be 1 to {}.", MaxIdsBlock);
  return {};
}

} // namespace

std::variant<load_options, load_help, load_usage_error>
parseLoadOptions(const std::vector<std::string> &Arguments, std::uint64_t RandomSeed) {
  load_options Options;
  Options.Seed = RandomSeed;
  raw_options Raw;
  po::options_description Description = describe(Options, Raw);
  try {
    po::variables_map Values;
    auto Style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    po::positional_options_description NoPositions;
    po::store(
        po::command_line_parser(Arguments).options(Description).positional(NoPositions).style(Style).run(),
        Values);
    po::notify(Values);
    if (Values.contains("help"))
      return load_help{(std::ostringstream() << Description).str()};
  } catch (const po::error &Error) {
    return load_usage_error{fmt::format("{}.", Error.what())};
  }
  if (!Raw.Entries.empty())
    boost::split(Options.Entries, Raw.Entries, boost::is_any_of(","));
  if (!parseTasks(Raw.Tasks, Options))
    return load_usage_error{"--tasks must be MIN-MAX."};
  if (std::string Message = check(Options, Raw); !Message.empty())
    return load_usage_error{Message};
  Options.Arrivals = Raw.Arrivals == "fixed" ? arrival_kind::Fixed : arrival_kind::Poisson;
  Options.EmptyTasks = Raw.TaskMs == "empty";
  Options.AnswerTimeout = runtime::fromMs(Raw.AnswerTimeoutS * 1000);
  if (Options.Concurrency == 0)
    Options.Concurrency = Options.Rate > 0 ? OpenLoopJobs : ClosedLoopJobs;
  return Options;
}

} // namespace yuccaplank::load
