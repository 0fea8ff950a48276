#include "job_relay.hpp"
#include "relay_messages.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <map>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

using runtime::log;
using runtime::log_level;
using runtime::time_point;

enum class relay_phase : std::uint8_t {
  /// No dispatching VM is in contact.
  Waiting,
  /// The job was sent to a dispatching VM in contact.
  Relayed,
  /// The dispatching VM is out of contact or no longer holds the job, and tasks that it started may still
  /// run.
  Orphaned,
  /// The dispatching VM has not taken the job, which is relayed again after a delay.
  Declined,
};

struct relayed_job {
  queue_settings Queue;
  job_request Request;
  time_point SubmittedAt;
  relay_phase Phase = relay_phase::Waiting;
  // The VM to which the job was relayed last, and the session with it in which that happened.
  std::string Dispatcher;
  std::uint32_t Session = 0;
  // Whether tasks may have run under a dispatching VM that no longer holds the job.
  bool MayHaveRun = false;
  runtime::timer_id DeadlineTimer = 0;
  // Ends a phase other than Relayed after its timeout or delay.
  runtime::timer_id PhaseTimer = 0;
  time_point PhaseEndsAt{};
};

class job_relay_impl final : public job_relay {
public:
  job_relay_impl(runtime::executor &Executor, relay_ports &Ports, relay_options Options)
      : Executor(Executor), Ports(Ports), Options(Options) {}
  job_relay_impl(const job_relay_impl &) = delete;
  job_relay_impl &operator=(const job_relay_impl &) = delete;
  ~job_relay_impl() override {
    for (auto &[Id, Job] : Jobs)
      cancelTimers(Job);
  }

  bool submit(const queue_settings &Queue, job_request Request) override {
    job_id Id = Request.Job;
    auto [Entry, IsNew] = Jobs.try_emplace(Id);
    if (!IsNew)
      return false;
    relayed_job &Job = Entry->second;
    Job.Queue = Queue;
    Job.SubmittedAt = now() - Request.Age;
    Job.Request = std::move(Request);
    Job.DeadlineTimer = Executor.after(Job.Request.Deadline - Job.Request.Age + Options.AnswerTimeout,
                                       [this, Id] { onDeadline(Id); });
    relayJob(Job);
    return true;
  }

  bool cancel(job_id Id, end_reason Reason) override {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return false;
    withdraw(Found->second, Reason);
    finishJob(Found->second, {job_outcome::Cancelled, Reason, 0, {}, false});
    return true;
  }

  [[nodiscard]] bool contains(job_id Id) const override { return Jobs.contains(Id); }
  // Only the dispatching VM knows whether a task has been started, so a relayed job counts as running.
  [[nodiscard]] job_state state(job_id Id) const override {
    return Jobs.at(Id).Phase == relay_phase::Waiting ? job_state::Queued : job_state::Running;
  }
  [[nodiscard]] std::size_t size() const override { return Jobs.size(); }

  void onAnswer(const std::string &Vm, const schema::relayed_answer &Message) override {
    auto Found = Jobs.find(jobOf(Message));
    if (Found == Jobs.end())
      return;
    relayed_job &Job = Found->second;
    if (Job.Phase != relay_phase::Relayed || Job.Dispatcher != Vm)
      return;
    if (Message.end() == schema::RELAYED_NOT_HELD) {
      orphanJob(Job);
      return;
    }
    if (Message.session() != AnySession && Message.session() != Job.Session)
      return;
    if (Message.end() == schema::RELAYED_NOT_TAKEN) {
      relayJobLater(Job);
      return;
    }
    job_answer Answer = toJobAnswer(Message);
    // A refusal says only that this dispatching VM has started nothing; an earlier one may have.
    if (Answer.Outcome == job_outcome::Refused && Job.MayHaveRun)
      Answer.Outcome = job_outcome::TimedOut;
    finishJob(Job, Answer);
  }

  void onDispatcherFound() override {
    for (auto &[Id, Job] : Jobs)
      if (Job.Phase == relay_phase::Waiting)
        relayJob(Job);
  }

  void onVmLost(const std::string &Vm) override {
    for (auto &[Id, Job] : Jobs)
      if (Job.Phase == relay_phase::Relayed && Job.Dispatcher == Vm)
        orphanJob(Job);
  }

  void onVmResumed(const std::string &Vm, schema::resume_session &Resume) override {
    for (auto &[Id, Job] : Jobs) {
      bool MayBeHeld = Job.Phase == relay_phase::Relayed || Job.Phase == relay_phase::Orphaned;
      if (!MayBeHeld || Job.Dispatcher != Vm)
        continue;
      runtime::cancelTimer(Executor, Job.PhaseTimer);
      Job.Phase = relay_phase::Relayed;
      addRelayedJob(Resume, Id);
    }
  }

  [[nodiscard]] std::set<std::string> dispatchers() const override {
    std::set<std::string> Names;
    for (const auto &[Id, Job] : Jobs)
      if (Job.Phase == relay_phase::Relayed)
        Names.insert(Job.Dispatcher);
    return Names;
  }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }

  // Calls OnTimeout if the job is still in the present phase after the timeout. A timer that became due while
  // the process was paused may fire although it has been cancelled since, hence the checks when it fires.
  void startPhaseTimer(relayed_job &Job, runtime::duration Timeout,
                       void (job_relay_impl::*OnTimeout)(relayed_job &)) {
    runtime::cancelTimer(Executor, Job.PhaseTimer);
    Job.PhaseEndsAt = now() + Timeout;
    Job.PhaseTimer = Executor.after(Timeout, [this, Id = Job.Request.Job, Phase = Job.Phase, OnTimeout] {
      auto Found = Jobs.find(Id);
      if (Found == Jobs.end() || Found->second.Phase != Phase || now() < Found->second.PhaseEndsAt)
        return;
      Found->second.PhaseTimer = 0;
      (this->*OnTimeout)(Found->second);
    });
  }

  void relayJob(relayed_job &Job) {
    job_id Id = Job.Request.Job;
    std::string Vm = Ports.dispatcherFor(Id);
    if (Vm.empty()) {
      waitForDispatcher(Job);
      return;
    }
    runtime::cancelTimer(Executor, Job.PhaseTimer);
    Job.Phase = relay_phase::Relayed;
    Job.Dispatcher = Vm;
    Job.Session = Ports.session(Vm);
    job_request Request = Job.Request;
    Request.Age = now() - Job.SubmittedAt;
    Ports.send(Vm, makeRelayJob(Job.Queue, Request, Job.Session));
  }

  void waitForDispatcher(relayed_job &Job) {
    if (Job.Phase == relay_phase::Waiting && Job.PhaseTimer)
      return;
    Job.Phase = relay_phase::Waiting;
    startPhaseTimer(Job, Options.DispatcherTimeout, &job_relay_impl::onDispatcherTimeout);
  }

  void orphanJob(relayed_job &Job) {
    Job.Phase = relay_phase::Orphaned;
    Job.MayHaveRun = true;
    startPhaseTimer(Job, Options.OrphanTimeout, &job_relay_impl::onOrphanTimeout);
  }

  // The dispatching VM has started nothing for the declined job. The delay limits how often the job is sent
  // to VMs that decline it.
  void relayJobLater(relayed_job &Job) {
    Job.Phase = relay_phase::Declined;
    startPhaseTimer(Job, Options.RelayRetryDelay, &job_relay_impl::relayJob);
  }

  void onOrphanTimeout(relayed_job &Job) {
    log(log_level::Warning, "job_passed_again",
        {{"job", formatJob(Job.Request.Job)}, {"former", Job.Dispatcher}});
    relayJob(Job);
  }

  void withdraw(const relayed_job &Job, end_reason Reason) {
    if (Job.Phase == relay_phase::Relayed)
      Ports.send(Job.Dispatcher, makeWithdrawal(Job.Request.Job, Reason));
  }

  void onDeadline(job_id Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    relayed_job &Job = Found->second;
    Job.DeadlineTimer = 0;
    bool WithoutDispatcher = Job.Phase == relay_phase::Waiting || Job.Phase == relay_phase::Declined;
    bool NotRun = WithoutDispatcher && !Job.MayHaveRun;
    withdraw(Job, end_reason::Deadline);
    finishJob(Job,
              {NotRun ? job_outcome::Refused : job_outcome::TimedOut, end_reason::Deadline, 0, {}, false});
  }

  void onDispatcherTimeout(relayed_job &Job) {
    finishJob(Job, {Job.MayHaveRun ? job_outcome::TimedOut : job_outcome::Refused,
                    end_reason::NoPlacer,
                    static_cast<std::uint32_t>(runtime::toMs(Options.DispatcherTimeout)),
                    {},
                    false});
  }

  void finishJob(relayed_job &Job, job_answer Answer) {
    job_id Id = Job.Request.Job;
    Answer.Queue = Job.Queue.Name;
    cancelTimers(Job);
    if (Answer.Outcome != job_outcome::Completed)
      logAnswer(Job, Answer);
    Jobs.erase(Id);
    Ports.answer(Id, Answer);
  }

  void logAnswer(const relayed_job &Job, const job_answer &Answer) const {
    log(log_level::Info, "relayed_job_not_completed",
        {{"job", formatJob(Job.Request.Job)},
         {"queue", Job.Queue.Name},
         {"outcome", std::string(jobOutcomeName(Answer.Outcome))},
         {"reason", std::string(endReasonName(Answer.Reason))},
         {"dispatcher", Job.Dispatcher},
         {"passed_again", Job.MayHaveRun},
         {"took_ms", runtime::toMs(now() - Job.SubmittedAt)}});
  }

  void cancelTimers(relayed_job &Job) {
    runtime::cancelTimer(Executor, Job.DeadlineTimer);
    runtime::cancelTimer(Executor, Job.PhaseTimer);
  }

  runtime::executor &Executor;
  relay_ports &Ports;
  relay_options Options;
  std::map<job_id, relayed_job> Jobs;
};

} // namespace

std::unique_ptr<job_relay> makeJobRelay(runtime::executor &Executor, relay_ports &Ports,
                                        relay_options Options) {
  return std::make_unique<job_relay_impl>(Executor, Ports, Options);
}

} // namespace yuccaplank::dispatch
