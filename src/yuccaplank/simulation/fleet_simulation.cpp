#include "fleet_simulation.hpp"
#include "capacity_changes.hpp"
#include "crash_checks.hpp"
#include "fault_injector.hpp"
#include "reset_cuts.hpp"
#include "simulated_evacuations.hpp"
#include "simulated_fleet.hpp"
#include "store_refusals.hpp"
#include "yuccaplank/runtime/random.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace yuccaplank::simulation {
namespace {

using dispatch::job_answer;
using dispatch::job_id;
using dispatch::job_outcome;
using runtime::duration;
using runtime::fromMs;
using runtime::time_point;

// One-way network delay between a caller and a VM.
constexpr double CallerDelayMs = 3;
// Delay before a caller sends a job again after a broken connection or an answer with status 502 or 504.
constexpr double ResendDelayMs = 1300;
// Time after a caller's departure from which no task of its job may start; includes the time that a stop
// takes.
constexpr double CancelLimitMs = 3050;
// Rack of the first two servers, as named by simulated_fleet.
constexpr const char *HotRack = "r0";
// Time after the end of the traffic in which the remaining jobs have to be answered.
constexpr auto SettleDelay = std::chrono::seconds(12);

struct simulated_job {
  const job_kind *Kind = nullptr;
  duration Objective{};
  double Credit = 0;
  time_point FirstSent{};
  dispatch::job_request Request;
  bool CallerWaits = true;
  bool Answered = false;
  // Attempts that have not been refused.
  int OpenAttempts = 0;
  bool EverStarted = false;
  std::string Vm;
  std::uint64_t Attempt = 0;
  time_point LeftAt{};
  bool Left = false;
  bool AfterFaults = false;
  std::optional<std::uint32_t> CrashingTask = std::nullopt;
  // Whether all stop orders for its tasks are carried out late.
  bool LateStops = false;
};

fleet_layout makeLayout(const simulation_options &Options) {
  fleet_layout Layout{Options.Vms, Options.Domains, Options.Servers, Options.DispatchersPerDomain, {}};
  Layout.EqualVms = !Options.EnableLags;
  Layout.RemoteFactor = Options.RemoteFactor;
  for (const job_kind &Kind : Options.Kinds)
    Layout.Queues.push_back(makeQueue(Kind.Queue, Kind.Priority));
  return Layout;
}

// Runs a fleet together with its callers and faults.
class simulated_day {
public:
  explicit simulated_day(const simulation_options &Options)
      : Options(Options), Executor(runtime::makeManualExecutor()), Random(Options.Seed),
        Fleet(
            *Executor, Random, makeLayout(Options),
            {Options.LateOrderShare, Options.LostAnswerShare, Options.FailedRunShare, Options.LongTaskShare,
             7, Options.RemoteFactor},
            [this](const std::string &Server, const dispatch::run_key &Run) { onStart(Server, Run); },
            [this](const std::string &Vm, job_id Job, const job_answer &Answer) {
              onAnswer(Vm, Job, Answer);
            }) {}

  simulation_result run() {
    Fleet.observeEndlessInstants([this](const std::string &Vm) {
      addViolation(fmt::format("{} works without end while no time passes", Vm));
      Executor->post([this, Vm] {
        Fleet.endVm(Vm, false);
        onVmEnded(Vm);
      });
    });
    Fleet.start();
    Fleet.servers().observeCrashes(
        [this](const simulated_servers::crashed_runs &Runs) { Crashes.onCrash(Runs); });
    if (Options.LateStopShare > 0)
      Fleet.servers().setLateStops(
          [this](const dispatch::task_key &Task) { return Jobs.at(Task.Job).LateStops; });
    Fleet.servers().observeLapses([this](const dispatch::run_key &Run) {
      Result.LapsedRuns += Jobs.at(Run.Task.Job).LateStops ? 0 : 1;
    });
    Executor->advance(std::chrono::seconds(2));
    TrafficEnd = Executor->clock().now() + fromMs(Options.TrafficSeconds * 1000);
    FaultsEnd = Executor->clock().now() + fromMs(Options.TrafficSeconds * 1000 * FaultPhaseShare);
    scheduleTraffic();
    if (Options.EnableEvacuations)
      Evacuations.start();
    if (Options.EnableStoreRefusals)
      Refusals.start(TrafficEnd);
    if (Options.CapacityChangesPerSecond > 0)
      Capacities.start(TrafficEnd);
    if (Options.ResetCutShare > 0)
      Cuts.start(FaultsEnd);
    if (Options.FaultsPerSecond > 0)
      Faults->start(FaultsEnd);
    if (Options.CountMessages)
      Fleet.net().countMessages();
    Executor->advance(fromMs(Options.TrafficSeconds * 1000));
    recordMessageRates();
    Executor->advance(SettleDelay);
    for (const auto &[Id, Job] : Jobs)
      if (Job.CallerWaits && !Job.Answered)
        addViolation(fmt::format("job {} has no answer", formatJob(Id)));
    Result.Faults = Faults->count();
    Result.Crashes = Crashes.crashes();
    Result.MaxCrashesOfTask = Crashes.maxCrashesOfTask();
    return Result;
  }

private:
  // Share of the traffic time in which faults occur; the rest shows whether the fleet recovers.
  static constexpr double FaultPhaseShare = 0.6;
  static constexpr duration FailingJobsDuration = std::chrono::seconds(3);

  void recordMessageRates() {
    const auto &Counts = Fleet.net().counts();
    if (!Counts)
      return;
    for (const auto &[Vm, Count] : Counts->BySender) {
      double PerSecond = static_cast<double>(Count.Messages) / Options.TrafficSeconds;
      Result.MeanVmMessagesPerSecond += PerSecond / Options.Vms;
      Result.MaxVmMessagesPerSecond = std::max(Result.MaxVmMessagesPerSecond, PerSecond);
      Result.MaxVmBytesPerSecond =
          std::max(Result.MaxVmBytesPerSecond, static_cast<double>(Count.Bytes) / Options.TrafficSeconds);
    }
    for (const auto &[Kind, Count] : Counts->ByKind)
      Result.MessagesPerSecondByKind[Kind] = static_cast<double>(Count.Messages) / Options.TrafficSeconds;
  }

  void addViolation(std::string Text) {
    trace(Text);
    Result.Violations.push_back(
        fmt::format("{:.1f} ms: {}", runtime::toMs(Executor->clock().now().time_since_epoch()), Text));
  }

  void trace(const std::string &Text) const { Context.trace(Text); }

  // Callers

  void scheduleTraffic() {
    TrafficBegin = Executor->clock().now();
    if (Options.Kinds.empty())
      scheduleRandomJob();
    for (const job_kind &Kind : Options.Kinds)
      scheduleJobOfKind(Kind);
    Executor->after(fromMs(Options.TrafficSeconds * 1000 / 3), [this] { beginServerFaults(); });
    Executor->after(fromMs(Options.TrafficSeconds * 2000 / 3), [this] { endServerFaults(); });
  }

  // Returns this share of the servers, spread over all of them. Faults with another offset concern others.
  [[nodiscard]] std::vector<std::string> serverShare(double Share, std::size_t Offset) {
    auto Names = Fleet.servers().names();
    auto Count = static_cast<std::size_t>(Share * static_cast<double>(Names.size()));
    std::vector<std::string> Chosen;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Chosen.push_back(Names[(Index * Names.size() / Count + Offset) % Names.size()]);
    return Chosen;
  }

  void beginServerFaults() {
    setServerFaults(Options.SlowdownFactor, Options.PartFailing, Options.PartHanging);
    Fleet.servers().setFailingJobs(Options.FailingJobShare);
    Executor->after(FailingJobsDuration, [this] { Fleet.servers().setFailingJobs(0); });
    ServersFlap = true;
    for (const std::string &Name : serverShare(Options.FlappingServerShare, 3))
      flap(Name);
  }
  void endServerFaults() {
    setServerFaults(1, 0, 0);
    ServersFlap = false;
  }
  void setServerFaults(double Slowdown, double PartFailing, double PartHanging) {
    for (const std::string &Name : serverShare(Options.SlowServerShare, 0))
      Fleet.servers().setSlowdown(Name, Slowdown);
    for (const std::string &Name : serverShare(Options.FailingServerShare, 1))
      Fleet.servers().setFailing(Name, PartFailing);
    for (const std::string &Name : serverShare(Options.HangingServerShare, 2))
      Fleet.servers().setHanging(Name, PartHanging);
  }

  // Crashes the server, and restarts it after half of the interval.
  void flap(const std::string &Name) {
    if (!ServersFlap)
      return;
    Fleet.servers().crash(Name);
    Executor->after(fromMs(Options.FlapIntervalMs / 2), [this, Name] { Fleet.servers().start(Name); });
    Executor->after(fromMs(Options.FlapIntervalMs), [this, Name] { flap(Name); });
  }

  [[nodiscard]] double burstFactor(const job_kind &Kind) const {
    double Second = runtime::toMs(Executor->clock().now() - TrafficBegin) / 1000;
    double Factor = 1;
    for (const load_burst &Burst : Options.Bursts)
      if ((Burst.Queue.empty() || Burst.Queue == Kind.Queue) && Second >= Burst.StartSecond &&
          Second < Burst.StartSecond + Burst.DurationSeconds)
        Factor *= Burst.Factor;
    return Factor;
  }

  // Jobs arrive as a Poisson process.
  void scheduleJobOfKind(const job_kind &Kind) {
    double MeanMs = 1000 / (Kind.JobsPerSecond * burstFactor(Kind));
    Executor->after(fromMs(-MeanMs * std::log(1 - Random.uniform())), [this, &Kind] {
      if (Executor->clock().now() >= TrafficEnd)
        return;
      submitJobOfKind(Kind);
      scheduleJobOfKind(Kind);
    });
  }

  double sampleLogNormal(double Sigma) {
    return std::exp(std::normal_distribution<double>(0, Sigma)(Random.engine()));
  }

  // With paired ids, every other job has the digits of the job before it, in capitals.
  job_id nextJobId() {
    std::uint64_t Digits = Random.next();
    if (!Options.PairIds)
      return job_id(Digits);
    if (PairedId.hasCapitals())
      return std::exchange(PairedId, job_id());
    constexpr std::uint32_t AllDigits = (1U << job_id::DigitCount) - 1;
    PairedId = job_id(Digits, AllDigits);
    return job_id(Digits);
  }

  void submitJobOfKind(const job_kind &Kind) {
    job_id Id = nextJobId();
    simulated_job &Job = Jobs[Id];
    Job.Kind = &Kind;
    Job.FirstSent = Executor->clock().now();
    double Ms = Kind.TaskMs * sampleLogNormal(SizeSpread);
    Job.Request.Job = Id;
    Job.Request.TaskCount =
        std::max(1U, static_cast<std::uint32_t>(std::lround(Kind.Tasks * sampleLogNormal(SizeSpread))));
    Job.Request.TaskSize.set_cpu(
        static_cast<std::uint32_t>(std::min(Kind.TaskCpu * sampleLogNormal(0.2), 41000.0)));
    Job.Request.TaskSize.set_memory_mb(64);
    Job.Request.EstimateMs = static_cast<std::uint32_t>(Ms * sampleLogNormal(EstimateSpread)) + 1;
    Job.CrashingTask = chooseCrashingTask();
    Job.Request.Specification =
        standin::encodeWork({Job.Request.TaskSize.cpu(), fromMs(Ms), false, Job.CrashingTask});
    Job.Request.Deadline = fromMs(Job.CrashingTask ? CrashingJobDeadlineMs : 1800 + 3500 * Random.uniform());
    chooseLateStops(Job);
    Job.Objective = fromMs(1.6 * Ms + 60);
    double RelativeWork =
        Job.Request.TaskCount * Ms * Job.Request.TaskSize.cpu() / (Kind.Tasks * Kind.TaskMs * Kind.TaskCpu);
    Job.Credit = Kind.MeanCredit * std::min(4.0, 0.3 + 0.7 * RelativeWork);
    ++Result.Jobs;
    simulation_result::credit &Credit = Result.CreditByQueue[Kind.Queue];
    Credit.Attainable += Job.Credit;
    ++Credit.Jobs;
    sendAttempt(Id);
    Executor->after(Job.Request.Deadline + std::chrono::seconds(4), [this, Id] { leave(Id); });
  }

  void recordCredit(const simulated_job &Job, bool Completed) {
    if (!Job.Kind)
      return;
    simulation_result::credit &Credit = Result.CreditByQueue[Job.Kind->Queue];
    duration Latency = Executor->clock().now() - Job.FirstSent + 2 * fromMs(CallerDelayMs);
    if (!Completed) {
      ++Credit.Refused;
    } else if (Latency <= Job.Objective) {
      Credit.Earned += Job.Credit;
      ++Credit.InTime;
    } else if (Latency <= 3 * Job.Objective) {
      Credit.Earned += Job.Credit * LateCreditShare;
      ++Credit.Late;
    } else {
      ++Credit.TooLate;
    }
  }

  void scheduleRandomJob() {
    Executor->after(fromMs(2000 / Options.JobsPerSecond * Random.uniform()), [this] {
      if (Executor->clock().now() >= TrafficEnd)
        return;
      submitRandomJob();
      scheduleRandomJob();
    });
  }

  void submitRandomJob() {
    job_id Id = nextJobId();
    simulated_job &Job = Jobs[Id];
    constexpr auto TaskMsChoices = std::to_array({60.0, 200.0, 900.0});
    double Ms = TaskMsChoices[Random.next() % TaskMsChoices.size()] * (0.6 + 0.8 * Random.uniform());
    Job.Request.Job = Id;
    Job.Request.TaskCount = 1 + static_cast<std::uint32_t>(Random.next() % 4);
    Job.Request.TaskSize.set_cpu(20000 + static_cast<std::uint32_t>(Random.uniform() * 14000));
    Job.Request.TaskSize.set_memory_mb(64);
    Job.Request.EstimateMs = static_cast<std::uint32_t>(Ms * (0.7 + 0.6 * Random.uniform()));
    Job.CrashingTask = chooseCrashingTask();
    if (Options.RackJobShare > 0 && Random.uniform() < Options.RackJobShare)
      Job.Request.Rack = HotRack;
    Job.Request.Specification = standin::encodeWork(
        {Job.Request.TaskSize.cpu(), fromMs(Ms), false, Job.CrashingTask, Job.Request.Rack});
    Job.Request.Deadline = fromMs(Job.CrashingTask ? CrashingJobDeadlineMs : 1800 + 3000 * Random.uniform());
    chooseLateStops(Job);
    // 3 s after the end of the fault phase, everything has recovered.
    Job.AfterFaults = Executor->clock().now() > FaultsEnd + std::chrono::seconds(3);
    ++Result.Jobs;
    Result.JobsAfterFaults += Job.AfterFaults ? 1 : 0;
    sendAttempt(Id);
    if (Random.uniform() < Options.LeavingCallerShare)
      Executor->after(fromMs(400 * Random.uniform()), [this, Id] { leave(Id); });
    Executor->after(Job.Request.Deadline + std::chrono::seconds(4), [this, Id] { leave(Id); });
  }

  // Days without crashing tasks draw no random number, so that their seeds keep their meaning.
  std::optional<std::uint32_t> chooseCrashingTask() {
    bool Crashes = Options.CrashingJobShare > 0 && Random.uniform() < Options.CrashingJobShare;
    Result.HarmlessJobs += Crashes ? 0 : 1;
    return Crashes ? std::optional<std::uint32_t>(0) : std::nullopt;
  }

  // A job whose stop orders are late has tasks that are still at work when its caller sends it again.
  void chooseLateStops(simulated_job &Job) {
    Job.LateStops = Options.LateStopShare > 0 && Random.uniform() < Options.LateStopShare;
    if (!Job.LateStops)
      return;
    duration Work = std::chrono::duration_cast<duration>(Job.Request.Deadline * LateStopWorkFactor);
    Job.Request.Specification = standin::encodeWork({Job.Request.TaskSize.cpu(), Work, false});
  }

  void recordHarmlessAnswer(const job_answer &Answer) {
    Result.HarmlessJobsCompleted += Answer.Outcome == job_outcome::Completed ? 1 : 0;
    Result.HarmlessJobsGivenUp += Answer.Outcome == job_outcome::Failed ? 1 : 0;
  }

  void sendAttempt(job_id Id) {
    simulated_job &Job = Jobs.at(Id);
    if (!Job.CallerWaits || Job.Answered)
      return;
    Job.Vm = simulated_fleet::vmName(static_cast<std::uint32_t>(Random.next() % Options.Vms));
    std::uint64_t Attempt = ++Job.Attempt;
    Result.Resent += Attempt > 1 ? 1 : 0;
    simulated_vm *Process = &Fleet.vm(Job.Vm);
    if (!Process->Executor.alive()) {
      Executor->after(fromMs(100), [this, Id] { sendAttempt(Id); });
      return;
    }
    ++Job.OpenAttempts;
    Executor->after(fromMs(CallerDelayMs), [this, Id, Process, Attempt] {
      if (!Process->Executor.alive()) {
        onAttemptFailed(Id, Attempt);
        return;
      }
      Process->Executor.guard([this, Id, Process, Attempt] {
        simulated_job &Submitted = Jobs.at(Id);
        if (Submitted.Attempt != Attempt || !Submitted.CallerWaits)
          return;
        const std::string Queue = Submitted.Kind ? Submitted.Kind->Queue : QueueName;
        Process->Vm->jobs().submit(*Process->Vm->currentConfiguration()->findQueue("", Queue),
                                   Submitted.Request);
      })();
    });
  }

  void onAnswer(const std::string &Vm, job_id Id, const job_answer &Answer) {
    simulated_job &Job = Jobs.at(Id);
    std::uint64_t Attempt = Job.Attempt;
    if (Answer.Outcome == job_outcome::Cancelled || Job.Vm != Vm)
      return;
    trace(fmt::format("{} answers {}: {} {}", Vm, formatJob(Id), jobOutcomeName(Answer.Outcome),
                      endReasonName(Answer.Reason)));
    if (Answer.Outcome == job_outcome::Refused) {
      --Job.OpenAttempts;
      if (Job.OpenAttempts == 0 && Job.EverStarted)
        addViolation(fmt::format("job {} was refused as not run although it ran", formatJob(Id)));
    }
    if (Answer.Outcome == job_outcome::TimedOut) {
      Executor->after(fromMs(CallerDelayMs), [this, Id, Attempt] { onAttemptFailed(Id, Attempt); });
      return;
    }
    Job.Answered = true;
    if (!Job.CrashingTask)
      recordHarmlessAnswer(Answer);
    if (Answer.Outcome == job_outcome::Failed && Answer.Reason == dispatch::end_reason::ServersCrashed) {
      ++Result.JobsGivenUp;
      if (auto Violation = Crashes.onGivenUp(Id))
        addViolation(*Violation);
    }
    recordCredit(Job, Answer.Outcome == job_outcome::Completed);
    if (Answer.Outcome == job_outcome::Completed) {
      ++Result.Completed;
      Result.CompletedAfterFaults += Job.AfterFaults ? 1 : 0;
    } else if (Answer.Outcome == job_outcome::Refused) {
      ++Result.Refused;
    }
  }

  void onAttemptFailed(job_id Id, std::uint64_t Attempt) {
    simulated_job &Job = Jobs.at(Id);
    if (Job.Attempt != Attempt || Job.Answered || !Job.CallerWaits)
      return;
    Executor->after(fromMs(ResendDelayMs), [this, Id, Attempt] {
      if (Jobs.at(Id).Attempt == Attempt)
        sendAttempt(Id);
    });
  }

  // The callers of the VM see their connections break.
  void onVmEnded(const std::string &Vm) {
    for (auto &[Id, Job] : Jobs)
      if (Job.Vm == Vm && Job.CallerWaits && !Job.Answered)
        Executor->after(fromMs(CallerDelayMs),
                        [this, Id = Id, Attempt = Job.Attempt] { onAttemptFailed(Id, Attempt); });
  }

  void leave(job_id Id) {
    simulated_job &Job = Jobs.at(Id);
    if (Job.Answered || !Job.CallerWaits)
      return;
    trace(fmt::format("caller of {} leaves", formatJob(Id)));
    Job.CallerWaits = false;
    Job.Left = true;
    Job.LeftAt = Executor->clock().now();
    simulated_vm &Process = Fleet.vm(Job.Vm);
    Executor->after(fromMs(CallerDelayMs), Process.Executor.guard([&Process, Id] {
      Process.Vm->jobs().cancel(Id, dispatch::end_reason::CallerLeft);
    }));
  }

  // Checks

  void onStart(const std::string &Server, const dispatch::run_key &Run) {
    ++Result.Starts;
    simulated_job &Job = Jobs.at(Run.Task.Job);
    Job.EverStarted = true;
    if (Job.CrashingTask == Run.Task.Index)
      if (auto Violation = Crashes.onCrashingStart(Run))
        addViolation(*Violation);
    trace(fmt::format("{} starts {}", Server, dispatch::format(Run)));
    auto RunningServers = Fleet.servers().serversRunning(Run.Task);
    if (RunningServers.size() > 1)
      addViolation(fmt::format("two runs of {} at the same time, on {}", dispatch::format(Run),
                               fmt::join(RunningServers, " and ")));
    if (Fleet.servers().usedCpu(Server) > Fleet.servers().bindingCapacityCpu(Server))
      addViolation(fmt::format("{} is over its capacity", Server));
    if (Job.OpenAttempts == 0)
      addViolation(fmt::format("{} starts after its job was refused as not run", dispatch::format(Run)));
    if (Job.Left && Executor->clock().now() - Job.LeftAt > fromMs(CancelLimitMs))
      addViolation(fmt::format("{} starts after its caller left", dispatch::format(Run)));
  }

  // Long enough for a task to crash more servers than it may.
  static constexpr double CrashingJobDeadlineMs = 8000;
  // Spreads are standard deviations of logarithms.
  static constexpr double SizeSpread = 0.4;
  static constexpr double EstimateSpread = 0.4;
  static constexpr double LateCreditShare = 0.2;
  // Run time of the tasks of a job whose stop orders are late, in deadlines.
  static constexpr double LateStopWorkFactor = 2.5;

  const simulation_options &Options;
  std::unique_ptr<runtime::manual_executor> Executor;
  runtime::random Random;
  simulated_fleet Fleet;
  simulation_context Context{Options, *Executor, Random, Fleet};
  simulated_evacuations Evacuations{Context, [this](std::string Text) { addViolation(std::move(Text)); }};
  capacity_changes Capacities{Context};
  store_refusals Refusals{Context};
  reset_cuts Cuts{Context};
  std::unique_ptr<fault_injector> Faults =
      makeFaultInjector(Context, [this](const std::string &Vm) { onVmEnded(Vm); });
  std::map<job_id, simulated_job> Jobs;
  // Id of the next job, if it has capitals.
  job_id PairedId;
  crash_checks Crashes;
  time_point TrafficBegin{};
  bool ServersFlap = false;
  time_point TrafficEnd{};
  time_point FaultsEnd{};
  simulation_result Result;
};

} // namespace

std::vector<job_kind> siteJobKinds(double Load) {
  return {{"short", 0, 34.4 * Load, 8, 60, 27000, 0.0291},
          {"long", 2, 6.25 * Load, 4, 900, 27000, 0.16},
          {"middle", 1, 100 * Load, 2, 200, 27000, 0.01}};
}

simulation_result simulateFleet(const simulation_options &Options) { return simulated_day(Options).run(); }

} // namespace yuccaplank::simulation
