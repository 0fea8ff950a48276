// yuccaplank-simulate: plays random days of a simulated fleet and checks the promises.
#include "fleet_simulation.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <iostream>

namespace options = boost::program_options;
using namespace yuccaplank;

int main(int Count, char **Arguments) {
  simulation::simulation_options Day;
  std::uint64_t Days = 100;
  options::options_description Described("yuccaplank-simulate [options]");
  Described.add_options()("help,h", "show this text")                                          //
      ("seed", options::value(&Day.Seed)->default_value(Day.Seed), "seed of the first day")    //
      ("days", options::value(&Days)->default_value(Days), "days, each with the next seed")    //
      ("seconds", options::value(&Day.Seconds)->default_value(Day.Seconds), "length of a day") //
      ("faults", options::value(&Day.FaultsPerSecond)->default_value(Day.FaultsPerSecond),
       "faults a second")                                                                             //
      ("jobs", options::value(&Day.JobsPerSecond)->default_value(Day.JobsPerSecond), "jobs a second") //
      ("vms", options::value(&Day.Vms)->default_value(Day.Vms), "entry VMs")                          //
      ("domains", options::value(&Day.Domains)->default_value(Day.Domains), "failure domains")        //
      ("servers", options::value(&Day.Servers)->default_value(Day.Servers), "backend servers")        //
      ("dispatchers", options::value(&Day.DispatchersPerDomain)->default_value(Day.DispatchersPerDomain),
       "VMs of a domain that dispatch; the others relay") //
      ("late-orders", options::value(&Day.LateOrders)->default_value(Day.LateOrders),
       "share carried out late") //
      ("lost-answers", options::value(&Day.LostAnswers)->default_value(Day.LostAnswers),
       "share without answer")                                                                          //
      ("load", options::value<double>(), "share of the users' ordinary load, with their kinds of jobs") //
      ("burst", options::value<double>(), "factor of a burst of all kinds in the middle of the day")    //
      ("long-burst", options::value<double>(), "factor of a burst of the longest kind")                 //
      ("slow", options::value(&Day.SlowShare), "share of servers that are slow for a third of the day") //
      ("lags", "adds VMs and links that lag, rolling restarts, and VMs of unequal strength")            //
      ("messages", "count the messages of the VMs and print them for each day")                         //
      ("trace", "print what happens");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Described), Given);
    options::notify(Given);
  } catch (const options::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return 2;
  }
  if (Given.count("help") > 0) {
    std::cout << Described;
    return 0;
  }
  if (Given.count("load") > 0) {
    Day.Kinds = simulation::siteKinds();
    for (simulation::job_kind &Kind : Day.Kinds)
      Kind.JobsPerSecond *= Given["load"].as<double>();
  }
  if (Given.count("burst") > 0)
    Day.Bursts.push_back({"", Day.Seconds * 0.4, Day.Seconds * 0.2, Given["burst"].as<double>()});
  if (Given.count("long-burst") > 0)
    Day.Bursts.push_back({"long", Day.Seconds * 0.4, Day.Seconds * 0.2, Given["long-burst"].as<double>()});
  Day.CountMessages = Given.count("messages") > 0;
  Day.Trace = Given.count("trace") > 0;
  Day.Lags = Given.count("lags") > 0;
  runtime::setLogLevel(Day.Trace ? runtime::log_level::Info : runtime::log_level::Error);
  simulation::simulation_result Sum;
  std::uint64_t Broken = 0;
  for (std::uint64_t Index = 0; Index < Days; ++Index, ++Day.Seed) {
    auto Result = simulation::simulateFleet(Day);
    for (const std::string &Violation : Result.Violations)
      fmt::print("seed {}: {}\n", Day.Seed, Violation);
    if (Day.CountMessages) {
      fmt::print("seed {}: a VM sends {:.0f} messages/s, at most {:.0f} messages/s and {:.0f} bytes/s; of "
                 "the fleet:",
                 Day.Seed, Result.MessagesOfVm, Result.MostMessagesOfVm, Result.MostBytesOfVm);
      for (const auto &[Kind, PerSecond] : Result.MessagesByKind)
        fmt::print(" {} {:.0f}", Kind, PerSecond);
      fmt::print("\n");
    }
    Broken += Result.Violations.empty() ? 0 : 1;
    for (const auto &[Queue, Credit] : Result.Credit) {
      auto &Total = Sum.Credit[Queue];
      Total.Earned += Credit.Earned;
      Total.Owed += Credit.Owed;
      Total.Jobs += Credit.Jobs;
      Total.InTime += Credit.InTime;
      Total.Late += Credit.Late;
      Total.Refused += Credit.Refused;
      Total.TooLate += Credit.TooLate;
    }
    Sum.Jobs += Result.Jobs;
    Sum.Completed += Result.Completed;
    Sum.Refused += Result.Refused;
    Sum.Resent += Result.Resent;
    Sum.Starts += Result.Starts;
    Sum.Faults += Result.Faults;
    Sum.CalmJobs += Result.CalmJobs;
    Sum.CalmCompleted += Result.CalmCompleted;
  }
  fmt::print("{} days, {} with breaches; {} jobs, {} completed, {} refused, {} resent, {} starts, {} faults; "
             "after the "
             "faults {} of {} completed\n",
             Days, Broken, Sum.Jobs, Sum.Completed, Sum.Refused, Sum.Resent, Sum.Starts, Sum.Faults,
             Sum.CalmCompleted, Sum.CalmJobs);
  double Earned = 0;
  double Owed = 0;
  for (const auto &[Queue, Credit] : Sum.Credit) {
    fmt::print("{:8} {} jobs: {} in time, {} late, {} too late, {} refused; credit {:.3f}\n", Queue,
               Credit.Jobs, Credit.InTime, Credit.Late, Credit.TooLate, Credit.Refused,
               Credit.Earned / Credit.Owed);
    Earned += Credit.Earned;
    Owed += Credit.Owed;
  }
  if (Owed > 0)
    fmt::print("credit {:.4f}\n", Earned / Owed);
  return Broken == 0 ? 0 : 1;
}
