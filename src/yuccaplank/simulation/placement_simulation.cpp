#include "placement_simulation.hpp"
#include "fleet_simulation.hpp"
#include "yuccaplank/dispatch/placement_queue.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/runtime/random.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <vector>

namespace yuccaplank::simulation {
namespace {

using runtime::duration;
using runtime::fromMs;
using runtime::time_point;

// One-way delay of a message, with its part of the time until the next batch is handled.
constexpr auto MessageDelay = std::chrono::milliseconds(2);
constexpr auto BatchTime = std::chrono::milliseconds(1);
constexpr std::uint32_t ServerCpu = 16000;
constexpr double MedianTaskCpu = 2000;
constexpr double CpuSpread = 0.2;
// Spreads are standard deviations of logarithms.
constexpr double SizeSpread = 0.4;
constexpr double EstimateSpread = 0.4;
constexpr double LateCredit = 0.2;
constexpr double LateFactor = 3;
constexpr double Stretch = 1.6;
constexpr double LatencyMs = 60;
constexpr auto Slownesses = std::to_array({0.6, 1.0, 1.6});
constexpr const char *PlacedKind = "middle";

double meanFactor(double Spread) { return std::exp(Spread * Spread / 2); }

struct placed_job {
  schema::place_job Request;
  double TaskMs = 0;
  time_point SubmittedAt;
  duration Objective{};
  std::uint32_t RemainingTasks = 0;
  bool HasPlace = false;
  bool Ended = false;
  // Rack of the first task, for jobs with same_rack.
  std::string Rack;
};

struct rack_server {
  schema::server_state State;
  double Slowness = 1;
};

class placement_simulation {
public:
  explicit placement_simulation(const placement_day &Day)
      : Day(Day), Random(Day.Seed), Executor(runtime::makeManualExecutor()) {
    dispatch::placement_options Options;
    Options.Locality = Day.Locality;
    Queue = dispatch::makePlacementQueue(
        Executor->clock(),
        [this](const std::string &, const schema::dispatch_message &Message) { onMessage(Message); },
        Options);
  }

  placement_result run() {
    addServers();
    for (const job_kind &Kind : siteJobKinds())
      scheduleJob(Kind);
    Executor->advance(fromMs(Day.Seconds * 1000));
    Stopping = true;
    Executor->advance(SettleTime);
    return Result;
  }

private:
  static constexpr auto SettleTime = std::chrono::seconds(15);

  double logNormal(double Spread) {
    return std::exp(std::normal_distribution<double>(0, Spread)(Random.engine()));
  }

  [[nodiscard]] static std::string rackName(std::uint32_t Rack) { return fmt::format("r1-{}", Rack + 1); }

  void addServers() {
    Servers.resize(Day.Servers);
    for (std::uint32_t Index = 0; Index < Day.Servers; ++Index) {
      rack_server &Server = Servers[Index];
      Server.Slowness = Slownesses[Index % Slownesses.size()];
      CapacityCpu += ServerCpu / Server.Slowness;
      Server.State.set_server(fmt::format("s{}", Index));
      Server.State.set_pool("pool");
      Server.State.set_rack(rackName(Index / Day.RackSize));
      Server.State.mutable_capacity()->set_cpu(ServerCpu);
      Server.State.mutable_capacity()->set_memory_mb(100'000);
      Server.State.set_slowness(static_cast<float>(std::log(Server.Slowness)));
      Server.State.set_usable(true);
      Server.State.set_token(1);
      ServersById[Server.State.server()] = Index;
      Queue->updateServer("owner", Server.State);
    }
  }

  // Returns how many jobs of the kind arrive in a second.
  [[nodiscard]] double jobsPerSecond(const job_kind &Kind) const {
    double DemandCpu = 0;
    double Means = meanFactor(SizeSpread) * meanFactor(SizeSpread) * meanFactor(CpuSpread);
    for (const job_kind &Each : siteJobKinds())
      DemandCpu += Each.JobsPerSecond * Each.Tasks * Each.TaskMs / 1000 * MedianTaskCpu * Means;
    return Kind.JobsPerSecond * Day.Load * CapacityCpu / DemandCpu;
  }

  void scheduleJob(const job_kind &Kind) {
    double MeanMs = 1000 / jobsPerSecond(Kind);
    Executor->after(fromMs(-MeanMs * std::log(1 - Random.uniform())), [this, Kind] {
      if (Stopping)
        return;
      submit(Kind);
      scheduleJob(Kind);
    });
  }

  void submit(const job_kind &Kind) {
    std::uint64_t Id = ++LastJob;
    placed_job &Job = Jobs[Id];
    Job.TaskMs = Kind.TaskMs * logNormal(SizeSpread);
    Job.SubmittedAt = Executor->clock().now();
    Job.Objective = fromMs(Stretch * Job.TaskMs + LatencyMs);
    Job.RemainingTasks =
        std::max(1U, static_cast<std::uint32_t>(std::lround(Kind.Tasks * logNormal(SizeSpread))));
    schema::place_job &Request = Job.Request;
    Request.set_job(Id);
    Request.set_pool("pool");
    Request.mutable_size()->set_cpu(static_cast<std::uint32_t>(MedianTaskCpu * logNormal(CpuSpread)));
    Request.mutable_size()->set_memory_mb(64);
    double EstimateMs = Job.TaskMs * logNormal(EstimateSpread);
    Request.set_estimate_ms(static_cast<std::uint32_t>(EstimateMs) + 1);
    Request.set_priority(Kind.Priority);
    double ObjectiveMs = Stretch * EstimateMs + LatencyMs;
    Request.set_objective_left_ms(static_cast<std::int32_t>(ObjectiveMs));
    Request.set_late_left_ms(static_cast<std::int32_t>(LateFactor * ObjectiveMs));
    auto DeadlineMs = static_cast<std::int32_t>(1800 + 3500 * Random.uniform());
    Request.set_deadline_left_ms(DeadlineMs);
    for (std::uint32_t Index = 0; Index < Job.RemainingTasks; ++Index)
      *Request.add_tasks() = dispatch::toMessage({{dispatch::job_id(Id), Index}, 1});
    // Each job draws, so that all rules see the same jobs.
    Job.HasPlace = Random.uniform() < Day.HotShare && Kind.Queue == PlacedKind;
    if (Job.HasPlace) {
      if (Day.SameRack)
        Request.set_same_rack(true);
      else
        Request.set_rack(rackName(0));
      Request.set_remote_factor(static_cast<float>(Day.RemoteFactor));
    }
    ++groupOf(Job).Jobs;
    Executor->after(MessageDelay, [this, Id] {
      Queue->enqueue("coordinator", Jobs.at(Id).Request);
      schedule();
    });
    Executor->after(fromMs(DeadlineMs), [this, Id] {
      if (Jobs.at(Id).Ended)
        return;
      Jobs.at(Id).Ended = true;
      schema::withdraw_job Withdrawal;
      Withdrawal.set_job(Id);
      Queue->withdraw("coordinator", Withdrawal);
    });
  }

  // The placer handles the messages of a millisecond together.
  void schedule() {
    if (!std::exchange(Scheduled, true))
      Executor->after(BatchTime, [this] {
        Scheduled = false;
        Queue->schedule();
      });
  }

  placement_result::group &groupOf(const placed_job &Job) {
    return Job.HasPlace ? Result.WithPlace : Result.WithoutPlace;
  }

  void onMessage(const schema::dispatch_message &Message) {
    if (Message.has_reject()) {
      ++Result.Rejected;
      Jobs.at(Message.reject().job()).Ended = true;
    }
    if (Message.has_grant())
      Executor->after(2 * MessageDelay, [this, Grant = Message.grant()] { start(Grant); });
  }

  void start(const schema::grant &Grant) {
    rack_server &Server = Servers[ServersById.at(Grant.server())];
    placed_job &Job = Jobs.at(Grant.task().job());
    if (Job.Rack.empty())
      Job.Rack = Job.Request.same_rack() ? Server.State.rack() : Job.Request.rack();
    bool Remote = Job.HasPlace && Server.State.rack() != Job.Rack;
    if (Job.HasPlace) {
      ++Result.Tasks;
      Result.TasksOnRack += Remote ? 0 : 1;
    }
    changeUse(Server, Job.Request.size().cpu(), 1, Grant.id());
    double Ms = Job.TaskMs * Server.Slowness * (Remote ? Day.RemoteFactor : 1);
    Executor->after(fromMs(Ms), [this, &Server, Id = Grant.task().job()] { end(Server, Id); });
  }

  void end(rack_server &Server, std::uint64_t Id) {
    placed_job &Job = Jobs.at(Id);
    changeUse(Server, -static_cast<std::int64_t>(Job.Request.size().cpu()), -1, 0);
    if (--Job.RemainingTasks > 0 || std::exchange(Job.Ended, true))
      return;
    duration Took = Executor->clock().now() + 2 * MessageDelay - Job.SubmittedAt;
    placement_result::group &Group = groupOf(Job);
    if (Took <= Job.Objective) {
      ++Group.InTime;
      Group.Credit += 1;
    } else if (Took <= LateFactor * Job.Objective) {
      Group.Credit += LateCredit;
    }
  }

  // The owner reports each change to the placer.
  void changeUse(rack_server &Server, std::int64_t Cpu, int Tasks, std::uint64_t Handled) {
    Server.State.mutable_used()->set_cpu(static_cast<std::uint32_t>(Server.State.used().cpu() + Cpu));
    Server.State.set_tasks(Server.State.tasks() + static_cast<std::uint32_t>(Tasks));
    schema::server_state Report = Server.State;
    if (Handled != 0)
      Report.add_handled(Handled);
    Executor->after(MessageDelay, [this, Report] {
      Queue->updateServer("owner", Report);
      schedule();
    });
  }

  const placement_day &Day;
  runtime::random Random;
  std::unique_ptr<runtime::manual_executor> Executor;
  std::unique_ptr<dispatch::placement_queue> Queue;
  std::vector<rack_server> Servers;
  std::map<std::string, std::uint32_t> ServersById;
  std::map<std::uint64_t, placed_job> Jobs;
  double CapacityCpu = 0;
  std::uint64_t LastJob = 0;
  bool Scheduled = false;
  bool Stopping = false;
  placement_result Result;
};

void add(placement_result::group &Sum, const placement_result::group &Other) {
  Sum.Jobs += Other.Jobs;
  Sum.InTime += Other.InTime;
  Sum.Credit += Other.Credit;
}

placement_result simulateDays(placement_day Day, std::uint64_t Days) {
  placement_result Sum;
  for (std::uint64_t Index = 0; Index < Days; ++Index, ++Day.Seed) {
    placement_result Result = simulatePlacement(Day);
    add(Sum.WithPlace, Result.WithPlace);
    add(Sum.WithoutPlace, Result.WithoutPlace);
    Sum.Tasks += Result.Tasks;
    Sum.TasksOnRack += Result.TasksOnRack;
    Sum.Rejected += Result.Rejected;
  }
  return Sum;
}

double perJob(double Value, const placement_result::group &Group) {
  return Group.Jobs == 0 ? 0 : Value / static_cast<double>(Group.Jobs);
}

std::string formatRow(const char *Name, double Load, const placement_result &Result) {
  auto Share = [](std::uint64_t Part, std::uint64_t Whole) {
    return Whole == 0 ? 0 : static_cast<double>(Part) / static_cast<double>(Whole);
  };
  return fmt::format("| {} | {:g} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} |\n", Name, Load,
                     perJob(Result.WithPlace.Credit, Result.WithPlace),
                     perJob(static_cast<double>(Result.WithPlace.InTime), Result.WithPlace),
                     perJob(Result.WithoutPlace.Credit, Result.WithoutPlace),
                     perJob(static_cast<double>(Result.WithoutPlace.InTime), Result.WithoutPlace),
                     Share(Result.TasksOnRack, Result.Tasks), Result.Rejected);
}

} // namespace

placement_result simulatePlacement(const placement_day &Day) { return placement_simulation(Day).run(); }

std::string compareWaitRules(std::uint64_t Seed, std::uint64_t Days, double RemoteFactor) {
  using dispatch::locality::wait_rule;
  struct named_rule {
    const char *Name;
    wait_rule Rule;
  };
  constexpr auto Rules = std::to_array<named_rule>({{"no locality", wait_rule::Ignore},
                                                    {"always wait", wait_rule::AlwaysWait},
                                                    {"fixed wait, 100 ms", wait_rule::FixedWait},
                                                    {"implemented rule", wait_rule::Expected}});
  std::string Text = "| rule | load | credit with place | in time | credit without | in time | on rack | "
                     "refused |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (double Load : {0.5, 0.8, 1.2})
    for (const named_rule &Rule : Rules) {
      placement_day Day;
      Day.Seed = Seed;
      Day.Load = Load;
      Day.RemoteFactor = RemoteFactor;
      Day.Locality.Rule = Rule.Rule;
      Text += formatRow(Rule.Name, Load, simulateDays(Day, Days));
    }
  return Text;
}

} // namespace yuccaplank::simulation
