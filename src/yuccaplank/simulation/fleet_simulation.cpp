#include "fleet_simulation.hpp"
#include "simulated_fleet.hpp"
#include "yuccaplank/runtime/random.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace yuccaplank::simulation {
namespace {

using dispatch::job_answer;
using dispatch::job_outcome;
using runtime::duration;
using runtime::fromMs;
using runtime::time_point;

constexpr double CallerDelayMs = 3;
// Time after which a caller sends a job again when the connection broke or the answer was 502 or 504.
constexpr double ResendMs = 1300;
// Time after which nothing of a job may run whose caller has left, and the time of a stop.
constexpr double CancelMs = 3050;
constexpr auto Settle = std::chrono::seconds(12);

struct simulated_job {
  const job_kind *Kind = nullptr;
  duration Objective{};
  double Worth = 0;
  time_point FirstSent{};
  dispatch::job_request Request;
  bool CallerWaits = true;
  bool Answered = false;
  // Attempts that were not refused.
  int OpenAttempts = 0;
  bool EverStarted = false;
  std::string Vm;
  std::uint64_t Attempt = 0;
  time_point LeftAt{};
  bool Left = false;
  bool Calm = false;
};

fleet_layout layoutOf(const simulation_options &Options) {
  fleet_layout Layout{Options.Vms, Options.Domains, Options.Servers, Options.DispatchersPerDomain, {}};
  Layout.EqualVms = !Options.Lags;
  for (const job_kind &Kind : Options.Kinds)
    Layout.Queues.push_back(makeQueue(Kind.Queue, Kind.Priority));
  return Layout;
}

// Callers and faults around a fleet.
class random_day {
public:
  explicit random_day(const simulation_options &Options)
      : Options(Options), Executor(runtime::makeManualExecutor()), Random(Options.Seed),
        Fleet(
            *Executor, Random, layoutOf(Options), {Options.LateOrders, Options.LostAnswers},
            [this](const std::string &Server, const dispatch::run_key &Run) { onStart(Server, Run); },
            [this](const std::string &Vm, std::uint64_t Job, const job_answer &Answer) {
              onAnswer(Vm, Job, Answer);
            }) {}

  simulation_result run() {
    Fleet.start();
    Executor->advance(std::chrono::seconds(2));
    TrafficEnd = Executor->clock().now() + fromMs(Options.Seconds * 1000);
    FaultsEnd = Executor->clock().now() + fromMs(Options.Seconds * 1000 * FaultyShare);
    scheduleTraffic();
    if (Options.FaultsPerSecond > 0)
      scheduleFault();
    if (Options.CountMessages)
      Fleet.net().countMessages();
    Executor->advance(fromMs(Options.Seconds * 1000));
    noteMessages();
    Executor->advance(Settle);
    for (const auto &[Id, Job] : Jobs)
      if (Job.CallerWaits && !Job.Answered)
        addViolation(fmt::format("job {:016x} has no answer", Id));
    return Result;
  }

private:
  // The rest of the time shows whether the fleet recovers.
  static constexpr double FaultyShare = 0.6;

  void noteMessages() {
    const auto &Counts = Fleet.net().counts();
    if (!Counts)
      return;
    for (const auto &[Vm, Count] : Counts->BySender) {
      double PerSecond = static_cast<double>(Count.Messages) / Options.Seconds;
      Result.MessagesOfVm += PerSecond / Options.Vms;
      Result.MostMessagesOfVm = std::max(Result.MostMessagesOfVm, PerSecond);
      Result.MostBytesOfVm =
          std::max(Result.MostBytesOfVm, static_cast<double>(Count.Bytes) / Options.Seconds);
    }
    for (const auto &[Kind, Count] : Counts->ByKind)
      Result.MessagesByKind[Kind] = static_cast<double>(Count.Messages) / Options.Seconds;
  }

  void addViolation(std::string Text) {
    trace(Text);
    Result.Violations.push_back(
        fmt::format("{:.1f} ms: {}", runtime::toMs(Executor->clock().now().time_since_epoch()), Text));
  }

  void trace(const std::string &Text) const {
    if (Options.Trace)
      fmt::print(stderr, "{:9.2f} {}\n", runtime::toMs(Executor->clock().now().time_since_epoch()), Text);
  }

  // Callers.

  void scheduleTraffic() {
    TrafficBegin = Executor->clock().now();
    if (Options.Kinds.empty())
      scheduleJob();
    for (const job_kind &Kind : Options.Kinds)
      scheduleKind(Kind);
    if (Options.SlowShare > 0) {
      Executor->after(fromMs(Options.Seconds * 1000 / 3), [this] { setSlow(Options.SlowFactor); });
      Executor->after(fromMs(Options.Seconds * 2000 / 3), [this] { setSlow(1); });
    }
  }

  void setSlow(double Factor) {
    auto Names = Fleet.servers().names();
    auto Count = static_cast<std::size_t>(Options.SlowShare * static_cast<double>(Names.size()));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.servers().setSlow(Names[Index * Names.size() / Count], Factor);
  }

  [[nodiscard]] double burstFactor(const job_kind &Kind) const {
    double Second = runtime::toMs(Executor->clock().now() - TrafficBegin) / 1000;
    double Factor = 1;
    for (const load_burst &Burst : Options.Bursts)
      if ((Burst.Queue.empty() || Burst.Queue == Kind.Queue) && Second >= Burst.AtSecond &&
          Second < Burst.AtSecond + Burst.Seconds)
        Factor *= Burst.Factor;
    return Factor;
  }

  // Poisson arrivals.
  void scheduleKind(const job_kind &Kind) {
    double MeanMs = 1000 / (Kind.JobsPerSecond * burstFactor(Kind));
    Executor->after(fromMs(-MeanMs * std::log(1 - Random.uniform())), [this, &Kind] {
      if (Executor->clock().now() >= TrafficEnd)
        return;
      submitOfKind(Kind);
      scheduleKind(Kind);
    });
  }

  double spread(double Sigma) {
    return std::exp(std::normal_distribution<double>(0, Sigma)(Random.engine()));
  }

  void submitOfKind(const job_kind &Kind) {
    std::uint64_t Id = Random.next();
    simulated_job &Job = Jobs[Id];
    Job.Kind = &Kind;
    Job.FirstSent = Executor->clock().now();
    double Ms = Kind.TaskMs * spread(SizeSpread);
    Job.Request.Job = Id;
    Job.Request.TaskCount =
        std::max(1U, static_cast<std::uint32_t>(std::lround(Kind.Tasks * spread(SizeSpread))));
    Job.Request.TaskSize.set_cpu(static_cast<std::uint32_t>(std::min(Kind.TaskCpu * spread(0.2), 41000.0)));
    Job.Request.TaskSize.set_memory_mb(64);
    Job.Request.EstimateMs = static_cast<std::uint32_t>(Ms * spread(EstimateSpread)) + 1;
    Job.Request.Specification = standin::encodeWork({Job.Request.TaskSize.cpu(), fromMs(Ms), false});
    Job.Request.Deadline = fromMs(1800 + 3500 * Random.uniform());
    Job.Objective = fromMs(1.6 * Ms + 60);
    double Work =
        Job.Request.TaskCount * Ms * Job.Request.TaskSize.cpu() / (Kind.Tasks * Kind.TaskMs * Kind.TaskCpu);
    Job.Worth = Kind.Worth * std::min(4.0, 0.3 + 0.7 * Work);
    ++Result.Jobs;
    simulation_result::credit &Credit = Result.Credit[Kind.Queue];
    Credit.Owed += Job.Worth;
    ++Credit.Jobs;
    attempt(Id);
    Executor->after(Job.Request.Deadline + std::chrono::seconds(4), [this, Id] { leave(Id); });
  }

  void noteCredit(const simulated_job &Job, bool Completed) {
    if (!Job.Kind)
      return;
    simulation_result::credit &Credit = Result.Credit[Job.Kind->Queue];
    duration Took = Executor->clock().now() - Job.FirstSent + 2 * fromMs(CallerDelayMs);
    if (!Completed) {
      ++Credit.Refused;
    } else if (Took <= Job.Objective) {
      Credit.Earned += Job.Worth;
      ++Credit.InTime;
    } else if (Took <= 3 * Job.Objective) {
      Credit.Earned += Job.Worth * LateShare;
      ++Credit.Late;
    } else {
      ++Credit.TooLate;
    }
  }

  void scheduleJob() {
    Executor->after(fromMs(2000 / Options.JobsPerSecond * Random.uniform()), [this] {
      if (Executor->clock().now() >= TrafficEnd)
        return;
      submitNew();
      scheduleJob();
    });
  }

  void submitNew() {
    std::uint64_t Id = Random.next();
    simulated_job &Job = Jobs[Id];
    constexpr auto Times = std::to_array({60.0, 200.0, 900.0});
    double Ms = Times[Random.next() % Times.size()] * (0.6 + 0.8 * Random.uniform());
    Job.Request.Job = Id;
    Job.Request.TaskCount = 1 + static_cast<std::uint32_t>(Random.next() % 4);
    Job.Request.TaskSize.set_cpu(20000 + static_cast<std::uint32_t>(Random.uniform() * 14000));
    Job.Request.TaskSize.set_memory_mb(64);
    Job.Request.EstimateMs = static_cast<std::uint32_t>(Ms * (0.7 + 0.6 * Random.uniform()));
    Job.Request.Specification = standin::encodeWork({Job.Request.TaskSize.cpu(), fromMs(Ms), false});
    Job.Request.Deadline = fromMs(1800 + 3000 * Random.uniform());
    // Some seconds after the last fault everything is back.
    Job.Calm = Executor->clock().now() > FaultsEnd + std::chrono::seconds(3);
    ++Result.Jobs;
    Result.CalmJobs += Job.Calm ? 1 : 0;
    attempt(Id);
    if (Random.uniform() < Options.LeavingShare)
      Executor->after(fromMs(400 * Random.uniform()), [this, Id] { leave(Id); });
    Executor->after(Job.Request.Deadline + std::chrono::seconds(4), [this, Id] { leave(Id); });
  }

  void attempt(std::uint64_t Id) {
    simulated_job &Job = Jobs.at(Id);
    if (!Job.CallerWaits || Job.Answered)
      return;
    Job.Vm = simulated_fleet::vmName(static_cast<std::uint32_t>(Random.next() % Options.Vms));
    std::uint64_t Attempt = ++Job.Attempt;
    Result.Resent += Attempt > 1 ? 1 : 0;
    simulated_vm *Life = &Fleet.vm(Job.Vm);
    if (!Life->Executor.alive()) {
      Executor->after(fromMs(100), [this, Id] { attempt(Id); });
      return;
    }
    ++Job.OpenAttempts;
    Executor->after(fromMs(CallerDelayMs), [this, Id, Life, Attempt] {
      if (!Life->Executor.alive()) {
        onBroken(Id, Attempt);
        return;
      }
      Life->Executor.guard([this, Id, Life, Attempt] {
        simulated_job &Submitted = Jobs.at(Id);
        if (Submitted.Attempt != Attempt || !Submitted.CallerWaits)
          return;
        const std::string Queue = Submitted.Kind ? Submitted.Kind->Queue : QueueName;
        Life->Vm->jobs().submit(*Life->Vm->current()->findQueue("", Queue), Submitted.Request);
      })();
    });
  }

  void onAnswer(const std::string &Vm, std::uint64_t Id, const job_answer &Answer) {
    simulated_job &Job = Jobs.at(Id);
    std::uint64_t Attempt = Job.Attempt;
    if (Answer.Outcome == job_outcome::Cancelled || Job.Vm != Vm)
      return;
    trace(fmt::format("{} answers {:016x}: {} {}", Vm, Id, jobOutcomeName(Answer.Outcome),
                      endReasonName(Answer.Reason)));
    if (Answer.Outcome == job_outcome::Refused) {
      --Job.OpenAttempts;
      if (Job.OpenAttempts == 0 && Job.EverStarted)
        addViolation(fmt::format("job {:016x} was refused as not run although it ran", Id));
    }
    if (Answer.Outcome == job_outcome::TimedOut) {
      Executor->after(fromMs(CallerDelayMs), [this, Id, Attempt] { onBroken(Id, Attempt); });
      return;
    }
    Job.Answered = true;
    noteCredit(Job, Answer.Outcome == job_outcome::Completed);
    if (Answer.Outcome == job_outcome::Completed) {
      ++Result.Completed;
      Result.CalmCompleted += Job.Calm ? 1 : 0;
    } else if (Answer.Outcome == job_outcome::Refused) {
      ++Result.Refused;
    }
  }

  void onBroken(std::uint64_t Id, std::uint64_t Attempt) {
    simulated_job &Job = Jobs.at(Id);
    if (Job.Attempt != Attempt || Job.Answered || !Job.CallerWaits)
      return;
    Executor->after(fromMs(ResendMs), [this, Id, Attempt] {
      if (Jobs.at(Id).Attempt == Attempt)
        attempt(Id);
    });
  }

  void leave(std::uint64_t Id) {
    simulated_job &Job = Jobs.at(Id);
    if (Job.Answered || !Job.CallerWaits)
      return;
    trace(fmt::format("caller of {:016x} leaves", Id));
    Job.CallerWaits = false;
    Job.Left = true;
    Job.LeftAt = Executor->clock().now();
    simulated_vm &Life = Fleet.vm(Job.Vm);
    Executor->after(fromMs(CallerDelayMs), Life.Executor.guard([&Life, Id] {
      Life.Vm->jobs().cancel(Id, dispatch::end_reason::CallerLeft);
    }));
  }

  // Checks.

  void onStart(const std::string &Server, const dispatch::run_key &Run) {
    ++Result.Starts;
    simulated_job &Job = Jobs.at(Run.Task.Job);
    Job.EverStarted = true;
    trace(fmt::format("{} starts {}", Server, dispatch::format(Run)));
    auto Where = Fleet.servers().running(Run.Task);
    if (Where.size() > 1)
      addViolation(fmt::format("two runs of {} at the same time, on {}", dispatch::format(Run),
                               fmt::join(Where, " and ")));
    if (Fleet.servers().usedCpu(Server) > Fleet.servers().capacityCpu(Server))
      addViolation(fmt::format("{} is over its capacity", Server));
    if (Job.OpenAttempts == 0)
      addViolation(fmt::format("{} starts after its job was refused as not run", dispatch::format(Run)));
    if (Job.Left && Executor->clock().now() - Job.LeftAt > fromMs(CancelMs))
      addViolation(fmt::format("{} starts after its caller has left", dispatch::format(Run)));
  }

  // Faults.

  void scheduleFault() {
    Executor->after(fromMs(2000 / Options.FaultsPerSecond * Random.uniform()), [this] {
      if (Executor->clock().now() >= FaultsEnd)
        return;
      ++Result.Faults;
      std::size_t Kinds = Options.Lags ? Faults.size() : Faults.size() - LagFaults;
      (this->*Faults[Random.next() % Kinds])();
      scheduleFault();
    });
  }

  std::string anyVm() {
    return simulated_fleet::vmName(static_cast<std::uint32_t>(Random.next() % Options.Vms));
  }
  std::string anyServer() {
    auto Names = Fleet.servers().names();
    return Names[Random.next() % Names.size()];
  }
  // Most faults end before the callers give up.
  duration faultTime() { return fromMs(100 + 2500 * Random.uniform() * Random.uniform()); }

  void endVm(bool Silent) {
    std::string Name = anyVm();
    simulated_vm &Life = Fleet.vm(Name);
    if (Life.Executor.alive() && !Life.Paused)
      endVmNamed(Name, Silent);
  }
  void endVmNamed(const std::string &Name, bool Silent) {
    trace(fmt::format("{} {}", Name, Silent ? "loses power" : "is killed"));
    Fleet.endVm(Name, Silent);
    for (auto &[Id, Job] : Jobs)
      if (Job.Vm == Name && Job.CallerWaits && !Job.Answered)
        Executor->after(fromMs(CallerDelayMs),
                        [this, Id = Id, Attempt = Job.Attempt] { onBroken(Id, Attempt); });
    Executor->after(faultTime(), [this, Name] {
      trace(fmt::format("{} starts", Name));
      Fleet.startVm(Name);
    });
  }
  void killVm() { endVm(false); }
  void powerOff() { endVm(true); }

  void pauseVm() {
    std::string Name = anyVm();
    simulated_vm *Life = &Fleet.vm(Name);
    if (!Life->Executor.alive() || Life->Paused)
      return;
    trace(fmt::format("{} is paused", Name));
    Fleet.pauseVm(Name);
    Executor->after(faultTime(), [this, Name, Life] {
      if (!Life->Executor.alive())
        return;
      trace(fmt::format("{} goes on", Name));
      Fleet.resumeVm(Name);
    });
  }

  void cutLink(const std::string &From, const std::string &To, duration Time) {
    if (From == To || Fleet.net().cut(From, To))
      return;
    trace(fmt::format("{} to {} is cut for {} ms", From, To, runtime::toMs(Time)));
    Fleet.setCut(From, To, true);
    Executor->after(Time, [this, From, To] {
      trace(fmt::format("{} to {} is open", From, To));
      Fleet.setCut(From, To, false);
    });
  }
  void cutOneWay() { cutLink(anyVm(), anyVm(), faultTime()); }
  void cutPair() {
    std::string One = anyVm();
    std::string Other = anyVm();
    duration Time = faultTime();
    cutLink(One, Other, Time);
    cutLink(Other, One, Time);
  }
  void cutDomain() {
    std::string Domain = Fleet.domainOf(static_cast<std::uint32_t>(Random.next() % Options.Domains));
    duration Time = faultTime();
    Fleet.eachLinkOf(
        Domain, [this, Time](const std::string &From, const std::string &To) { cutLink(From, To, Time); });
  }
  void resetConnection() {
    std::string One = anyVm();
    std::string Other = anyVm();
    trace(fmt::format("connection of {} and {} is reset", One, Other));
    Fleet.resetConnection(One, Other);
  }
  void cutServer() {
    std::string Name = anyServer();
    trace(fmt::format("{} is cut off", Name));
    Fleet.servers().setCut(Name, true);
    Executor->after(faultTime(), [this, Name] { Fleet.servers().setCut(Name, false); });
  }
  void crashServer() {
    std::string Name = anyServer();
    trace(fmt::format("{} crashes", Name));
    Fleet.servers().crash(Name);
    Executor->after(faultTime(), [this, Name] {
      trace(fmt::format("{} is back", Name));
      Fleet.servers().start(Name);
    });
  }
  void failServer() {
    std::string Name = anyServer();
    Fleet.servers().setFailing(Name, true);
    Executor->after(faultTime(), [this, Name] { Fleet.servers().setFailing(Name, false); });
  }
  void hangServer() {
    std::string Name = anyServer();
    Fleet.servers().setHanging(Name, true);
    Executor->after(faultTime(), [this, Name] { Fleet.servers().setHanging(Name, false); });
  }

  duration lagTime() { return fromMs(200 + 2800 * Random.uniform() * Random.uniform()); }
  void lagVm() {
    std::string Name = anyVm();
    simulated_vm *Life = &Fleet.vm(Name);
    if (!Life->Executor.alive())
      return;
    vm_lag Lag;
    std::uint64_t Kind = Random.next() % 4;
    if (Kind != 0)
      Lag.Arrivals = lagTime();
    Lag.Timers = Kind == 2;
    if (Kind != 1)
      Lag.Sends = lagTime();
    trace(fmt::format("{} lags: arrivals {} ms{}, sends {} ms", Name, runtime::toMs(Lag.Arrivals),
                      Lag.Timers ? " and timers" : "", runtime::toMs(Lag.Sends)));
    Life->Executor.setLag(Lag);
    Executor->after(faultTime(), [this, Name, Life] {
      trace(fmt::format("{} lags no more", Name));
      Life->Executor.setLag({});
    });
  }
  void lagLink() {
    std::string From = anyVm();
    std::string To = anyVm();
    duration Lag = lagTime();
    trace(fmt::format("{} to {} takes {} ms more", From, To, runtime::toMs(Lag)));
    Fleet.setExtraDelay(From, To, Lag);
    Executor->after(faultTime(), [this, From, To] { Fleet.setExtraDelay(From, To, {}); });
  }
  // One VM after the other drains, ends and starts again.
  void rollVms() {
    auto First = static_cast<std::uint32_t>(Random.next());
    for (std::uint32_t Index = 0; Index < (Options.Vms + 1) / 2; ++Index)
      Executor->after(
          fromMs(RollGapMs * Index),
          [this, Name = simulated_fleet::vmName((First + Index) % Options.Vms)] { drainVm(Name); });
  }
  void drainVm(const std::string &Name) {
    simulated_vm *Life = &Fleet.vm(Name);
    if (!Life->Executor.alive())
      return;
    trace(fmt::format("{} drains", Name));
    Life->Executor.guard([Life] { Life->Vm->drain(); })();
    Executor->after(fromMs(DrainMs), [this, Name, Life] {
      if (Life->Executor.alive())
        endVmNamed(Name, false);
    });
  }

  static constexpr double RollGapMs = 400;
  static constexpr double DrainMs = 800;
  static constexpr double SizeSpread = 0.4;
  static constexpr double EstimateSpread = 0.4;
  static constexpr double LateShare = 0.2;
  static constexpr auto Faults = std::to_array<void (random_day::*)()>(
      {&random_day::killVm, &random_day::powerOff, &random_day::pauseVm, &random_day::cutOneWay,
       &random_day::cutPair, &random_day::cutDomain, &random_day::resetConnection, &random_day::cutServer,
       &random_day::crashServer, &random_day::failServer, &random_day::hangServer, &random_day::lagVm,
       &random_day::lagVm, &random_day::lagLink, &random_day::rollVms});
  // At the end of the list.
  static constexpr std::size_t LagFaults = 4;

  const simulation_options &Options;
  std::unique_ptr<runtime::manual_executor> Executor;
  runtime::random Random;
  simulated_fleet Fleet;
  std::map<std::uint64_t, simulated_job> Jobs;
  time_point TrafficBegin{};
  time_point TrafficEnd{};
  time_point FaultsEnd{};
  simulation_result Result;
};

} // namespace

std::vector<job_kind> siteKinds() {
  return {{"short", 0, 34.4, 8, 60, 27000, 0.0291},
          {"long", 2, 6.25, 4, 900, 27000, 0.16},
          {"middle", 1, 100, 2, 200, 27000, 0.01}};
}

simulation_result simulateFleet(const simulation_options &Options) { return random_day(Options).run(); }

} // namespace yuccaplank::simulation
