#include "job_runner.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <algorithm>
#include <array>

namespace yuccaplank::node {
namespace {

using runtime::errc;
using wire::attempt_verdict;

// The server stops a task this long after the job's deadline even when no stop request reaches it.
constexpr runtime::duration LeaseGrace = std::chrono::milliseconds(200);

constexpr double MaxRetryMs = 60'000;

// Indexed by attempt_verdict.
constexpr auto AttemptEnds = std::to_array<model::attempt_end>(
    {model::attempt_end::Completed, model::attempt_end::NotStarted, model::attempt_end::Failed});

std::string taskId(const run_request &Request, std::uint32_t Index) {
  return Request.Id + "/" + Request.Job->tasks(static_cast<int>(Index)).name();
}

} // namespace

job_runner::job_runner(runtime::executor &Executor, ports &Ports, model::scheduler &Scheduler,
                       node_counters &Counters)
    : Executor(Executor), Ports(Ports), Scheduler(Scheduler), Counters(Counters) {}

std::optional<model::admission_refusal> job_runner::run(run_request Request, answer_function OnEnd,
                                                        model::job_key &Key) {
  Key = ++LastKey;
  running_job &Job = Jobs[Key];
  Job.Request = std::move(Request);
  Job.OnEnd = std::move(OnEnd);
  Job.Results.resize(static_cast<std::size_t>(Job.Request.Job->tasks_size()));
  auto Refusal =
      Scheduler.submit({Key, Job.Request.Job.get(), &Job.Request.Service->document(), Job.Request.Deadline});
  if (Refusal)
    Jobs.erase(Key);
  else
    wake();
  return Refusal;
}

void job_runner::end(model::job_key Key, errc Reason) { fail(Key, Reason, {}, false); }

void job_runner::dropQueued(errc Reason) {
  for (const model::job_failure &Failure : Scheduler.dropQueued(Reason))
    fail(Failure.Job, Failure.Reason, Failure.Subject, Failure.MayHaveRun);
}

void job_runner::wake() {
  if (PumpPosted)
    return;
  PumpPosted = true;
  Executor.post([this] {
    PumpPosted = false;
    pump();
  });
}

void job_runner::pump() {
  model::scheduler_decisions Decisions = Scheduler.takeDecisions();
  for (const model::task_start &Start : Decisions.Starts)
    startTask(Start);
  for (const model::job_failure &Failure : Decisions.Failures)
    fail(Failure.Job, Failure.Reason, Failure.Subject, Failure.MayHaveRun);
  Executor.cancel(WakeTimer);
  WakeTimer = 0;
  if (auto Wakeup = Scheduler.nextWakeup()) {
    auto Delay = std::max(*Wakeup - Executor.clock().now(), runtime::duration(std::chrono::milliseconds(1)));
    WakeTimer = Executor.after(Delay, [this] { wake(); });
  }
}

void job_runner::startTask(const model::task_start &Start) {
  auto Found = Jobs.find(Start.Task.Job);
  if (Found == Jobs.end()) {
    // The job ended between the decision and now.
    Scheduler.attemptEnded(Start.Task, Start.Server, model::attempt_end::NotStarted);
    return;
  }
  running_job &Job = Found->second;
  ++Job.Attempts;
  ++Counters.TasksStarted;
  const schema::task &Task = Job.Request.Job->tasks(static_cast<int>(Start.Task.Index));
  task_order Order;
  Order.TaskId = taskId(Job.Request, Start.Task.Index);
  Order.Server = Start.Server;
  Order.Address = Start.Address;
  Order.Kind = Task.kind();
  Order.Payload = Task.payload();
  Order.Lease =
      std::max(Job.Request.Deadline - Executor.clock().now(), runtime::duration::zero()) + LeaseGrace;
  Ports.startTask(std::move(Order),
                  [this, Start](task_report Report) { taskEnded(Start, std::move(Report)); });
}

void job_runner::taskEnded(const model::task_start &Start, task_report Report) {
  const wire::attempt_outcome &Outcome = Report.Outcome;
  if (Outcome.Leaving)
    Scheduler.markLeaving(Start.Server);
  auto End = AttemptEnds[static_cast<std::size_t>(Outcome.Verdict)];
  Scheduler.attemptEnded(Start.Task, Start.Server, End);
  wake();
  if (Outcome.Verdict == attempt_verdict::NotStarted) {
    ++Counters.StartsRefused;
    if (auto Found = Jobs.find(Start.Task.Job); Found != Jobs.end())
      --Found->second.Attempts;
    return;
  }
  if (Outcome.Verdict == attempt_verdict::Completed) {
    ++Counters.TasksCompleted;
    storeResult(Start.Task.Job, Start.Task.Index, std::move(Report.Payload));
    return;
  }
  ++Counters.TasksFailed;
  auto Found = Jobs.find(Start.Task.Job);
  if (Found == Jobs.end())
    return;
  runtime::log(runtime::log_level::Warning, "task_failed",
               {{"task", taskId(Found->second.Request, Start.Task.Index)},
                {"server", Start.Server},
                {"reason", std::string(runtime::errcName(Outcome.Reason))}});
  fail(Start.Task.Job, Outcome.Reason,
       Found->second.Request.Job->tasks(static_cast<int>(Start.Task.Index)).name(), true);
}

void job_runner::storeResult(model::job_key Key, std::uint32_t Index, std::string Payload) {
  auto Found = Jobs.find(Key);
  if (Found == Jobs.end())
    return;
  running_job &Job = Found->second;
  Job.Results[Index] = std::move(Payload);
  if (++Job.Completed < Job.Results.size())
    return;
  schema::job_answer Answer = wire::makeAnswer(Job.Request.Id, schema::OUTCOME_DONE, errc::Ok);
  for (std::size_t Position = 0; Position < Job.Results.size(); ++Position) {
    schema::task_result &Result = *Answer.add_results();
    Result.set_name(Job.Request.Job->tasks(static_cast<int>(Position)).name());
    Result.set_payload(std::move(Job.Results[Position]));
  }
  finish(Key, std::move(Answer));
}

void job_runner::fail(model::job_key Key, errc Reason, const std::string &Subject, bool MayHaveRun) {
  auto Found = Jobs.find(Key);
  if (Found == Jobs.end())
    return;
  const running_job &Job = Found->second;
  for (const model::task_start &Start : Scheduler.cancel(Key)) {
    ++Counters.StopsSent;
    Ports.stopTask(taskId(Job.Request, Start.Task.Index), Start.Address);
  }
  wake();
  bool Ran = MayHaveRun || Job.Attempts > 0;
  auto Outcome = Ran ? schema::OUTCOME_FAILED : schema::OUTCOME_REFUSED;
  auto RetryMs = static_cast<std::uint32_t>(std::min(Scheduler.load().BacklogMs, MaxRetryMs));
  finish(Key, wire::makeAnswer(Job.Request.Id, Outcome, Reason, Subject, Ran ? 0 : RetryMs));
}

void job_runner::finish(model::job_key Key, schema::job_answer Answer) {
  auto Node = Jobs.extract(Key);
  // Posted, so that the caller's code never runs within the runner's.
  Executor.post([OnEnd = std::move(Node.mapped().OnEnd), Answer = std::move(Answer)] { OnEnd(Answer); });
}

} // namespace yuccaplank::node
