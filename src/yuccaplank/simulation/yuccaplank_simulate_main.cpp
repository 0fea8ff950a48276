// yuccaplank-simulate: simulates random days of a fleet and checks the invariants.
#include "fleet_simulation.hpp"
#include "placement_simulation.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <iostream>

namespace options = boost::program_options;
using namespace yuccaplank;

namespace {

using simulation::simulation_options;
using simulation::simulation_result;

struct command_line {
  simulation_options Options;
  std::uint64_t Days = 100;
};

options::options_description describe(command_line &Line) {
  simulation_options &Options = Line.Options;
  std::uint64_t &Days = Line.Days;
  options::options_description Description("yuccaplank-simulate [options]");
  Description.add_options()("help,h", "show this text")                                              //
      ("seed", options::value(&Options.Seed)->default_value(Options.Seed), "seed of the first day")  //
      ("days", options::value(&Days)->default_value(Days), "number of days; each has the next seed") //
      ("seconds", options::value(&Options.TrafficSeconds)->default_value(Options.TrafficSeconds),
       "duration of a day's traffic") //
      ("faults", options::value(&Options.FaultsPerSecond)->default_value(Options.FaultsPerSecond),
       "faults per second") //
      ("jobs", options::value(&Options.JobsPerSecond)->default_value(Options.JobsPerSecond),
       "jobs of random sizes per second")                                                              //
      ("vms", options::value(&Options.Vms)->default_value(Options.Vms), "entry VMs")                   //
      ("domains", options::value(&Options.Domains)->default_value(Options.Domains), "failure domains") //
      ("servers", options::value(&Options.Servers)->default_value(Options.Servers), "backend servers") //
      ("dispatchers",
       options::value(&Options.DispatchersPerDomain)->default_value(Options.DispatchersPerDomain),
       "VMs of a domain that dispatch; the others relay") //
      ("late-orders", options::value(&Options.LateOrderShare)->default_value(Options.LateOrderShare),
       "share of orders that servers carry out late") //
      ("lost-answers", options::value(&Options.LostAnswerShare)->default_value(Options.LostAnswerShare),
       "share of orders whose answer is lost") //
      ("crashing", options::value(&Options.CrashingJobShare),
       "share of jobs with a task that crashes each server that starts it") //
      ("reset-cuts", options::value(&Options.ResetCutShare),
       "share of servers that are cut off by connection resets at a time, over and over") //
      ("late-stops", options::value(&Options.LateStopShare),
       "share of jobs that outlast their deadline and whose stops are all carried out late") //
      ("capacity-changes", options::value(&Options.CapacityChangesPerSecond),
       "changes of a server's capacity per second") //
      ("load", options::value<double>(),
       "submits the users' kinds of jobs at this share of their ordinary rates") //
      ("burst", options::value<double>(),
       "factor of a burst of all kinds of jobs in the middle of the day") //
      ("long-burst", options::value<double>(),
       "factor of a burst of the longest kind of jobs in the middle of the day") //
      ("slow", options::value(&Options.SlowServerShare),
       "share of servers that are slow for a third of the day") //
      ("failing", options::value(&Options.FailingServerShare),
       "share of servers that fail part of their runs for a third of the day")                           //
      ("part-failing", options::value(&Options.PartFailing), "part of the runs that these servers fail") //
      ("hanging", options::value(&Options.HangingServerShare),
       "share of servers on which part of the runs never end for a third of the day") //
      ("flapping", options::value(&Options.FlappingServerShare),
       "share of servers that crash and restart over and over for a third of the day")                     //
      ("failed-runs", options::value(&Options.FailedRunShare), "share of runs that fail on sound servers") //
      ("failing-jobs", options::value(&Options.FailingJobShare),
       "share of jobs that fail on every server for 3 s of the day") //
      ("long-tasks", options::value(&Options.LongTaskShare),
       "share of tasks that take seven times as long as the others")                         //
      ("lags", "adds VMs and links that lag, rolling restarts, and VMs of unequal strength") //
      ("store-refusals", "the store turns some VMs away for seconds, and serves the others") //
      ("paired-ids", "pairs of jobs have ids that differ only in the case of their digits")  //
      ("evacuations", "adds evacuations of failure domains")                                 //
      ("rack-jobs", options::value(&Options.RackJobShare),
       "share of the jobs of random sizes whose data lies on one rack of two servers") //
      ("locality", options::value<double>(),
       "compares rules for waiting for the rack of a task's data, with this factor outside the rack") //
      ("messages", "counts the messages of the VMs and prints them for each day")                     //
      ("trace", "prints each event to standard error");
  return Description;
}

// Sets the options that are switches, or are derived from several fields.
void applySwitches(const options::variables_map &Values, simulation_options &Options) {
  if (Values.count("load") > 0)
    Options.Kinds = simulation::siteJobKinds(Values["load"].as<double>());
  if (Values.count("burst") > 0)
    Options.Bursts.push_back(
        {"", Options.TrafficSeconds * 0.4, Options.TrafficSeconds * 0.2, Values["burst"].as<double>()});
  if (Values.count("long-burst") > 0)
    Options.Bursts.push_back({"long", Options.TrafficSeconds * 0.4, Options.TrafficSeconds * 0.2,
                              Values["long-burst"].as<double>()});
  Options.CountMessages = Values.count("messages") > 0;
  Options.Trace = Values.count("trace") > 0;
  Options.EnableLags = Values.count("lags") > 0;
  Options.EnableStoreRefusals = Values.count("store-refusals") > 0;
  Options.PairIds = Values.count("paired-ids") > 0;
  Options.EnableEvacuations = Values.count("evacuations") > 0;
}

void printMessages(std::uint64_t Seed, const simulation_result &Result) {
  fmt::print("seed {}: a VM sends {:.0f} messages/s, at most {:.0f} messages/s and {:.0f} bytes/s; of "
             "the fleet:",
             Seed, Result.MeanVmMessagesPerSecond, Result.MaxVmMessagesPerSecond, Result.MaxVmBytesPerSecond);
  for (const auto &[Kind, PerSecond] : Result.MessagesPerSecondByKind)
    fmt::print(" {} {:.0f}", Kind, PerSecond);
  fmt::print("\n");
}

void addTo(simulation_result &Total, const simulation_result &Result) {
  for (const auto &[Queue, Credit] : Result.CreditByQueue) {
    auto &QueueTotal = Total.CreditByQueue[Queue];
    QueueTotal.Earned += Credit.Earned;
    QueueTotal.Attainable += Credit.Attainable;
    QueueTotal.Jobs += Credit.Jobs;
    QueueTotal.InTime += Credit.InTime;
    QueueTotal.Late += Credit.Late;
    QueueTotal.Refused += Credit.Refused;
    QueueTotal.TooLate += Credit.TooLate;
  }
  Total.Jobs += Result.Jobs;
  Total.Completed += Result.Completed;
  Total.Refused += Result.Refused;
  Total.Resent += Result.Resent;
  Total.Starts += Result.Starts;
  Total.Faults += Result.Faults;
  Total.LapsedRuns += Result.LapsedRuns;
  Total.Crashes += Result.Crashes;
  Total.MaxCrashesOfTask = std::max(Total.MaxCrashesOfTask, Result.MaxCrashesOfTask);
  Total.HarmlessJobs += Result.HarmlessJobs;
  Total.HarmlessJobsGivenUp += Result.HarmlessJobsGivenUp;
  Total.HarmlessJobsCompleted += Result.HarmlessJobsCompleted;
  Total.JobsGivenUp += Result.JobsGivenUp;
  Total.JobsAfterFaults += Result.JobsAfterFaults;
  Total.CompletedAfterFaults += Result.CompletedAfterFaults;
}

void printCredit(const simulation_result &Total) {
  double Earned = 0;
  double Attainable = 0;
  for (const auto &[Queue, Credit] : Total.CreditByQueue) {
    fmt::print("{:8} {} jobs: {} in time, {} late, {} too late, {} refused; credit {:.3f}\n", Queue,
               Credit.Jobs, Credit.InTime, Credit.Late, Credit.TooLate, Credit.Refused,
               Credit.Earned / Credit.Attainable);
    Earned += Credit.Earned;
    Attainable += Credit.Attainable;
  }
  if (Attainable > 0)
    fmt::print("credit {:.4f}\n", Earned / Attainable);
}

void printTotal(const command_line &Line, std::uint64_t DaysWithViolations, const simulation_result &Total) {
  fmt::print("{} days, {} with breaches; {} jobs, {} completed, {} refused, {} resent, {} starts, {} faults; "
             "after the "
             "faults {} of {} completed\n",
             Line.Days, DaysWithViolations, Total.Jobs, Total.Completed, Total.Refused, Total.Resent,
             Total.Starts, Total.Faults, Total.CompletedAfterFaults, Total.JobsAfterFaults);
  if (Line.Options.LateStopShare > 0)
    fmt::print("{} runs lapsed whose stop orders were not late\n", Total.LapsedRuns);
  if (Total.Crashes + Total.JobsGivenUp > 0)
    fmt::print("{} jobs failed because of crashes; {} servers crashed under tasks, at most {} under one; {} "
               "jobs without a crashing task, {} "
               "completed, "
               "{} failed\n",
               Total.JobsGivenUp, Total.Crashes, Total.MaxCrashesOfTask, Total.HarmlessJobs,
               Total.HarmlessJobsCompleted, Total.HarmlessJobsGivenUp);
  printCredit(Total);
}

} // namespace

int main(int Count, char **Arguments) {
  command_line Line;
  simulation_options &Options = Line.Options;
  options::options_description Description = describe(Line);
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description), Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return 2;
  }
  if (Values.count("help") > 0) {
    std::cout << Description;
    return 0;
  }
  if (Values.count("locality") > 0) {
    runtime::setLogLevel(runtime::log_level::Error);
    std::cout << simulation::compareWaitRules(Options.Seed, Line.Days, Values["locality"].as<double>());
    return 0;
  }
  applySwitches(Values, Options);
  runtime::setLogLevel(Options.Trace ? runtime::log_level::Info : runtime::log_level::Error);
  simulation_result Total;
  std::uint64_t DaysWithViolations = 0;
  for (std::uint64_t Index = 0; Index < Line.Days; ++Index, ++Options.Seed) {
    auto Result = simulation::simulateFleet(Options);
    for (const std::string &Violation : Result.Violations)
      fmt::print("seed {}: {}\n", Options.Seed, Violation);
    if (Options.CountMessages)
      printMessages(Options.Seed, Result);
    DaysWithViolations += Result.Violations.empty() ? 0 : 1;
    addTo(Total, Result);
  }
  printTotal(Line, DaysWithViolations, Total);
  return DaysWithViolations == 0 ? 0 : 1;
}
