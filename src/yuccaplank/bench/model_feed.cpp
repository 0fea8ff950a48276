#include "model_feed.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace yuccaplank::bench {
namespace {

constexpr int Kinds = 8;
constexpr double MinTaskMs = 50;
constexpr double MaxShortTaskMs = 1000;
constexpr double MaxTaskMs = 6000;
constexpr double LongShare = 0.02;
constexpr int MinTasks = 5;
constexpr int MaxTasks = 60;
constexpr double SpeedRange = 4;
constexpr double RefusalMs = 1;
constexpr double FailureMs = 5;

/// Sums the real time spent in a scheduler.
class stopwatch {
public:
  explicit stopwatch(double &Seconds) : Seconds(Seconds), Start(runtime::systemClock().now()) {}
  ~stopwatch() { Seconds += runtime::toMs(runtime::systemClock().now() - Start) / 1000; }
  stopwatch(const stopwatch &) = delete;

private:
  double &Seconds;
  runtime::time_point Start;
};

} // namespace

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values, Values.begin() + static_cast<std::ptrdiff_t>(Rank));
  return Values[Rank];
}

model_feed::model_feed(feed_options Given) : Options(std::move(Given)), Random(Options.Seed) {
  std::vector<schema::backend_entry> Entries;
  for (int Index = 0; Index < Options.Servers; ++Index) {
    // Evenly spaced logarithms, so that every seed has the same servers.
    double Position = Options.Servers > 1 ? static_cast<double>(Index) / (Options.Servers - 1) : 0.5;
    Speeds.push_back(std::pow(SpeedRange, Position - 0.5));
    Capacity += Speeds.back() * Options.Slots;
    auto &Entry = Entries.emplace_back();
    Entry.set_id(fmt::format("s{}", Index));
    Entry.set_address(Entry.id());
    Entry.set_pool("main");
    Entry.set_slots(static_cast<std::uint32_t>(Options.Slots));
    Entry.set_cores(64);
    Entry.set_memory_mb(100'000);
    ServerIndex.emplace(Entry.id(), Index);
  }
  Busy.resize(Speeds.size());
  for (int Index = 0; Index < Options.Teams; ++Index) {
    auto &Team = Teams.emplace_back();
    Team.Service.set_service(fmt::format("service{}", Index));
    Team.Service.set_team(fmt::format("team{}", Index));
    Team.Service.set_pool("main");
    if (Options.Schedulers > 1) {
      // Without a limit, since this measures how many starts are refused.
      Team.Service.mutable_retry()->set_budget_percent(1000);
      Team.Service.mutable_retry()->set_max_attempts(1000);
    }
    for (int Kind = 0; Kind < Kinds; ++Kind)
      Team.KindFactors.push_back(logUniform(0.1, 10));
  }
  for (int Index = 0; Index < Options.Schedulers; ++Index) {
    model::scheduler_options Scheduler;
    Scheduler.Strategy = Options.Strategy;
    if (!Options.Admission)
      Scheduler.MaxStretch = Scheduler.MaxBacklogMs = 0;
    Scheduler.Seed = Options.Seed + static_cast<std::uint64_t>(Index);
    Schedulers.push_back(model::makeScheduler(Clock, Scheduler));
    Schedulers.back()->setServers(Entries);
    PlannedWakeups.push_back(0);
  }
  pcg32 Outer = Random;
  constexpr int Samples = 20'000;
  for (int Sample = 0; Sample < Samples; ++Sample) {
    auto Job = generate(0);
    for (double Ms : Job->ActualMs)
      MeanJobWork += Ms / Samples;
  }
  Random = Outer;
}

double model_feed::uniform(double Low, double High) {
  return std::uniform_real_distribution<>(Low, High)(Random);
}

double model_feed::logUniform(double Low, double High) {
  return std::exp(uniform(std::log(Low), std::log(High)));
}

double model_feed::loadFactor(int Team) const {
  double Factor = 1;
  for (const auto &Change : Changes)
    if (nowMs() >= Change.FromS * 1000 && nowMs() < Change.ToS * 1000 &&
        (Change.Team < 0 || Change.Team == Team))
      Factor *= Change.Factor;
  return Factor;
}

std::unique_ptr<model_feed::running_job> model_feed::generate(int TeamIndex) {
  auto Job = std::make_unique<running_job>();
  const auto &Team = Teams[static_cast<std::size_t>(TeamIndex)];
  Job->Result.Team = TeamIndex;
  Job->Result.ArrivalMs = nowMs();
  Job->Job.set_service(Team.Service.service());
  Job->Job.set_repeatable(true);
  auto Count = std::uniform_int_distribution<>(MinTasks, MaxTasks)(Random);
  double Longest = 0;
  for (int Index = 0; Index < Count; ++Index) {
    double Ms = 0;
    if (uniform(0, 1) < LongShare)
      Ms = logUniform(MaxShortTaskMs, MaxTaskMs);
    else
      Ms = std::clamp(std::lognormal_distribution<>(std::log(220), 0.6)(Random), MinTaskMs, MaxShortTaskMs);
    auto Kind = std::uniform_int_distribution<std::size_t>(0, Kinds - 1)(Random);
    auto &Task = *Job->Job.add_tasks();
    Task.set_name(fmt::format("t{}", Index));
    Task.set_kind(fmt::format("kind{}", Kind));
    Task.set_declared_ms(Ms * Team.KindFactors[Kind]);
    if (Options.Error > 1)
      Ms *= logUniform(1 / Options.Error, Options.Error);
    Job->ActualMs.push_back(Ms);
    Longest = std::max(Longest, Ms);
  }
  Job->Left = Job->ActualMs.size();
  Job->Result.IdealMs = Longest / Speeds.back();
  return Job;
}

void model_feed::arrive(int Team) {
  // Poisson arrivals at the peak rate, thinned to the current one.
  double Peak = 1;
  for (const auto &Change : Changes)
    if (Change.Team < 0 || Change.Team == Team)
      Peak = std::max(Peak, Change.Factor);
  double PerMs = Options.Load * Peak * Capacity / MeanJobWork / Options.Teams;
  at(nowMs() + std::exponential_distribution<>(PerMs)(Random), [this, Team] { arrive(Team); });
  if (nowMs() == 0 || uniform(0, 1) * Peak > loadFactor(Team))
    return;
  auto Key = NextKey++;
  auto &Job = Jobs[Key] = generate(Team);
  Job->Scheduler = std::uniform_int_distribution<>(0, Options.Schedulers - 1)(Random);
  auto &Scheduler = *Schedulers[static_cast<std::size_t>(Job->Scheduler)];
  std::optional<model::admission_refusal> Refusal;
  {
    stopwatch Watch(Result.SchedulerSeconds);
    Refusal = Scheduler.submit({Key, &Job->Job, &Teams[static_cast<std::size_t>(Team)].Service,
                                Clock.now() + std::chrono::milliseconds(Options.DeadlineMs)});
  }
  if (Refusal) {
    Job->Result.RetryAfterMs = Refusal->RetryAfterMs;
    finish(Key, job_result::end::Refused);
    return;
  }
  decide(Job->Scheduler);
}

void model_feed::decide(int Index) {
  auto Position = static_cast<std::size_t>(Index);
  auto &Scheduler = *Schedulers[Position];
  model::scheduler_decisions Decisions;
  std::optional<runtime::time_point> Wakeup;
  {
    stopwatch Watch(Result.SchedulerSeconds);
    Decisions = Scheduler.takeDecisions();
    Wakeup = Scheduler.nextWakeup();
  }
  for (const auto &Start : Decisions.Starts)
    start(Index, Start);
  for (const auto &Failure : Decisions.Failures) {
    for (const auto &Running : Scheduler.cancel(Failure.Job))
      stop(Index, Running);
    finish(Failure.Job, job_result::end::Failed);
  }
  if (!Wakeup)
    return;
  double WakeupMs = std::max(runtime::toMs(Wakeup->time_since_epoch()), nowMs() + 0.001);
  auto &Planned = PlannedWakeups[Position];
  if (Planned > nowMs() && Planned <= WakeupMs)
    return;
  Planned = WakeupMs;
  at(WakeupMs, [this, Index] { decide(Index); });
}

void model_feed::start(int Scheduler, const model::task_start &Start) {
  ++Result.Started;
  auto Server = ServerIndex.at(Start.Server);
  auto &Occupied = Busy[static_cast<std::size_t>(Server)];
  if (Occupied >= Options.Slots) {
    ++Result.RefusedStarts;
    at(nowMs() + RefusalMs,
       [this, Scheduler, Start] { endAttempt(Scheduler, Start, model::attempt_end::NotStarted); });
    return;
  }
  ++Occupied;
  auto &Job = *Jobs.at(Start.Task.Job);
  bool Fails = Server == FailingServer && nowMs() >= FailsFromS * 1000;
  Result.LostStarts += Fails ? 1 : 0;
  double RunMs =
      Fails ? FailureMs : Job.ActualMs[Start.Task.Index] / Speeds[static_cast<std::size_t>(Server)];
  auto End = Fails ? model::attempt_end::Failed : model::attempt_end::Completed;
  at(nowMs() + RunMs, [this, Scheduler, Start, End, Server, FromMs = nowMs()] {
    if (Stopped.erase({Start.Task.Job, Start.Task.Index}) > 0)
      return;
    auto Position = static_cast<std::size_t>(Server);
    --Busy[Position];
    auto Found = Jobs.find(Start.Task.Job);
    if (Found != Jobs.end() && End == model::attempt_end::Completed)
      Found->second->DoneWork.push_back({FromMs, nowMs(), Speeds[Position]});
    endAttempt(Scheduler, Start, End);
  });
}

/// A stopped task frees its slot at once.
void model_feed::stop(int Scheduler, const model::task_start &Start) {
  --Busy[static_cast<std::size_t>(ServerIndex.at(Start.Server))];
  Stopped.emplace(Start.Task.Job, Start.Task.Index);
  at(nowMs(), [this, Scheduler, Start] { endAttempt(Scheduler, Start, model::attempt_end::Failed); });
}

void model_feed::endAttempt(int Scheduler, const model::task_start &Start, model::attempt_end End) {
  {
    stopwatch Watch(Result.SchedulerSeconds);
    Schedulers[static_cast<std::size_t>(Scheduler)]->attemptEnded(Start.Task, Start.Server, End);
  }
  if (auto Found = Jobs.find(Start.Task.Job); Found != Jobs.end() && End == model::attempt_end::Completed)
    if (--Found->second->Left == 0)
      finish(Start.Task.Job, job_result::end::Done);
  decide(Scheduler);
}

void model_feed::finish(model::job_key Key, job_result::end End) {
  auto Found = Jobs.find(Key);
  if (Found == Jobs.end())
    return;
  auto &Job = *Found->second;
  Job.Result.End = End;
  Job.Result.ResponseMs = nowMs() - Job.Result.ArrivalMs;
  if (End == job_result::end::Done)
    for (const auto &Run : Job.DoneWork)
      creditWork(Run);
  if (Job.Result.ArrivalMs >= Options.WarmupSeconds * 1000)
    Result.Jobs.push_back(Job.Result);
  Jobs.erase(Found);
}

/// Spreads the work of a task over the seconds in which it ran.
void model_feed::creditWork(const interval &Run) {
  for (double FromMs = Run.FromMs; FromMs < Run.ToMs;) {
    auto Second = static_cast<std::size_t>(FromMs / 1000);
    double ToMs = std::min(Run.ToMs, static_cast<double>(Second + 1) * 1000);
    Result.Goodput.resize(std::max(Result.Goodput.size(), Second + 1));
    Result.Goodput[Second] += (ToMs - FromMs) * Run.Speed / (Capacity * 1000);
    FromMs = ToMs;
  }
}

feed_result model_feed::run() {
  for (int Team = 0; Team < Options.Teams; ++Team)
    arrive(Team);
  double EndMs = Options.Seconds * 1000;
  while (!Events.empty() && Events.top().AtMs <= EndMs) {
    auto Next = Events.top();
    Events.pop();
    Clock.advance(
        std::max(runtime::duration(0), runtime::fromMs(Next.AtMs) - Clock.now().time_since_epoch()));
    Next.Act();
  }
  for (const auto &Scheduler : Schedulers)
    Result.Probes += Scheduler->load().Probes;
  return std::move(Result);
}

} // namespace yuccaplank::bench
