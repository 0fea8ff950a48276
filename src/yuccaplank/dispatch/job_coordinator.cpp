#include "yuccaplank/dispatch/job_coordinator.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::log;
using runtime::log_level;
using runtime::time_point;

enum class task_phase : std::uint8_t {
  /// Told to the placer.
  Waiting,
  /// The start order is with the owner of the server.
  Ordered,
  /// The owner of the server is out of contact.
  Orphaned,
  Done,
};

struct task_state {
  task_phase Phase = task_phase::Waiting;
  std::uint32_t Run = 1;
  std::uint32_t Failures = 0;
  std::string Owner;
  std::string Server;
  // Fencing token under which the owner held the server when the run was ordered.
  std::uint64_t Token = 0;
  time_point OrderedAt;
  runtime::timer_id OrphanTimer = 0;
};

struct coordinated_job {
  job_request Request;
  queue_settings Queue;
  time_point Arrived;
  duration Objective{};
  std::vector<task_state> Tasks;
  std::uint32_t DoneTasks = 0;
  // Runs that were ordered, less those that certainly never started.
  std::uint32_t OrderedRuns = 0;
  std::optional<time_point> FirstOrdered;
  std::set<std::string> Avoid;
  runtime::timer_id DeadlineTimer = 0;
  runtime::timer_id PlacerTimer = 0;
};

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
    std::uint64_t Id = Request.Job;
    auto [Entry, IsNew] = Jobs.try_emplace(Id);
    if (!IsNew)
      return false;
    coordinated_job &Job = Entry->second;
    Job.Request = std::move(Request);
    Job.Queue = Queue;
    Job.Arrived = now() - Job.Request.Age;
    Job.Objective = runtime::fromMs(Queue.Stretch * Job.Request.EstimateMs + Queue.LatencyMs);
    Job.Tasks.resize(Job.Request.TaskCount);
    Job.DeadlineTimer =
        Executor.after(Job.Request.Deadline - Job.Request.Age, [this, Id] { onDeadline(Id); });
    ++Counters.Submitted;
    if (Ports.placer().empty())
      Job.PlacerTimer = Executor.after(Options.PlacerWait, [this, Id] { refuseWithoutPlacer(Id); });
    else
      placeWaiting(Job);
    return true;
  }

  bool cancel(std::uint64_t Id, end_reason Reason) override {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return false;
    finish(Found->second, {job_outcome::Cancelled, Reason, 0, {}, false});
    return true;
  }

  [[nodiscard]] bool contains(std::uint64_t Id) const override { return Jobs.contains(Id); }
  [[nodiscard]] job_state state(std::uint64_t Id) const override {
    return Jobs.at(Id).OrderedRuns > 0 ? job_state::Running : job_state::Queued;
  }
  [[nodiscard]] std::size_t size() const override { return Jobs.size(); }

  [[nodiscard]] std::map<std::string, std::uint32_t> waiting() const override {
    std::map<std::string, std::uint32_t> Result;
    for (const auto &[Id, Job] : Jobs)
      if (Job.OrderedRuns == 0)
        ++Result[Job.Queue.Name];
    return Result;
  }

  void onGrant(const std::string &Placer, const schema::grant &Grant) override {
    run_key Run = keyOf(Grant.task());
    coordinated_job *Job = jobOf(Run);
    task_state *Task = Job ? taskOf(*Job, Run) : nullptr;
    if (!Task || Task->Phase != task_phase::Waiting || !Ports.reachable(Grant.owner())) {
      decline(Placer, Grant);
      if (Task && Task->Phase == task_phase::Waiting)
        replaceLater(Run);
      return;
    }
    Task->Phase = task_phase::Ordered;
    Task->Owner = Grant.owner();
    Task->Server = Grant.server();
    Task->Token = Grant.token();
    Task->OrderedAt = now();
    ++Job->OrderedRuns;
    if (!Job->FirstOrdered)
      Job->FirstOrdered = now();
    sendStart(Placer, *Job, Run, Grant);
  }

  void onReject(const schema::reject_job &Rejection) override {
    auto Found = Jobs.find(Rejection.job());
    if (Found == Jobs.end())
      return;
    coordinated_job &Job = Found->second;
    if (Job.OrderedRuns > 0) {
      // A start order has left since; what waits is told again.
      placeWaiting(Job);
      return;
    }
    finish(Job,
           {job_outcome::Refused, endReasonOf(Rejection.reason()), Rejection.retry_after_ms(), {}, false});
  }

  void onEvent(const std::string &Owner, const schema::task_event &Event) override {
    run_key Run = keyOf(Event.task());
    coordinated_job *Job = jobOf(Run);
    task_state *Task = Job ? taskOf(*Job, Run) : nullptr;
    // An earlier submission of the job may have used the run's number on another server.
    if (!Task || Task->Owner != Owner || Task->Server != Event.server())
      return;
    applyEvent(*Job, *Task, Run, Event);
  }

  void onAdopt(const std::string &Owner, const schema::adopt_request &Request) override {
    std::map<run_key, const schema::task_event *> Ended;
    for (const schema::task_event &Event : Request.ended())
      Ended.emplace(keyOf(Event.task()), &Event);
    std::set<run_key> Running;
    for (const schema::task_run &Run : Request.running())
      Running.insert(keyOf(Run));
    schema::dispatch_message Message;
    schema::adopt_reply &Reply = *Message.mutable_adopted();
    Reply.set_server(Request.server());
    // A run that was ordered under this claim or a later one is not concerned.
    auto Concerned = [&](const task_state &Task) {
      return Task.Server == Request.server() && Request.token() > Task.Token;
    };
    for (const run_key &Run : runsWhere(Concerned)) {
      coordinated_job *Job = jobOf(Run);
      task_state *Task = Job ? taskOf(*Job, Run) : nullptr;
      if (!Task)
        continue;
      if (Running.contains(Run))
        claimRun(*Job, *Task, Run, Owner, Request.token(), Reply);
      else
        endUnadopted(*Job, *Task, Run, Ended.contains(Run) ? Ended.at(Run) : nullptr);
    }
    if (Reply.runs_size() > 0)
      Ports.send(Owner, std::move(Message));
  }

  void onYield(const std::string &Owner, const schema::yield_server &Yield) override {
    if (Yield.has_run()) {
      run_key Run = keyOf(Yield.run());
      orphan([&](const task_state &Task) { return Task.Owner == Owner && Task.Server == Yield.server(); },
             Run);
      return;
    }
    orphan([&](const task_state &Task) {
      return Task.Owner == Owner && Task.Server == Yield.server() && Yield.token() >= Task.Token;
    });
  }

  void onPlacerChanged() override {
    for (auto &[Id, Job] : Jobs)
      if (!Ports.placer().empty()) {
        runtime::cancelTimer(Executor, Job.PlacerTimer);
        placeWaiting(Job);
      }
  }

  void onVmLost(const std::string &Vm) override {
    orphan([&](const task_state &Task) { return Task.Owner == Vm; });
  }

  void onVmResumed(const std::string &Vm, schema::resume_session Begun) override {
    schema::dispatch_message Message;
    schema::resume_session &Resume = *Message.mutable_resume();
    Resume = std::move(Begun);
    for (const run_key &Run : runsWhere([&](const task_state &Task) { return Task.Owner == Vm; })) {
      task_state &Task = *taskOf(*jobOf(Run), Run);
      runtime::cancelTimer(Executor, Task.OrphanTimer);
      Task.Phase = task_phase::Ordered;
      schema::counted_run &Counted = *Resume.add_runs();
      *Counted.mutable_task() = toMessage(Run);
      Counted.set_server(Task.Server);
    }
    Ports.send(Vm, std::move(Message));
  }

  [[nodiscard]] const coordinator_counters &counters() const override { return Counters; }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }

  coordinated_job *jobOf(const run_key &Run) {
    auto Found = Jobs.find(Run.Task.Job);
    return Found == Jobs.end() ? nullptr : &Found->second;
  }

  // The task, if this is its current run and it has not ended.
  static task_state *taskOf(coordinated_job &Job, const run_key &Run) {
    if (Run.Task.Index >= Job.Tasks.size())
      return nullptr;
    task_state &Task = Job.Tasks[Run.Task.Index];
    return Task.Run == Run.Run && Task.Phase != task_phase::Done ? &Task : nullptr;
  }

  // Runs in the hands of owners, by a property of their tasks.
  template <typename Predicate> std::vector<run_key> runsWhere(Predicate Matches) {
    std::vector<run_key> Runs;
    for (auto &[Id, Job] : Jobs)
      for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
        const task_state &Task = Job.Tasks[Index];
        bool Held = Task.Phase == task_phase::Ordered || Task.Phase == task_phase::Orphaned;
        if (Held && Matches(Task))
          Runs.push_back({{Id, Index}, Task.Run});
      }
    return Runs;
  }

  // Placing.

  void placeWaiting(coordinated_job &Job) {
    std::string Placer = Ports.placer();
    if (Placer.empty())
      return;
    schema::dispatch_message Message;
    schema::place_job &Place = *Message.mutable_place();
    for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index)
      if (Job.Tasks[Index].Phase == task_phase::Waiting)
        *Place.add_tasks() = toMessage({{Job.Request.Job, Index}, Job.Tasks[Index].Run});
    if (Place.tasks_size() == 0)
      return;
    describe(Job, Place);
    Ports.send(Placer, std::move(Message));
  }

  void describe(const coordinated_job &Job, schema::place_job &Place) const {
    auto Left = [&](duration Total) {
      auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(Job.Arrived + Total - now());
      return static_cast<std::int32_t>(Remaining.count());
    };
    Place.set_job(Job.Request.Job);
    Place.set_pool(Job.Queue.Pool);
    Place.set_queue(Job.Queue.Name);
    *Place.mutable_size() = Job.Request.TaskSize;
    Place.set_estimate_ms(Job.Request.EstimateMs);
    Place.set_priority(Job.Queue.Priority);
    Place.set_objective_left_ms(Left(Job.Objective));
    Place.set_late_left_ms(Left(std::chrono::duration_cast<duration>(Job.Objective * Options.LateFactor)));
    Place.set_deadline_left_ms(Left(Job.Request.Deadline));
    Place.set_started(Job.OrderedRuns > 0);
    for (const std::string &Server : Job.Avoid)
      Place.add_avoid(Server);
  }

  void placeAgain(coordinated_job &Job, task_state &Task) {
    runtime::cancelTimer(Executor, Task.OrphanTimer);
    Task.Phase = task_phase::Waiting;
    Task.Owner.clear();
    Task.Server.clear();
    ++Counters.TasksPlacedAgain;
    placeWaiting(Job);
  }

  void replaceLater(const run_key &Run) {
    Executor.after(Options.ReplaceDelay, [this, Run] {
      if (coordinated_job *Job = jobOf(Run))
        placeWaiting(*Job);
    });
  }

  void decline(const std::string &Placer, const schema::grant &Grant) {
    schema::dispatch_message Message;
    Message.mutable_decline()->set_id(Grant.id());
    Message.mutable_decline()->set_server(Grant.server());
    if (!Ports.reachable(Grant.owner()))
      Message.mutable_decline()->set_unreachable_owner(Grant.owner());
    Ports.send(Placer, std::move(Message));
  }

  void sendStart(const std::string &Placer, const coordinated_job &Job, const run_key &Run,
                 const schema::grant &Grant) {
    schema::dispatch_message Message;
    schema::start_task &Start = *Message.mutable_start();
    *Start.mutable_task() = toMessage(Run);
    Start.set_grant(Grant.id());
    Start.set_placer(Placer);
    Start.set_server(Grant.server());
    Start.set_specification(Job.Request.Specification);
    *Start.mutable_size() = Job.Request.TaskSize;
    Start.set_estimate_ms(Job.Request.EstimateMs);
    Start.set_session(Ports.session(Grant.owner()));
    Start.set_token(Grant.token());
    Start.set_relayed(Job.Request.Relayed);
    Ports.send(Grant.owner(), std::move(Message));
  }

  // Ends of runs.

  void applyEvent(coordinated_job &Job, task_state &Task, const run_key &Run,
                  const schema::task_event &Event) {
    switch (Event.event()) {
    case schema::RUN_DONE:
      onDone(Job, Task);
      return;
    case schema::RUN_FAILED:
      onFailed(Job, Task, Run, Event);
      return;
    case schema::RUN_GONE:
      ++Task.Run;
      Job.Avoid.insert(Task.Server);
      placeAgain(Job, Task);
      return;
    case schema::RUN_NOT_STARTED:
      // The number may be used up at the server by an earlier submission of the job.
      ++Task.Run;
      --Job.OrderedRuns;
      placeAgain(Job, Task);
      return;
    default:
      return;
    }
  }

  void onDone(coordinated_job &Job, task_state &Task) {
    runtime::cancelTimer(Executor, Task.OrphanTimer);
    Task.Phase = task_phase::Done;
    if (++Job.DoneTasks == Job.Tasks.size())
      finish(Job, {job_outcome::Completed, end_reason::None, 0, {}, false});
  }

  void onFailed(coordinated_job &Job, task_state &Task, const run_key &Run, const schema::task_event &Event) {
    ++Task.Failures;
    log(log_level::Info, "task_failed",
        {{"run", format(Run)},
         {"server", Event.server()},
         {"failures", std::int64_t{Task.Failures}},
         {"allowed", std::int64_t{Job.Queue.MaxAttempts}}});
    if (Task.Failures >= Job.Queue.MaxAttempts) {
      finish(Job, {job_outcome::Failed, end_reason::TaskFailed, 0, {}, false});
      return;
    }
    ++Task.Run;
    Job.Avoid.insert(Event.server());
    placeAgain(Job, Task);
  }

  void claimRun(coordinated_job &Job, task_state &Task, const run_key &Run, const std::string &Owner,
                std::uint64_t Token, schema::adopt_reply &Reply) {
    runtime::cancelTimer(Executor, Task.OrphanTimer);
    Task.Phase = task_phase::Ordered;
    Task.Owner = Owner;
    Task.Token = Token;
    ++Counters.Adopted;
    schema::adopted_run &Adopted = *Reply.add_runs();
    *Adopted.mutable_task() = toMessage(Run);
    *Adopted.mutable_size() = Job.Request.TaskSize;
    Adopted.set_estimate_ms(Job.Request.EstimateMs);
    Adopted.set_relayed(Job.Request.Relayed);
    Adopted.set_age_ms(static_cast<std::uint32_t>(runtime::toMs(now() - Task.OrderedAt)));
  }

  // The server's fence has risen, so that a run that is not listed as running never will run.
  void endUnadopted(coordinated_job &Job, task_state &Task, const run_key &Run,
                    const schema::task_event *Event) {
    schema::task_event Gone;
    Gone.set_event(schema::RUN_GONE);
    applyEvent(Job, Task, Run, Event ? *Event : Gone);
  }

  template <typename Predicate> void orphan(Predicate Matches, std::optional<run_key> Only = std::nullopt) {
    for (const run_key &Run : runsWhere(Matches)) {
      if (Only && Run != *Only)
        continue;
      task_state &Task = *taskOf(*jobOf(Run), Run);
      if (Task.Phase == task_phase::Orphaned)
        continue;
      Task.Phase = task_phase::Orphaned;
      ++Counters.Orphaned;
      Task.OrphanTimer = Executor.after(Options.OrphanTimeout, [this, Run] { onOrphanTime(Run); });
    }
  }

  void onOrphanTime(const run_key &Run) {
    coordinated_job *Job = jobOf(Run);
    task_state *Task = Job ? taskOf(*Job, Run) : nullptr;
    if (!Task || Task->Phase != task_phase::Orphaned)
      return;
    log(log_level::Warning, "run_given_up",
        {{"run", format(Run)},
         {"server", Task->Server},
         {"owner", Task->Owner},
         {"reason", std::string("orphaned")}});
    Task->OrphanTimer = 0;
    ++Task->Run;
    placeAgain(*Job, *Task);
  }

  // Ends of jobs.

  void onDeadline(std::uint64_t Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    coordinated_job &Job = Found->second;
    Job.DeadlineTimer = 0;
    if (Job.OrderedRuns > 0)
      finish(Job, {job_outcome::TimedOut, end_reason::Deadline, 0, {}, false});
    else
      finish(Job, {job_outcome::Refused, end_reason::Deadline, 0, {}, false});
  }

  void refuseWithoutPlacer(std::uint64_t Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    coordinated_job &Job = Found->second;
    // A timer that became due while the process stood still may run although it has been cancelled since.
    if (std::exchange(Job.PlacerTimer, 0) == 0)
      return;
    finish(Job, {job_outcome::Refused,
                 end_reason::NoPlacer,
                 static_cast<std::uint32_t>(runtime::toMs(Options.PlacerWait)),
                 {},
                 false});
  }

  void finish(coordinated_job &Job, job_answer Answer) {
    std::uint64_t Id = Job.Request.Job;
    Answer.Queue = Job.Queue.Name;
    Answer.WithinObjective = Answer.Outcome == job_outcome::Completed && now() - Job.Arrived <= Job.Objective;
    cancelTimers(Job);
    releaseTasks(Job);
    count(Answer.Outcome);
    logAnswer(Job, Answer);
    Jobs.erase(Id);
    Ports.answer(Id, Answer);
  }

  void releaseTasks(const coordinated_job &Job) {
    bool Waiting = false;
    for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
      const task_state &Task = Job.Tasks[Index];
      Waiting |= Task.Phase == task_phase::Waiting;
      if (Task.Phase != task_phase::Ordered)
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
    Message.mutable_withdraw()->set_job(Job.Request.Job);
    Ports.send(Placer, std::move(Message));
  }

  // Events of their own for what went well, came late and failed, so that the limit on lines for each event
  // leaves room for the rare ones.
  static const char *answerEvent(const job_answer &Answer) {
    if (Answer.Outcome != job_outcome::Completed)
      return "job_not_completed";
    return Answer.WithinObjective ? "job_completed" : "job_late";
  }

  static std::string serversOf(const coordinated_job &Job) {
    std::set<std::string> Servers;
    for (const task_state &Task : Job.Tasks)
      if (!Task.Server.empty())
        Servers.insert(Task.Server);
    std::string Text;
    for (const std::string &Server : Servers)
      Text += (Text.empty() ? "" : ",") + Server;
    return Text;
  }

  void logAnswer(const coordinated_job &Job, const job_answer &Answer) const {
    double WaitedMs = runtime::toMs(Job.FirstOrdered.value_or(now()) - Job.Arrived);
    log(log_level::Info, answerEvent(Answer),
        {{"job", formatJob(Job.Request.Job)},
         {"queue", Job.Queue.Name},
         {"outcome", std::string(jobOutcomeName(Answer.Outcome))},
         {"reason", std::string(endReasonName(Answer.Reason))},
         {"tasks", static_cast<std::int64_t>(Job.Tasks.size())},
         {"done", std::int64_t{Job.DoneTasks}},
         {"runs", std::int64_t{Job.OrderedRuns}},
         {"servers", serversOf(Job)},
         {"placer", Ports.placer()},
         {"waited_ms", WaitedMs},
         {"estimate_ms", std::int64_t{Job.Request.EstimateMs}},
         {"took_ms", runtime::toMs(now() - Job.Arrived)},
         {"objective_ms", runtime::toMs(Job.Objective)}});
  }

  void count(job_outcome Outcome) {
    constexpr auto Members = std::to_array<std::uint64_t coordinator_counters::*>(
        {&coordinator_counters::Completed, &coordinator_counters::Failed, &coordinator_counters::Refused,
         &coordinator_counters::TimedOut, &coordinator_counters::Cancelled});
    ++(Counters.*Members.at(static_cast<std::size_t>(Outcome)));
  }

  void cancelTimers(coordinated_job &Job) {
    runtime::cancelTimer(Executor, Job.DeadlineTimer);
    runtime::cancelTimer(Executor, Job.PlacerTimer);
    for (task_state &Task : Job.Tasks)
      runtime::cancelTimer(Executor, Task.OrphanTimer);
  }

  runtime::executor &Executor;
  coordinator_ports &Ports;
  coordinator_options Options;
  std::map<std::uint64_t, coordinated_job> Jobs;
  coordinator_counters Counters;
};

} // namespace

std::unique_ptr<job_coordinator> makeJobCoordinator(runtime::executor &Executor, coordinator_ports &Ports,
                                                    coordinator_options Options) {
  return std::make_unique<job_coordinator_impl>(Executor, Ports, Options);
}

} // namespace yuccaplank::dispatch
