#include "world.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::scenario {
namespace {

using simulation::simulated_vm;

constexpr double ThousandthsPerCore = 1000;
// Time in which all VMs discover each other and claim their servers.
constexpr auto StartupDuration = std::chrono::seconds(2);

} // namespace

world::world(const world_options &Options)
    : Random(Options.Seed),
      Fleet(
          *Executor, Random,
          {Options.Vms,
           Options.Domains,
           Options.Servers,
           Options.DispatchersPerDomain,
           {simulation::makeQueue("urgent", 0), simulation::makeQueue("bulk", 2)}},
          {}, [this](const std::string &Server, const dispatch::run_key &Run) { onStart(Server, Run); },
          [this](const std::string &Vm, dispatch::job_id Job, const dispatch::job_answer &Answer) {
            onAnswer(Vm, Job, Answer);
          }) {
  Fleet.start();
  Executor->advance(StartupDuration);
}

double world::nowMs() const { return runtime::toMs(Executor->clock().now().time_since_epoch()); }

void world::killVm(const std::string &Vm, bool PowerLoss) {
  Fleet.endVm(Vm, PowerLoss);
  for (submission_record &Record : Submissions)
    if (Record.Vm == Vm && !Record.Answered)
      Record.ConnectionLost = true;
}

void world::cutDomain(const std::string &Domain) {
  Fleet.forEachLink(Domain, [this](const std::string &From, const std::string &To) { cutLink(From, To); });
}

void world::cutLink(const std::string &From, const std::string &To) {
  Fleet.setCut(From, To, true);
  Cuts.emplace_back(From, To);
}

void world::heal() {
  for (const auto &[From, To] : Cuts)
    Fleet.setCut(From, To, false);
  Cuts.clear();
}

void world::setEvacuated(const std::string &Domain, bool IsEvacuated, const std::string &Vm) {
  Fleet.setEvacuated(Domain, IsEvacuated, [&](const std::string &Name) {
    return Vm.empty() || Vm == Name ? std::optional(runtime::duration::zero()) : std::nullopt;
  });
}

std::string world::ownerOf(const std::string &Server) {
  for (std::uint32_t Index = 0; Index < Fleet.layout().Vms; ++Index) {
    simulated_vm &Process = Fleet.vm(simulation::simulated_fleet::vmName(Index));
    if (!Process.Executor.alive())
      continue;
    schema::fleet_report Reported = Process.Vm->report();
    for (const schema::server_report &Report : Reported.servers())
      if (Report.server() == Server)
        return Process.Name;
  }
  return {};
}

std::size_t world::submit(const std::string &Vm, const job_spec &Spec) {
  submission_record Record;
  Record.Job = dispatch::job_id(++LastJob);
  Record.Queue = Spec.Queue;
  dispatch::job_request &Request = Record.Request;
  Request.Job = Record.Job;
  Request.TaskCount = Spec.Tasks;
  Request.TaskSize.set_cpu(static_cast<std::uint32_t>(Spec.Cores * ThousandthsPerCore));
  Request.TaskSize.set_memory_mb(64);
  Request.EstimateMs = static_cast<std::uint32_t>(Spec.DeclaredMs > 0 ? Spec.DeclaredMs : Spec.TaskMs);
  standin::run_work Work{Request.TaskSize.cpu(), runtime::fromMs(Spec.TaskMs)};
  if (Spec.Crashes)
    Work.CrashingTask = 0;
  Request.Specification = standin::encodeWork(Work);
  Request.Deadline = runtime::fromMs(Spec.DeadlineMs);
  return send(Vm, std::move(Record));
}

std::size_t world::resubmit(const std::string &Vm, std::size_t Submission) {
  submission_record Record;
  Record.Job = Submissions.at(Submission).Job;
  Record.Queue = Submissions.at(Submission).Queue;
  Record.Request = Submissions.at(Submission).Request;
  return send(Vm, std::move(Record));
}

std::size_t world::send(const std::string &Vm, submission_record Record) {
  Record.Vm = Vm;
  Record.SentAt = Executor->clock().now();
  simulated_vm &Process = Fleet.vm(Vm);
  Record.ConnectionLost = !Process.Executor.alive();
  dispatch::job_request Request = Record.Request;
  std::string Queue = Record.Queue;
  Submissions.push_back(std::move(Record));
  if (Process.Executor.alive())
    Process.Executor.guard([&Process, Queue, Request] {
      Process.Vm->jobs().submit(*Process.Vm->currentConfiguration()->findQueue("", Queue), Request);
    })();
  return Submissions.size() - 1;
}

void world::leave(std::size_t Submission) {
  submission_record &Record = Submissions.at(Submission);
  Record.Left = true;
  simulated_vm &Process = Fleet.vm(Record.Vm);
  Process.Executor.guard(
      [&Process, Job = Record.Job] { Process.Vm->jobs().cancel(Job, dispatch::end_reason::CallerLeft); })();
}

void world::cancel(const std::string &Vm, std::size_t Submission) {
  simulated_vm &Process = Fleet.vm(Vm);
  Process.Executor.guard(
      [&Process, Job = Submissions.at(Submission).Job] { Process.Vm->cancel(Job, [](bool) {}); })();
}

std::uint64_t world::startCount(std::size_t Submission) const {
  auto Found = Starts.find(Submissions.at(Submission).Job);
  return Found == Starts.end() ? 0 : Found->second;
}

std::uint32_t world::runningTasks(std::size_t Submission) {
  const submission_record &Record = Submissions.at(Submission);
  std::uint32_t Sum = 0;
  for (std::uint32_t Index = 0; Index < Record.Request.TaskCount; ++Index)
    Sum += static_cast<std::uint32_t>(Fleet.servers().serversRunning({Record.Job, Index}).size());
  return Sum;
}

std::vector<std::string> world::violations() const {
  std::vector<std::string> Result = Violations;
  for (const submission_record &Record : Submissions)
    if (!Record.Answered && !Record.ConnectionLost && !Record.Left)
      Result.push_back(
          fmt::format("job {} has no answer from {}", dispatch::formatJob(Record.Job), Record.Vm));
  return Result;
}

void world::onStart(const std::string &Server, const dispatch::run_key &Run) {
  ++Starts[Run.Task.Job];
  if (Fleet.servers().serversRunning(Run.Task).size() > 1)
    Violations.push_back(fmt::format("two runs of {} at the same time", dispatch::format(Run)));
  if (Fleet.servers().usedCpu(Server) > Fleet.servers().capacityCpu(Server))
    Violations.push_back(fmt::format("{} starts on {} beyond its capacity", dispatch::format(Run), Server));
  bool MayRun = std::ranges::any_of(Submissions, [&](const submission_record &Record) {
    return Record.Job == Run.Task.Job &&
           !(Record.Answered && Record.Answer.Outcome == dispatch::job_outcome::Refused);
  });
  if (!MayRun)
    Violations.push_back(fmt::format("{} starts after its job was refused", dispatch::format(Run)));
}

void world::onAnswer(const std::string &Vm, dispatch::job_id Job, const dispatch::job_answer &Answer) {
  for (submission_record &Record : Submissions) {
    if (Record.Job != Job || Record.Vm != Vm || Record.ConnectionLost || Record.Left)
      continue;
    if (std::exchange(Record.Answered, true))
      continue;
    Record.Answer = Answer;
    Record.LatencyMs = runtime::toMs(Executor->clock().now() - Record.SentAt);
    bool OnlySubmission = std::ranges::count(Submissions, Job, &submission_record::Job) == 1;
    if (Answer.Outcome == dispatch::job_outcome::Refused && OnlySubmission && Starts.contains(Job))
      Violations.push_back(fmt::format("job {} was refused although it ran", dispatch::formatJob(Job)));
  }
}

} // namespace yuccaplank::scenario
