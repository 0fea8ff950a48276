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
  /// A dispatching VM has the job.
  Passed,
  /// The dispatching VM is out of contact and may still run tasks of the job.
  Orphaned,
  /// The dispatching VM did not take the job, which is about to be passed on again.
  Declined,
};

struct relayed_job {
  queue_settings Queue;
  job_request Request;
  time_point Arrived;
  relay_phase Phase = relay_phase::Waiting;
  // VM that has or had the job, and its session then.
  std::string Dispatcher;
  std::uint32_t Session = 0;
  // Whether tasks may have run on behalf of a VM that was lost.
  bool MayHaveRun = false;
  runtime::timer_id DeadlineTimer = 0;
  // Ends the wait for a dispatching VM, or for the end of what a lost one has started.
  runtime::timer_id PhaseTimer = 0;
  time_point PhaseEnds{};
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
    std::uint64_t Id = Request.Job;
    auto [Entry, IsNew] = Jobs.try_emplace(Id);
    if (!IsNew)
      return false;
    relayed_job &Job = Entry->second;
    Job.Queue = Queue;
    Job.Arrived = now() - Request.Age;
    Job.Request = std::move(Request);
    Job.DeadlineTimer = Executor.after(Job.Request.Deadline - Job.Request.Age + Options.AnswerTime,
                                       [this, Id] { onDeadline(Id); });
    pass(Job);
    return true;
  }

  bool cancel(std::uint64_t Id, end_reason Reason) override {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return false;
    withdraw(Found->second, Reason);
    finish(Found->second, {job_outcome::Cancelled, Reason, 0, {}, false});
    return true;
  }

  [[nodiscard]] bool contains(std::uint64_t Id) const override { return Jobs.contains(Id); }
  // Whether a task has been started is known to the dispatching VM only.
  [[nodiscard]] job_state state(std::uint64_t Id) const override {
    return Jobs.at(Id).Phase == relay_phase::Waiting ? job_state::Queued : job_state::Running;
  }
  [[nodiscard]] std::size_t size() const override { return Jobs.size(); }

  void onAnswer(const std::string &Vm, const schema::relayed_answer &Message) override {
    auto Found = Jobs.find(Message.job());
    if (Found == Jobs.end())
      return;
    relayed_job &Job = Found->second;
    if (Job.Phase != relay_phase::Passed || Job.Dispatcher != Vm)
      return;
    if (Message.end() == schema::RELAYED_NOT_HELD) {
      orphan(Job);
      return;
    }
    if (Message.session() != AnySession && Message.session() != Job.Session)
      return;
    if (Message.end() == schema::RELAYED_NOT_TAKEN) {
      passLater(Job);
      return;
    }
    job_answer Answer = answerOf(Message);
    // The refusal says nothing of what an earlier VM has started.
    if (Answer.Outcome == job_outcome::Refused && Job.MayHaveRun)
      Answer.Outcome = job_outcome::TimedOut;
    finish(Job, Answer);
  }

  void onDispatcherFound() override {
    for (auto &[Id, Job] : Jobs)
      if (Job.Phase == relay_phase::Waiting)
        pass(Job);
  }

  void onVmLost(const std::string &Vm) override {
    for (auto &[Id, Job] : Jobs)
      if (Job.Phase == relay_phase::Passed && Job.Dispatcher == Vm)
        orphan(Job);
  }

  void resume(const std::string &Vm, schema::resume_session &Resume) override {
    for (auto &[Id, Job] : Jobs) {
      bool Held = Job.Phase == relay_phase::Passed || Job.Phase == relay_phase::Orphaned;
      if (!Held || Job.Dispatcher != Vm)
        continue;
      runtime::cancelTimer(Executor, Job.PhaseTimer);
      Job.Phase = relay_phase::Passed;
      Resume.add_relayed(Id);
    }
  }

  [[nodiscard]] std::set<std::string> dispatchers() const override {
    std::set<std::string> Names;
    for (const auto &[Id, Job] : Jobs)
      if (Job.Phase == relay_phase::Passed)
        Names.insert(Job.Dispatcher);
    return Names;
  }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }

  // Handler runs when the time in the present phase is over. A timer that has become due in a pause of the
  // process may run although it has been cancelled since.
  void endPhaseAfter(relayed_job &Job, runtime::duration Time,
                     void (job_relay_impl::*Handler)(relayed_job &)) {
    runtime::cancelTimer(Executor, Job.PhaseTimer);
    Job.PhaseEnds = now() + Time;
    Job.PhaseTimer = Executor.after(Time, [this, Id = Job.Request.Job, Phase = Job.Phase, Handler] {
      auto Found = Jobs.find(Id);
      if (Found == Jobs.end() || Found->second.Phase != Phase || now() < Found->second.PhaseEnds)
        return;
      Found->second.PhaseTimer = 0;
      (this->*Handler)(Found->second);
    });
  }

  void pass(relayed_job &Job) {
    std::uint64_t Id = Job.Request.Job;
    std::string Vm = Ports.dispatcherFor(Id);
    if (Vm.empty()) {
      wait(Job);
      return;
    }
    runtime::cancelTimer(Executor, Job.PhaseTimer);
    Job.Phase = relay_phase::Passed;
    Job.Dispatcher = Vm;
    Job.Session = Ports.session(Vm);
    job_request Request = Job.Request;
    Request.Age = now() - Job.Arrived;
    Ports.send(Vm, makeRelayJob(Job.Queue, Request, Job.Session));
  }

  void wait(relayed_job &Job) {
    if (Job.Phase == relay_phase::Waiting && Job.PhaseTimer)
      return;
    Job.Phase = relay_phase::Waiting;
    endPhaseAfter(Job, Options.DispatcherWait, &job_relay_impl::refuseWithoutDispatcher);
  }

  void orphan(relayed_job &Job) {
    Job.Phase = relay_phase::Orphaned;
    Job.MayHaveRun = true;
    endPhaseAfter(Job, Options.OrphanTimeout, &job_relay_impl::passAgain);
  }

  // Nothing is started because of the job's last pass. The pause keeps it from going to and fro.
  void passLater(relayed_job &Job) {
    Job.Phase = relay_phase::Declined;
    endPhaseAfter(Job, Options.DeclinedTime, &job_relay_impl::pass);
  }

  void passAgain(relayed_job &Job) {
    log(log_level::Warning, "job_passed_again",
        {{"job", formatJob(Job.Request.Job)}, {"former", Job.Dispatcher}});
    pass(Job);
  }

  void withdraw(const relayed_job &Job, end_reason Reason) {
    if (Job.Phase == relay_phase::Passed)
      Ports.send(Job.Dispatcher, makeWithdrawal(Job.Request.Job, Reason));
  }

  void onDeadline(std::uint64_t Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    relayed_job &Job = Found->second;
    Job.DeadlineTimer = 0;
    bool WithNoOne = Job.Phase == relay_phase::Waiting || Job.Phase == relay_phase::Declined;
    bool NotRun = WithNoOne && !Job.MayHaveRun;
    withdraw(Job, end_reason::Deadline);
    finish(Job, {NotRun ? job_outcome::Refused : job_outcome::TimedOut, end_reason::Deadline, 0, {}, false});
  }

  void refuseWithoutDispatcher(relayed_job &Job) {
    finish(Job, {Job.MayHaveRun ? job_outcome::TimedOut : job_outcome::Refused,
                 end_reason::NoPlacer,
                 static_cast<std::uint32_t>(runtime::toMs(Options.DispatcherWait)),
                 {},
                 false});
  }

  void finish(relayed_job &Job, job_answer Answer) {
    std::uint64_t Id = Job.Request.Job;
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
         {"took_ms", runtime::toMs(now() - Job.Arrived)}});
  }

  void cancelTimers(relayed_job &Job) {
    runtime::cancelTimer(Executor, Job.DeadlineTimer);
    runtime::cancelTimer(Executor, Job.PhaseTimer);
  }

  runtime::executor &Executor;
  relay_ports &Ports;
  relay_options Options;
  std::map<std::uint64_t, relayed_job> Jobs;
};

} // namespace

std::unique_ptr<job_relay> makeJobRelay(runtime::executor &Executor, relay_ports &Ports,
                                        relay_options Options) {
  return std::make_unique<job_relay_impl>(Executor, Ports, Options);
}

} // namespace yuccaplank::dispatch
