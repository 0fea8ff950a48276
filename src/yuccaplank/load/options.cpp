#include "yuccaplank/load/options.hpp"

#include <boost/algorithm/string.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <charconv>
#include <sstream>

namespace yuccaplank::load {
namespace {

namespace po = boost::program_options;

// Options that need further parsing.
struct raw_options {
  std::string Entries;
  std::string Queue = "jobs.example/jobs/";
  std::string Tasks = "1-4";
  std::string Racks;
};

po::options_description describe(load_options &Options, raw_options &Raw) {
  po::options_description Description("yuccaplank-load: submits jobs to entry VMs and checks each answer");
  auto Add = Description.add_options();
  auto Number = [](double &Value) {
    return po::value(&Value)->default_value(Value, fmt::format("{:g}", Value));
  };
  Add("help", "print this help");
  Add("entries", po::value(&Raw.Entries), "addresses of entry VMs, ip:port[,ip:port...]");
  Add("queue", po::value(&Raw.Queue)->default_value(Raw.Queue), "queue of the jobs, HOST/PATH");
  Add("rate", Number(Options.Rate), "jobs/s");
  Add("seconds", Number(Options.Seconds), "duration of the load in seconds");
  Add("warmup", Number(Options.WarmupSeconds), "initial seconds that are excluded from latency figures");
  Add("tasks", po::value(&Raw.Tasks)->default_value(Raw.Tasks), "number of tasks per job, MIN-MAX");
  Add("cores", Number(Options.Cores), "cores per task");
  Add("task-ms", Number(Options.MedianTaskMs), "median run time of a task in milliseconds");
  Add("task-spread", Number(Options.TaskSpread), "log-normal spread of run times; 0 makes all equal");
  Add("declared-spread", Number(Options.DeclaredSpread),
      "log-normal spread of declared run times around the actual ones");
  Add("deadline-ms", po::value(&Options.DeadlineMs)->default_value(Options.DeadlineMs),
      "time in milliseconds that callers wait for an answer");
  Add("leave-percent", Number(Options.LeavePercent),
      "percentage of callers that disconnect before the answer");
  Add("cancel-percent", Number(Options.CancelPercent),
      "percentage of jobs that are cancelled through a random entry VM");
  Add("capitals-percent", Number(Options.CapitalsPercent),
      "percentage of jobs whose ids have capital digits");
  Add("rack-percent", Number(Options.RackPercent), "percentage of jobs whose data lies on a rack");
  Add("racks", po::value(&Raw.Racks), "names of these racks, NAME[,NAME...]");
  Add("hot-rack-percent", Number(Options.HotRackPercent),
      "percentage of these jobs whose data lies on the first of the racks");
  Add("same-rack-percent", Number(Options.SameRackPercent),
      "percentage of jobs that ask for one rack for all their tasks");
  Add("check", po::value(&Options.CheckAddress), "address of the stand-in site's control listener, ip:port");
  Add("timeline", po::bool_switch(&Options.Timeline), "print one line per second");
  Add("seed", po::value(&Options.Seed)->default_value(Options.Seed), "seed for the jobs");
  return Description;
}

bool parseTasks(const std::string &Text, load_options &Options) {
  const char *End = Text.data() + Text.size();
  auto [Dash, MinError] = std::from_chars(Text.data(), End, Options.MinTasks);
  if (MinError != std::errc() || Dash == End || *Dash != '-')
    return false;
  auto [Stop, MaxError] = std::from_chars(Dash + 1, End, Options.MaxTasks);
  return MaxError == std::errc() && Stop == End && Options.MinTasks >= 1 &&
         Options.MinTasks <= Options.MaxTasks;
}

// Returns an error message, or an empty string if the options are valid.
std::string validate(const load_options &Options) {
  if (Options.Entries.empty())
    return "--entries is missing.";
  if (Options.Host.empty())
    return "--queue must be HOST/PATH.";
  if (!(Options.Rate > 0 && Options.Seconds > 0))
    return "--rate and --seconds must be above 0.";
  for (double Percent : {Options.LeavePercent, Options.CancelPercent, Options.CapitalsPercent})
    if (!(Percent >= 0 && Percent <= 100))
      return "--leave-percent, --cancel-percent and --capitals-percent must be 0 to 100.";
  for (double Percent : {Options.RackPercent, Options.HotRackPercent, Options.SameRackPercent})
    if (!(Percent >= 0 && Percent <= 100))
      return "--rack-percent, --hot-rack-percent and --same-rack-percent must be 0 to 100.";
  if (Options.RackPercent > 0 && Options.Racks.empty())
    return "--rack-percent needs --racks.";
  if (!(Options.MedianTaskMs >= 0 && Options.TaskSpread >= 0 && Options.DeclaredSpread >= 0 &&
        Options.Cores > 0))
    return "--task-ms and the spreads must be at least 0, and --cores must be above 0.";
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
  if (!Raw.Racks.empty())
    boost::split(Options.Racks, Raw.Racks, boost::is_any_of(","));
  if (!parseTasks(Raw.Tasks, Options))
    return load_usage_error{"--tasks must be MIN-MAX."};
  std::size_t Slash = Raw.Queue.find('/');
  if (Slash != std::string::npos) {
    Options.Host = Raw.Queue.substr(0, Slash);
    Options.Path = Raw.Queue.substr(Slash);
  }
  if (std::string Message = validate(Options); !Message.empty())
    return load_usage_error{Message};
  return Options;
}

} // namespace yuccaplank::load
