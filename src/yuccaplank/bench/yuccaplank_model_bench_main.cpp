// Measures the scheduler on generated arrivals; prints one JSON object a line.
#include "model_feed.hpp"
#include "queued_tasks.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>

using namespace yuccaplank;
using namespace yuccaplank::bench;

namespace {

/// Runs of a time measurement, of which the shortest counts: other processes only lengthen them.
constexpr int TimedRuns = 3;

struct bench_options {
  double Seconds = 90;
  std::uint64_t Seed = 1;
  int Servers = 0;
  double Load = 0;
  std::string Strategy;
  std::string Only;
};

constexpr auto Strategies =
    std::to_array<const char *>({"critical_time", "fifo", "random", "round_robin", "least_outstanding"});

void report(const std::string &Name, double Value, const char *Unit) {
  nlohmann::ordered_json Line = {{"name", Name}, {"value", std::round(Value * 1e4) / 1e4}, {"unit", Unit}};
  std::cout << Line.dump() << std::endl;
}

std::vector<double> stretches(const feed_result &Result, int Team = -1, double FromS = 0, double ToS = 1e9) {
  std::vector<double> Values;
  for (const auto &Job : Result.Jobs)
    if (Job.End == job_result::end::Done && (Team < 0 || Job.Team == Team) && Job.ArrivalMs >= FromS * 1000 &&
        Job.ArrivalMs < ToS * 1000)
      Values.push_back(Job.ResponseMs / Job.IdealMs);
  return Values;
}

double shareOf(const feed_result &Result, job_result::end End) {
  auto Count = std::ranges::count(Result.Jobs, End, &job_result::End);
  return 100.0 * static_cast<double>(Count) /
         static_cast<double>(std::max<std::size_t>(1, Result.Jobs.size()));
}

void reportStretches(const std::string &Name, const feed_result &Result) {
  auto Values = stretches(Result);
  report(Name + "/p50", percentile(Values, 0.5), "response/ideal");
  report(Name + "/p90", percentile(Values, 0.9), "response/ideal");
  report(Name + "/p99", percentile(Values, 0.99), "response/ideal");
  report(Name + "/refused", shareOf(Result, job_result::end::Refused), "% of jobs");
  report(Name + "/failed", shareOf(Result, job_result::end::Failed), "% of jobs");
}

feed_options basics(const bench_options &Options) {
  feed_options Feed;
  Feed.Seconds = Options.Seconds;
  Feed.Seed = Options.Seed;
  if (Options.Servers > 0)
    Feed.Servers = Options.Servers;
  return Feed;
}

void response(const bench_options &Options, const char *Name, double Error) {
  for (int Servers : {50, 12})
    for (double Load : {0.5, 0.7, 0.9})
      for (const std::string Strategy : Strategies) {
        if ((Options.Servers > 0 && Servers != Options.Servers) ||
            (Options.Load > 0 && Load != Options.Load) ||
            (!Options.Strategy.empty() && Strategy != Options.Strategy))
          continue;
        auto Feed = basics(Options);
        Feed.Servers = Servers;
        Feed.Load = Load;
        Feed.Error = Error;
        Feed.Strategy = Strategy;
        reportStretches(fmt::format("{}/{}/servers{}/load{:.0f}", Name, Strategy, Servers, Load * 100),
                        model_feed(Feed).run());
      }
}

void learnable(const bench_options &Options) { response(Options, "response", 1); }
void uncertain(const bench_options &Options) { response(Options, "uncertain", 2); }

/// Steady load with the default limits: what they refuse.
void admission(const bench_options &Options) {
  for (double Error : {1, 2})
    for (int Servers : {50, 12})
      for (double Load : {0.7, 0.9}) {
        auto Feed = basics(Options);
        Feed.Servers = Servers;
        Feed.Load = Load;
        Feed.Error = Error;
        Feed.Admission = true;
        reportStretches(fmt::format("admission/{}/servers{}/load{:.0f}",
                                    Error > 1 ? "uncertain" : "learnable", Servers, Load * 100),
                        model_feed(Feed).run());
      }
}

// Times of the burst, in seconds of the run.
constexpr int BurstFromS = 30;
constexpr int BurstToS = 35;
constexpr int BurstRunS = 60;
// The last seconds are left out of the search for normal ones.
constexpr int BurstEndS = 55;

// Mean share of the capacity used during the burst, without its first second, which fills the servers.
double burstGoodput(const feed_result &Result) {
  double Goodput = 0;
  for (int Second = BurstFromS + 1; Second < BurstToS; ++Second)
    Goodput += Result.Goodput[static_cast<std::size_t>(Second)] / (BurstToS - BurstFromS - 1);
  return Goodput;
}

// Seconds from the end of the burst until normal service. Normal means no refusal, and a median below the
// 90th percentile before the burst, in three consecutive seconds; single seconds miss this at steady load as
// well.
int secondsToNormal(const feed_result &Result) {
  constexpr int Consecutive = 3;
  double NormalP90 = percentile(stretches(Result, -1, 0, BurstFromS), 0.9);
  int NormalSeconds = 0;
  for (int Second = BurstToS; Second < BurstEndS; ++Second) {
    bool Refused = std::ranges::any_of(Result.Jobs, [&](const job_result &Job) {
      return Job.End != job_result::end::Done && Job.ArrivalMs >= Second * 1000 &&
             Job.ArrivalMs < (Second + 1) * 1000;
    });
    bool Normal = !Refused && percentile(stretches(Result, -1, Second, Second + 1), 0.5) <= NormalP90;
    NormalSeconds = Normal ? NormalSeconds + 1 : 0;
    if (NormalSeconds == Consecutive)
      return Second - Consecutive + 1 - BurstToS;
  }
  return BurstEndS - BurstToS;
}

void burst(const bench_options &Options) {
  for (int Servers : {50, 12}) {
    auto Feed = basics(Options);
    Feed.Servers = Servers;
    Feed.Seconds = BurstRunS;
    Feed.Admission = true;
    model_feed Run(Feed);
    Run.Changes = {{BurstFromS, BurstToS, 10}};
    auto Result = Run.run();
    auto Name = fmt::format("burst/servers{}", Servers);
    auto Values = stretches(Result, -1, BurstFromS, BurstToS);
    report(Name + "/admitted_p50", percentile(Values, 0.5), "response/ideal");
    report(Name + "/admitted_p99", percentile(Values, 0.99), "response/ideal");
    report(Name + "/failed", shareOf(Result, job_result::end::Failed), "% of jobs");
    report(Name + "/goodput", 100 * burstGoodput(Result), "% of capacity");
    report(Name + "/normal_after", secondsToNormal(Result), "s");
    std::vector<double> RetryAfter;
    for (const auto &Job : Result.Jobs)
      if (Job.End == job_result::end::Refused)
        RetryAfter.push_back(Job.RetryAfterMs);
    report(Name + "/retry_after_p50", percentile(RetryAfter, 0.5), "ms");
  }
}

void failingServer(const bench_options &Options) {
  for (int Server : {0, 25, 49}) {
    auto Feed = basics(Options);
    Feed.Servers = 50;
    model_feed Run(Feed);
    Run.FailingServer = Server;
    Run.FailsFromS = 30;
    auto Result = Run.run();
    report(fmt::format("failing_server/server{}/lost_before_quarantine", Server),
           static_cast<double>(Result.LostStarts - Result.Probes), "tasks");
    report(fmt::format("failing_server/server{}/lost_probes", Server), static_cast<double>(Result.Probes),
           "tasks");
    report(fmt::format("failing_server/server{}/failed", Server), shareOf(Result, job_result::end::Failed),
           "% of jobs");
  }
}

void fairness(const bench_options &Options) {
  constexpr int Teams = 10;
  for (double Load : {0.5, 0.7}) {
    std::array<double, 2> P99{};
    for (int Greedy : {0, 1}) {
      auto Feed = basics(Options);
      Feed.Teams = Teams;
      Feed.Load = Load;
      Feed.Admission = true;
      model_feed Run(Feed);
      if (Greedy == 1)
        Run.Changes = {{0, 1e9, 10, 0}};
      auto Result = Run.run();
      std::vector<double> Others;
      std::size_t Refused = 0;
      for (const auto &Job : Result.Jobs) {
        if (Job.Team == 0)
          continue;
        Refused += Job.End != job_result::end::Done ? 1 : 0;
        Others.push_back(Job.ResponseMs / Job.IdealMs);
      }
      P99[static_cast<std::size_t>(Greedy)] = percentile(Others, 0.99);
      auto Name = fmt::format("fairness/load{:.0f}/{}", Load * 100, Greedy == 1 ? "greedy" : "equal");
      report(Name + "/others_p99", percentile(Others, 0.99), "response/ideal");
      report(Name + "/others_not_done", static_cast<double>(Refused), "jobs");
    }
    report(fmt::format("fairness/load{:.0f}/increase", Load * 100), 100 * (P99[1] / P99[0] - 1), "%");
  }
}

void decision(const bench_options &Options) {
  for (int Servers : {143, 1000})
    for (int Teams : {1, 330})
      for (double Load : {0.7, 0.95}) {
        auto Feed = basics(Options);
        Feed.Servers = Servers;
        Feed.Teams = Teams;
        Feed.Load = Load;
        Feed.Seconds = 4;
        Feed.WarmupSeconds = 0;
        double BestUs = 1e9;
        for (int Run = 0; Run < TimedRuns; ++Run) {
          auto Result = model_feed(Feed).run();
          BestUs = std::min(BestUs, Result.SchedulerSeconds * 1e6 / static_cast<double>(Result.Started));
        }
        report(fmt::format("decision/servers{}/teams{}/load{:.0f}", Servers, Teams, Load * 100), BestUs,
               "us/task");
      }
}

void queued(const bench_options &Options) {
  for (int Queued : {1000, 10'000, 49'000}) {
    auto Best = runQueued(Queued, Options.Seed);
    for (int Run = 1; Run < TimedRuns; ++Run)
      Best.UsPerTask = std::min(Best.UsPerTask, runQueued(Queued, Options.Seed).UsPerTask);
    report(fmt::format("queued/{}/memory", Queued), Best.BytesPerTask, "B/task");
    report(fmt::format("queued/{}/decision", Queued), Best.UsPerTask, "us/task");
  }
}

void shared(const bench_options &Options) {
  for (double Load : {0.7, 0.9})
    for (int Schedulers : {1, 2, 7}) {
      auto Feed = basics(Options);
      Feed.Load = Load;
      Feed.Schedulers = Schedulers;
      auto Result = model_feed(Feed).run();
      auto Name = fmt::format("independent/schedulers{}/load{:.0f}", Schedulers, Load * 100);
      reportStretches(Name, Result);
      report(Name + "/refused_starts",
             100.0 * static_cast<double>(Result.RefusedStarts) / static_cast<double>(Result.Started),
             "% of starts");
    }
}

struct measurement {
  const char *Name;
  void (*Run)(const bench_options &);
};
constexpr auto Measurements = std::to_array<measurement>({{"response", learnable},
                                                          {"uncertain", uncertain},
                                                          {"admission", admission},
                                                          {"burst", burst},
                                                          {"failing_server", failingServer},
                                                          {"fairness", fairness},
                                                          {"independent", shared},
                                                          {"decision", decision},
                                                          {"queued", queued}});

} // namespace

int main(int Count, char **Arguments) {
  namespace po = boost::program_options;
  bench_options Options;
  po::options_description Description("yuccaplank-model-bench: measures the scheduler");
  auto Add = Description.add_options();
  Add("help", "print this text");
  Add("seconds", po::value(&Options.Seconds), "simulated seconds of a run");
  Add("seed", po::value(&Options.Seed), "seed of arrivals and sizes");
  Add("servers", po::value(&Options.Servers), "only this number of servers");
  Add("load", po::value(&Options.Load), "only this load, for example 0.7");
  Add("strategy", po::value(&Options.Strategy), "only this strategy");
  Add("only", po::value(&Options.Only), "only this measurement");
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Arguments, Description), Values);
    po::notify(Values);
    if (Values.count("help") > 0) {
      std::cout << Description;
      return 0;
    }
  } catch (const po::error &Error) {
    std::cerr << Error.what() << '\n' << Description;
    return 2;
  }
  bool Found = false;
  for (const auto &Measurement : Measurements)
    if (Options.Only.empty() || Options.Only == Measurement.Name) {
      Found = true;
      Measurement.Run(Options);
    }
  return Found ? 0 : 2;
}
