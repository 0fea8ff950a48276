// A job consists of equal tasks. The placer, one VM for the whole fleet, chooses a backend server for each
// task and answers with a grant: the server, the VM that owns it, and the fencing token under which the owner
// has claimed it. The coordinator then sends a start order to the owner, which reports how the run ended. A
// run is one attempt at a task. Each attempt has another run number, so that reports on former runs are
// ignored.
//
// When contact with an owner is lost or the owner yields a server, the runs there become orphans. A new owner
// claims the server with a higher fencing token, after which the server refuses orders of the former owner,
// and asks the coordinators to let it adopt the runs that it found. An orphan that no owner has reported
// within OrphanTimeout has certainly ended, and its task is placed again.
#include "yuccaplank/dispatch/job_coordinator.hpp"
#include "answer_log.hpp"
#include "coordinated_job.hpp"
#include "coordinator_messages.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::log;
using runtime::log_level;
using runtime::time_point;

class job_coordinator_impl final : public job_coordinator {
public:
  job_coordinator_impl(runtime::executor &Executor, coordinator_ports &Ports, coordinator_options Options)
      : Executor(Executor), Ports(Ports), Options(Options) {}
  job_coordinator_impl(const job_coordinator_impl &) = delete;
  job_coordinator_impl &operator=(const job_coordinator_impl &) = delete;
  ~job_coordinator_impl() override {
    for (auto &[Id, Job] : Jobs)
      cancelTimers(Job);
  }

  bool submit(const queue_settings &Queue, job_request Request) override {
    job_id Id = Request.Job;
    auto [Entry, IsNew] = Jobs.try_emplace(Id);
    if (!IsNew)
      return false;
    coordinated_job &Job = Entry->second;
    Job.Request = std::move(Request);
    Job.Queue = Queue;
    Job.SubmittedAt = now() - Job.Request.Age;
    Job.Objective = runtime::fromMs(Queue.Stretch * Job.Request.EstimateMs + Queue.LatencyMs);
    Job.Tasks.resize(Job.Request.TaskCount);
    Job.DeadlineTimer =
        Executor.after(Job.Request.Deadline - Job.Request.Age, [this, Id] { onDeadline(Id); });
    ++Counters.Submitted;
    // The answer follows this call, as for every other job.
    if (giveUpIfDecided(Job))
      return true;
    if (Ports.placer().empty())
      Job.PlacerTimer = Executor.after(Options.PlacerTimeout, [this, Id] { onPlacerTimeout(Id); });
    else
      requestPlacement(Job);
    return true;
  }

  bool cancel(job_id Id, end_reason Reason) override {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return false;
    finishJob(Found->second, {job_outcome::Cancelled, Reason, 0, {}, false});
    return true;
  }

  [[nodiscard]] bool contains(job_id Id) const override { return Jobs.contains(Id); }
  [[nodiscard]] job_state state(job_id Id) const override {
    return Jobs.at(Id).PossiblyStartedRuns > 0 ? job_state::Running : job_state::Queued;
  }
  [[nodiscard]] std::size_t size() const override { return Jobs.size(); }

  [[nodiscard]] std::map<std::string, std::uint32_t> queueLengths() const override {
    std::map<std::string, std::uint32_t> Result;
    for (const auto &[Id, Job] : Jobs)
      if (Job.PossiblyStartedRuns == 0)
        ++Result[Job.Queue.Name];
    return Result;
  }

  void onGrant(const std::string &Placer, const schema::grant &Grant) override {
    run_key Run = toRunKey(Grant.task());
    coordinated_job *Job = findJob(Run);
    task_state *Task = Job ? Job->findActiveTask(Run) : nullptr;
    if (!Task || Task->Phase != task_phase::Waiting || !Ports.reachable(Grant.owner()) ||
        isSuspended(Run.Task)) {
      declineGrant(Placer, Grant);
      if (Task && Task->Phase == task_phase::Waiting) {
        Task->PlacementRequested = false;
        requestPlacementLater(Run);
      }
      return;
    }
    Task->Phase = task_phase::StartOrdered;
    Task->Owner = Grant.owner();
    Task->Server = Grant.server();
    Task->Token = Grant.token();
    Task->Alone = Grant.alone();
    Task->EstimateMs = Job->estimateOn(Grant);
    // The tasks of the job that wait, and those that wait again later, prefer the rack of the first one. The
    // placer forgets a job whose tasks are all placed.
    if (Job->Request.SameRack && Job->Request.Rack.empty())
      Job->Request.Rack = Grant.rack();
    Task->StartOrderedAt = now();
    ++Job->PossiblyStartedRuns;
    if (!Job->FirstStartOrderedAt)
      Job->FirstStartOrderedAt = now();
    sendStartOrder(Placer, *Job, Run, Grant);
  }

  void onReject(const schema::reject_job &Rejection) override {
    auto Found = Jobs.find(jobOf(Rejection));
    if (Found == Jobs.end())
      return;
    coordinated_job &Job = Found->second;
    if (Job.PossiblyStartedRuns > 0) {
      // A start order was sent before the rejection arrived, so the job goes on and still needs the other
      // tasks.
      requestAllPlacements(Job);
      return;
    }
    finishJob(Job,
              {job_outcome::Refused, toEndReason(Rejection.reason()), Rejection.retry_after_ms(), {}, false});
  }

  void onEvent(const std::string &Owner, const schema::task_event &Event) override {
    run_key Run = toRunKey(Event.task());
    coordinated_job *Job = findJob(Run);
    task_state *Task = Job ? Job->findActiveTask(Run) : nullptr;
    // An earlier submission of the job may have used the same run number on another server.
    if (!Task || Task->Owner != Owner || Task->Server != Event.server())
      return;
    applyRunEvent(*Job, *Task, Run, Event);
  }

  void onAdopt(const std::string &Owner, const schema::adopt_request &Request) override {
    std::map<run_key, const schema::task_event *> EndEvents;
    for (const schema::task_event &Event : Request.ended())
      EndEvents.emplace(toRunKey(Event.task()), &Event);
    std::set<run_key> RunningRuns;
    for (const schema::task_run &Run : Request.running())
      RunningRuns.insert(toRunKey(Run));
    schema::dispatch_message Message;
    schema::adopt_reply &Reply = *Message.mutable_adopted();
    Reply.set_server(Request.server());
    // The request says nothing about runs that were ordered under the same claim or a later one.
    auto OrderedUnderEarlierClaim = [&](const task_state &Task) {
      return Task.Server == Request.server() && Request.token() > Task.Token;
    };
    for (const run_key &Run : findActiveRuns(Jobs, OrderedUnderEarlierClaim)) {
      coordinated_job *Job = findJob(Run);
      task_state *Task = Job ? Job->findActiveTask(Run) : nullptr;
      if (!Task)
        continue;
      if (RunningRuns.contains(Run))
        confirmAdoption(*Job, *Task, Run, Owner, Request.token(), Reply);
      else
        endUnlistedRun(*Job, *Task, Run, EndEvents.contains(Run) ? EndEvents.at(Run) : nullptr);
    }
    if (Reply.runs_size() > 0)
      Ports.send(Owner, std::move(Message));
  }

  void onYield(const std::string &Owner, const schema::yield_server &Yield) override {
    if (Yield.has_run()) {
      run_key Run = toRunKey(Yield.run());
      orphanRuns([&](const task_state &Task) { return Task.Owner == Owner && Task.Server == Yield.server(); },
                 Run);
      return;
    }
    orphanRuns([&](const task_state &Task) {
      return Task.Owner == Owner && Task.Server == Yield.server() && Yield.token() >= Task.Token;
    });
  }

  void onPlacerChanged() override {
    for (auto &[Id, Job] : Jobs)
      if (!Ports.placer().empty()) {
        runtime::cancelTimer(Executor, Job.PlacerTimer);
        requestAllPlacements(Job);
      }
  }

  void onVmLost(const std::string &Vm) override {
    orphanRuns([&](const task_state &Task) { return Task.Owner == Vm; });
  }

  void onVmResumed(const std::string &Vm, schema::resume_session Session) override {
    schema::dispatch_message Message;
    schema::resume_session &Resume = *Message.mutable_resume();
    Resume = std::move(Session);
    for (const run_key &Run :
         findActiveRuns(Jobs, [&](const task_state &Task) { return Task.Owner == Vm; })) {
      task_state &Task = *findJob(Run)->findActiveTask(Run);
      runtime::cancelTimer(Executor, Task.OrphanTimer);
      Task.Phase = task_phase::StartOrdered;
      schema::counted_run &Expected = *Resume.add_runs();
      *Expected.mutable_task() = toMessage(Run);
      Expected.set_server(Task.Server);
    }
    Ports.send(Vm, std::move(Message));
  }

  void onLossesChanged() override {
    const std::set<job_id> Waiting = SuspendedJobs;
    for (job_id Id : Waiting) {
      auto Found = Jobs.find(Id);
      if (Found != Jobs.end())
        requestPlacement(Found->second);
    }
  }

  [[nodiscard]] const coordinator_counters &counters() const override { return Counters; }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }

  coordinated_job *findJob(const run_key &Run) {
    auto Found = Jobs.find(Run.Task.Job);
    return Found == Jobs.end() ? nullptr : &Found->second;
  }

  // Placement of tasks.

  // The placer does not know the waiting tasks, or has forgotten them.
  void requestAllPlacements(coordinated_job &Job) {
    for (task_state &Task : Job.Tasks)
      Task.PlacementRequested = false;
    requestPlacement(Job);
  }

  [[nodiscard]] bool isSuspended(const task_key &Task) const {
    return Ports.verdict(Task) >= loss_verdict::Suspended;
  }

  // A job of which nothing has started waits as a whole, so that its other tasks do not run in vain.
  [[nodiscard]] bool waitsAsWhole(const coordinated_job &Job) const {
    return Job.PossiblyStartedRuns == 0 && isSuspended(Job);
  }
  [[nodiscard]] bool isSuspended(const coordinated_job &Job) const {
    return verdict(Job) >= loss_verdict::Suspended;
  }
  // The most severe verdict on any task that is not done. Servers of a task that is done may turn out to have
  // crashed later.
  [[nodiscard]] loss_verdict verdict(const coordinated_job &Job) const {
    job_id Id = Job.Request.Job;
    loss_verdict Worst = loss_verdict::Clear;
    if (Ports.verdict(Id) < loss_verdict::Suspended)
      return Worst;
    for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index)
      if (Job.Tasks[Index].Phase != task_phase::Done)
        Worst = std::max(Worst, Ports.verdict({Id, Index}));
    return Worst;
  }

  // Records whether tasks of the job wait until it is known whether their servers have crashed.
  void setSuspended(const coordinated_job &Job, bool Suspended) {
    job_id Id = Job.Request.Job;
    if (!Suspended) {
      SuspendedJobs.erase(Id);
      return;
    }
    if (!SuspendedJobs.insert(Id).second)
      return;
    ++Counters.Suspended;
    log(log_level::Info, "job_suspended", {{"job", formatJob(Id)}, {"losses", Ports.describeLosses(Id)}});
  }

  // Ends a job with a task that is not started again. The caller may still use the job.
  bool giveUpIfDecided(const coordinated_job &Job) {
    job_id Id = Job.Request.Job;
    if (verdict(Job) != loss_verdict::GivenUp)
      return false;
    Executor.post([this, Id] { giveUp(Id); });
    return true;
  }

  // Requests the placement of the waiting tasks that the placer has not been asked to place. Many tasks of a
  // job may have to be placed again one after the other, so the others are not listed each time.
  void requestPlacement(coordinated_job &Job) {
    std::string Placer = Ports.placer();
    if (giveUpIfDecided(Job) || Placer.empty())
      return;
    const bool WaitsAsWhole = waitsAsWhole(Job);
    bool Suspended = false;
    schema::dispatch_message Message;
    schema::place_job &Place = *Message.mutable_place();
    for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
      task_state &State = Job.Tasks[Index];
      if (State.Phase != task_phase::Waiting || State.PlacementRequested || State.PlaceAfter > now())
        continue;
      run_key Run{{Job.Request.Job, Index}, State.Run};
      loss_verdict Verdict = Ports.verdict(Run.Task);
      if (WaitsAsWhole || Verdict >= loss_verdict::Suspended) {
        Suspended = true;
        continue;
      }
      State.PlacementRequested = true;
      *Place.add_tasks() = toMessage(Run);
      if (Verdict == loss_verdict::Suspect)
        Place.add_suspects(Index);
    }
    setSuspended(Job, Suspended);
    if (Place.tasks_size() == 0)
      return;
    describeJob(Job, now(), Options, Place);
    Ports.send(Placer, std::move(Message));
    limitWait(Job);
  }

  // The placer may be cut off, so that it never decides.
  void limitWait(coordinated_job &Job) {
    if (Job.StartTimer || Job.PossiblyStartedRuns > 0)
      return;
    duration Left = Job.SubmittedAt + Job.latestStart(Options.LateFactor) - now();
    duration Limit = std::max(Left, duration::zero()) + Options.RefusalMargin;
    Job.StartEndsAt = now() + Limit;
    Job.StartTimer = Executor.after(Limit, [this, Id = Job.Request.Job] { onStartTimeout(Id); });
  }

  void requeueTask(coordinated_job &Job, task_state &Task) {
    runtime::cancelTimer(Executor, Task.OrphanTimer);
    Task.Phase = task_phase::Waiting;
    Task.PlacementRequested = false;
    Task.Owner.clear();
    Task.Server.clear();
    ++Counters.TasksPlacedAgain;
    requestPlacement(Job);
  }

  void requestPlacementLater(const run_key &Run) {
    Executor.after(Options.PlacementRetryDelay, [this, Run] {
      if (coordinated_job *Job = findJob(Run))
        requestPlacement(*Job);
    });
  }

  void declineGrant(const std::string &Placer, const schema::grant &Grant) {
    schema::dispatch_message Message;
    Message.mutable_decline()->set_id(Grant.id());
    Message.mutable_decline()->set_server(Grant.server());
    if (!Ports.reachable(Grant.owner()))
      Message.mutable_decline()->set_unreachable_owner(Grant.owner());
    Ports.send(Placer, std::move(Message));
  }

  void sendStartOrder(const std::string &Placer, const coordinated_job &Job, const run_key &Run,
                      const schema::grant &Grant) {
    schema::dispatch_message Message = makeStartOrder(Job, Run, Grant);
    Message.mutable_start()->set_placer(Placer);
    Message.mutable_start()->set_session(Ports.session(Grant.owner()));
    Ports.send(Grant.owner(), std::move(Message));
  }

  // Reports on runs.

  void applyRunEvent(coordinated_job &Job, task_state &Task, const run_key &Run,
                     const schema::task_event &Event) {
    switch (Event.event()) {
    case schema::RUN_DONE:
      onRunDone(Job, Task);
      return;
    case schema::RUN_FAILED:
      onRunFailed(Job, Task, Run, Event);
      return;
    case schema::RUN_GONE:
      if (Event.loss() != schema::LOSS_NONE)
        recordLostRun(Task, Run, Event);
      Task.OverdueRuns += Event.overdue() ? 1 : 0;
      if (Ports.verdict(Run.Task) == loss_verdict::GivenUp) {
        giveUp(Run.Task.Job);
        return;
      }
      ++Task.Run;
      Job.ServersToAvoid.insert(Task.Server);
      requeueTask(Job, Task);
      return;
    case schema::RUN_NOT_STARTED:
      onStartRefused(Job, Task, Run);
      return;
    default:
      return;
    }
  }

  void onRunDone(coordinated_job &Job, task_state &Task) {
    runtime::cancelTimer(Executor, Task.OrphanTimer);
    Task.Phase = task_phase::Done;
    if (++Job.DoneTasks == Job.Tasks.size())
      finishJob(Job, {job_outcome::Completed, end_reason::None, 0, {}, false});
  }

  void onRunFailed(coordinated_job &Job, task_state &Task, const run_key &Run,
                   const schema::task_event &Event) {
    ++Task.Failures;
    log(log_level::Info, "task_failed",
        {{"run", format(Run)},
         {"server", Event.server()},
         {"failures", std::int64_t{Task.Failures}},
         {"allowed", std::int64_t{Job.Queue.MaxAttempts}}});
    if (Task.Failures >= Job.Queue.MaxAttempts) {
      finishJob(Job, {job_outcome::Failed, end_reason::TaskFailed, 0, {}, false});
      return;
    }
    ++Task.Run;
    Job.ServersToAvoid.insert(Event.server());
    requeueTask(Job, Task);
  }

  // The placer may still hold the server for usable: its state does not show every reason for a refusal, such
  // as a run there whose lease must not be extended. Without a delay, the same server would be chosen again
  // until that reason ends. A single refusal is not delayed, since a grant by an outdated state is common.
  void onStartRefused(coordinated_job &Job, task_state &Task, const run_key &Run) {
    // An earlier submission of the job may have used up the run number at the server.
    ++Task.Run;
    --Job.PossiblyStartedRuns;
    std::optional<time_point> Previous = std::exchange(Task.RefusedAt, now());
    if (Previous && now() - *Previous < Options.PlacementRetryDelay) {
      ++Counters.PlacementsDelayed;
      log(log_level::Info, "placement_delayed", {{"run", format(Run)}, {"server", Task.Server}});
      Task.PlaceAfter = now() + Options.PlacementRetryDelay;
      Job.ServersToAvoid.insert(Task.Server);
      requestPlacementLater({Run.Task, Task.Run});
    }
    requeueTask(Job, Task);
  }

  void recordLostRun(task_state &Task, const run_key &Run, const schema::task_event &Event) {
    ++Task.LostRuns;
    ++Counters.RunsLost;
    log(log_level::Info, "run_lost",
        {{"run", format(Run)},
         {"server", Event.server()},
         {"evidence", schema::server_loss_Name(Event.loss())},
         {"lost_runs", std::int64_t{Task.LostRuns}}});
  }

  void confirmAdoption(coordinated_job &Job, task_state &Task, const run_key &Run, const std::string &Owner,
                       std::uint64_t Token, schema::adopt_reply &Reply) {
    runtime::cancelTimer(Executor, Task.OrphanTimer);
    Task.Phase = task_phase::StartOrdered;
    Task.Owner = Owner;
    Task.Token = Token;
    ++Counters.Adopted;
    describeRun(Job, Task, Run, now(), *Reply.add_runs());
  }

  // The new claim has raised the server's fence, so a run that the new owner does not list as running can no
  // longer start. Event is its end if the owner knows it, else null.
  void endUnlistedRun(coordinated_job &Job, task_state &Task, const run_key &Run,
                      const schema::task_event *Event) {
    schema::task_event Gone;
    Gone.set_event(schema::RUN_GONE);
    applyRunEvent(Job, Task, Run, Event ? *Event : Gone);
  }

  // Marks the active runs whose tasks match as orphaned; with OnlyRun, at most this one.
  template <typename Predicate>
  void orphanRuns(Predicate Matches, std::optional<run_key> OnlyRun = std::nullopt) {
    for (const run_key &Run : findActiveRuns(Jobs, Matches)) {
      if (OnlyRun && Run != *OnlyRun)
        continue;
      task_state &Task = *findJob(Run)->findActiveTask(Run);
      if (Task.Phase == task_phase::Orphaned)
        continue;
      Task.Phase = task_phase::Orphaned;
      ++Counters.Orphaned;
      Task.OrphanTimer = Executor.after(Options.OrphanTimeout, [this, Run] { onOrphanTimeout(Run); });
    }
  }

  void onOrphanTimeout(const run_key &Run) {
    coordinated_job *Job = findJob(Run);
    task_state *Task = Job ? Job->findActiveTask(Run) : nullptr;
    if (!Task || Task->Phase != task_phase::Orphaned)
      return;
    log(log_level::Warning, "run_given_up",
        {{"run", format(Run)},
         {"server", Task->Server},
         {"owner", Task->Owner},
         {"reason", std::string("orphaned")}});
    Task->OrphanTimer = 0;
    ++Task->Run;
    requeueTask(*Job, *Task);
  }

  // End of a job.

  void onDeadline(job_id Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    coordinated_job &Job = Found->second;
    Job.DeadlineTimer = 0;
    if (Job.PossiblyStartedRuns > 0)
      finishJob(Job, {job_outcome::TimedOut, end_reason::Deadline, 0, {}, false});
    else
      finishJob(Job, {job_outcome::Refused, end_reason::Deadline, 0, {}, false});
  }

  void giveUp(job_id Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    log(log_level::Warning, "job_given_up", {{"job", formatJob(Id)}, {"losses", Ports.describeLosses(Id)}});
    finishJob(Found->second, {job_outcome::Failed, end_reason::ServersCrashed, 0, {}, false});
  }

  void onStartTimeout(job_id Id) {
    auto Found = Jobs.find(Id);
    // A timer that became due while the process was paused may fire although it has been cancelled since.
    if (Found == Jobs.end() || now() < Found->second.StartEndsAt ||
        std::exchange(Found->second.StartTimer, 0) == 0 || Found->second.PossiblyStartedRuns > 0)
      return;
    finishJob(Found->second,
              {job_outcome::Refused, end_reason::NoRoomInTime, StartTimeoutRetryAfterMs, {}, false});
  }

  void onPlacerTimeout(job_id Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    coordinated_job &Job = Found->second;
    // A timer that became due while the process was paused may fire although it has been cancelled since.
    if (std::exchange(Job.PlacerTimer, 0) == 0)
      return;
    finishJob(Job, {job_outcome::Refused,
                    end_reason::NoPlacer,
                    static_cast<std::uint32_t>(runtime::toMs(Options.PlacerTimeout)),
                    {},
                    false});
  }

  // Ends the job and delivers its answer. Queue and WithinObjective of the answer are filled in here.
  void finishJob(coordinated_job &Job, job_answer Answer) {
    job_id Id = Job.Request.Job;
    Answer.Queue = Job.Queue.Name;
    Answer.WithinObjective =
        Answer.Outcome == job_outcome::Completed && now() - Job.SubmittedAt <= Job.Objective;
    cancelTimers(Job);
    stopRemainingTasks(Job);
    countOutcome(Answer.Outcome, Counters);
    logAnswer(Job, Answer, Ports.placer(), now());
    SuspendedJobs.erase(Id);
    Jobs.erase(Id);
    Ports.answer(Id, Answer);
  }

  // Sends stop orders for the runs whose owners are in contact and withdraws the waiting tasks from the
  // placer.
  void stopRemainingTasks(const coordinated_job &Job) {
    bool Waiting = false;
    for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
      const task_state &Task = Job.Tasks[Index];
      Waiting |= Task.Phase == task_phase::Waiting;
      if (Task.Phase != task_phase::StartOrdered)
        continue;
      schema::dispatch_message Message;
      *Message.mutable_stop()->mutable_task() = toMessage({{Job.Request.Job, Index}, Task.Run});
      Message.mutable_stop()->set_server(Task.Server);
      Ports.send(Task.Owner, std::move(Message));
    }
    std::string Placer = Ports.placer();
    if (!Waiting || Placer.empty())
      return;
    schema::dispatch_message Message;
    setJob(*Message.mutable_withdraw(), Job.Request.Job);
    Ports.send(Placer, std::move(Message));
  }

  void cancelTimers(coordinated_job &Job) {
    runtime::cancelTimer(Executor, Job.DeadlineTimer);
    runtime::cancelTimer(Executor, Job.PlacerTimer);
    runtime::cancelTimer(Executor, Job.StartTimer);
    for (task_state &Task : Job.Tasks)
      runtime::cancelTimer(Executor, Task.OrphanTimer);
  }

  // By then, another VM places tasks if the placer was lost.
  static constexpr std::uint32_t StartTimeoutRetryAfterMs = 1000;

  runtime::executor &Executor;
  coordinator_ports &Ports;
  coordinator_options Options;
  std::map<job_id, coordinated_job> Jobs;
  // Jobs with tasks that wait until it is known whether their servers have crashed.
  std::set<job_id> SuspendedJobs;
  coordinator_counters Counters;
};

} // namespace

std::unique_ptr<job_coordinator> makeJobCoordinator(runtime::executor &Executor, coordinator_ports &Ports,
                                                    coordinator_options Options) {
  return std::make_unique<job_coordinator_impl>(Executor, Ports, Options);
}

} // namespace yuccaplank::dispatch
