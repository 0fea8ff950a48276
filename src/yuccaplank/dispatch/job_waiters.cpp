#include "job_waiters.hpp"
#include "admission/admission_control.hpp"
#include "job_memory.hpp"
#include "relay_messages.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

constexpr std::size_t MaxSentAnswers = 512;
// Jobs in progress take about this long to end and to free their memory.
constexpr auto MemoryRetryAfter = std::chrono::seconds(1);

} // namespace

bool job_waiters::submit(const queue_settings &Queue, job_request Request) {
  job_id Id = Request.Job;
  if (std::exchange(WaitersByJob[Id].HasCaller, true))
    return false;
  Jobs.submit(Queue, std::move(Request));
  return true;
}

bool job_waiters::hasCaller(job_id Job) const {
  auto Found = WaitersByJob.find(Job);
  return Found != WaitersByJob.end() && Found->second.HasCaller;
}

bool job_waiters::removeCaller(job_id Job, end_reason Reason) {
  auto Found = WaitersByJob.find(Job);
  if (Found == WaitersByJob.end() || !std::exchange(Found->second.HasCaller, false))
    return false;
  cancelIfUnawaited(Job, Reason);
  return true;
}

void job_waiters::onRelayJob(const std::string &Vm, const schema::relay_job &Message) {
  auto Session = Sessions.find(Vm);
  if (Session != Sessions.end() && Message.session() < Session->second)
    return;
  // A job that merely lost its callers has no answer, so one that was cancelled has had a DELETE.
  if (resendAnswer(Vm, jobOf(Message), [](job_outcome Outcome) {
        return Outcome == job_outcome::Completed || Outcome == job_outcome::Failed ||
               Outcome == job_outcome::Cancelled;
      }))
    return;
  job_request Request = toJobRequest(Message);
  Request.Origin = Vm;
  if (!reserveMemory(Vm, Request)) {
    refuse(Vm, Message);
    return;
  }
  WaitersByJob[jobOf(Message)].RelayingVms[Vm] = Message.session();
  Jobs.submit(toQueueSettings(Message), std::move(Request));
}

bool job_waiters::reserveMemory(const std::string &Vm, const job_request &Request) {
  // One that joins the waiters of a job takes no memory, and "not run" would be wrong.
  if (WaitersByJob.contains(Request.Job))
    return true;
  auto Reserved = Relayed.take(Vm, coordinatedBytes(Request));
  if (!Reserved)
    return false;
  WaitersByJob[Request.Job].Memory = std::move(*Reserved);
  return true;
}

// The refusal is not kept with the answers that are sent again: in a crowd, refusals would displace those of
// jobs that have run. A VM that has not received it is told that the job is not held.
void job_waiters::refuse(const std::string &Vm, const schema::relay_job &Message) {
  job_answer Answer;
  Answer.Outcome = job_outcome::Refused;
  Answer.Reason = end_reason::MemoryLimit;
  Answer.RetryAfterMs = static_cast<std::uint32_t>(
      runtime::toMs(admission::spreadRetryAfter(MemoryRetryAfter, jobOf(Message))));
  runtime::log(runtime::log_level::Info, "relayed_job_refused",
               {{"job", formatJob(jobOf(Message))},
                {"vm", Vm},
                {"reason", std::string(endReasonName(Answer.Reason))},
                {"relayed_bytes", static_cast<std::int64_t>(Relayed.taken())},
                {"retry_after_ms", std::int64_t{Answer.RetryAfterMs}}});
  Send(Vm, makeRelayedAnswer(jobOf(Message), Message.session(), Answer));
}

void job_waiters::onWithdrawRelayed(const std::string &Vm, const schema::withdraw_relayed &Message) {
  removeRelayingVm(jobOf(Message), Vm, decodeEndReason(Message.reason()));
}

void job_waiters::onResume(const std::string &Vm, const schema::resume_session &Session) {
  Sessions[Vm] = Session.session();
  std::set<job_id> Expected = relayedJobsOf(Session);
  std::vector<job_id> UnexpectedJobs;
  std::set<job_id> HeldJobs;
  for (const auto &[Job, Waiters] : WaitersByJob)
    if (Waiters.RelayingVms.contains(Vm)) {
      HeldJobs.insert(Job);
      if (!Expected.contains(Job))
        UnexpectedJobs.push_back(Job);
    }
  for (job_id Job : UnexpectedJobs)
    removeRelayingVm(Job, Vm, end_reason::CallerLeft);
  for (job_id Job : Expected)
    if (!HeldJobs.contains(Job) && !resendAnswer(Vm, Job, [](job_outcome) { return true; }))
      Send(Vm, makeNotHeldAnswer(Job));
}

void job_waiters::onVmLost(const std::string &Vm) {
  std::vector<job_id> RelayedJobs;
  for (const auto &[Job, Waiters] : WaitersByJob)
    if (Waiters.RelayingVms.contains(Vm))
      RelayedJobs.push_back(Job);
  for (job_id Job : RelayedJobs)
    removeRelayingVm(Job, Vm, end_reason::CallerLeft);
}

void job_waiters::onAnswer(job_id Job, const job_answer &Answer) {
  auto Found = WaitersByJob.find(Job);
  if (Found == WaitersByJob.end())
    return;
  waiters Waiters = std::move(Found->second);
  WaitersByJob.erase(Found);
  for (const auto &[Vm, Session] : Waiters.RelayingVms) {
    Send(Vm, makeRelayedAnswer(Job, Session, Answer));
    SentAnswers.push_back({Job, Vm, Answer});
    if (SentAnswers.size() > MaxSentAnswers)
      SentAnswers.pop_front();
  }
  if (Waiters.HasCaller)
    AnswerCaller(Job, Answer);
}

void job_waiters::removeRelayingVm(job_id Job, const std::string &Vm, end_reason Reason) {
  auto Found = WaitersByJob.find(Job);
  if (Found != WaitersByJob.end() && Found->second.RelayingVms.erase(Vm) > 0)
    cancelIfUnawaited(Job, Reason);
}

void job_waiters::cancelIfUnawaited(job_id Job, end_reason Reason) {
  const waiters &Waiters = WaitersByJob.at(Job);
  if (Waiters.HasCaller || !Waiters.RelayingVms.empty())
    return;
  WaitersByJob.erase(Job);
  Jobs.cancel(Job, Reason);
}

bool job_waiters::resendAnswer(const std::string &Vm, job_id Job,
                               const std::function<bool(job_outcome)> &MayResend) {
  auto Found = std::find_if(SentAnswers.rbegin(), SentAnswers.rend(),
                            [&](const sent_answer &Sent) { return Sent.Job == Job && Sent.Vm == Vm; });
  if (Found == SentAnswers.rend() || !MayResend(Found->Answer.Outcome))
    return false;
  Send(Vm, makeRelayedAnswer(Job, AnySession, Found->Answer));
  return true;
}

} // namespace yuccaplank::dispatch
