#include "job_waiters.hpp"
#include "relay_messages.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

constexpr std::size_t RememberedAnswers = 512;

} // namespace

bool job_waiters::submit(const queue_settings &Queue, job_request Request) {
  std::uint64_t Id = Request.Job;
  if (std::exchange(Waiting[Id].OwnCaller, true))
    return false;
  Jobs.submit(Queue, std::move(Request));
  return true;
}

bool job_waiters::hasCaller(std::uint64_t Job) const {
  auto Found = Waiting.find(Job);
  return Found != Waiting.end() && Found->second.OwnCaller;
}

bool job_waiters::leave(std::uint64_t Job, end_reason Reason) {
  auto Found = Waiting.find(Job);
  if (Found == Waiting.end() || !std::exchange(Found->second.OwnCaller, false))
    return false;
  endUnlessAwaited(Job, Reason);
  return true;
}

void job_waiters::onRelayJob(const std::string &Vm, const schema::relay_job &Message) {
  auto Session = Sessions.find(Vm);
  if (Session != Sessions.end() && Message.session() < Session->second)
    return;
  if (repeatAnswer(Vm, Message.job(), [](job_outcome Outcome) {
        return Outcome == job_outcome::Completed || Outcome == job_outcome::Failed;
      }))
    return;
  Waiting[Message.job()].Relays[Vm] = Message.session();
  Jobs.submit(queueOf(Message), requestOf(Message));
}

void job_waiters::onWithdrawRelayed(const std::string &Vm, const schema::withdraw_relayed &Message) {
  drop(Message.job(), Vm, reasonOf(Message.reason()));
}

void job_waiters::onResume(const std::string &Vm, const schema::resume_session &Session) {
  Sessions[Vm] = Session.session();
  std::set<std::uint64_t> Counted(Session.relayed().begin(), Session.relayed().end());
  std::vector<std::uint64_t> Dropped;
  std::set<std::uint64_t> Held;
  for (const auto &[Job, Who] : Waiting)
    if (Who.Relays.contains(Vm)) {
      Held.insert(Job);
      if (!Counted.contains(Job))
        Dropped.push_back(Job);
    }
  for (std::uint64_t Job : Dropped)
    drop(Job, Vm, end_reason::CallerLeft);
  for (std::uint64_t Job : Counted)
    if (!Held.contains(Job) && !repeatAnswer(Vm, Job, [](job_outcome) { return true; }))
      Send(Vm, makeNotHeldAnswer(Job));
}

void job_waiters::onVmLost(const std::string &Vm) {
  std::vector<std::uint64_t> Lost;
  for (const auto &[Job, Who] : Waiting)
    if (Who.Relays.contains(Vm))
      Lost.push_back(Job);
  for (std::uint64_t Job : Lost)
    drop(Job, Vm, end_reason::CallerLeft);
}

void job_waiters::onAnswer(std::uint64_t Job, const job_answer &Answer) {
  auto Found = Waiting.find(Job);
  if (Found == Waiting.end())
    return;
  waiters Who = std::move(Found->second);
  Waiting.erase(Found);
  for (const auto &[Vm, Session] : Who.Relays) {
    Send(Vm, makeRelayedAnswer(Job, Session, Answer));
    Answers.push_back({Job, Vm, Answer});
    if (Answers.size() > RememberedAnswers)
      Answers.pop_front();
  }
  if (Who.OwnCaller)
    AnswerCaller(Job, Answer);
}

void job_waiters::drop(std::uint64_t Job, const std::string &Vm, end_reason Reason) {
  auto Found = Waiting.find(Job);
  if (Found != Waiting.end() && Found->second.Relays.erase(Vm) > 0)
    endUnlessAwaited(Job, Reason);
}

void job_waiters::endUnlessAwaited(std::uint64_t Job, end_reason Reason) {
  const waiters &Who = Waiting.at(Job);
  if (Who.OwnCaller || !Who.Relays.empty())
    return;
  Waiting.erase(Job);
  Jobs.cancel(Job, Reason);
}

bool job_waiters::repeatAnswer(const std::string &Vm, std::uint64_t Job,
                               const std::function<bool(job_outcome)> &Holds) {
  auto Found = std::find_if(Answers.rbegin(), Answers.rend(),
                            [&](const past_answer &Past) { return Past.Job == Job && Past.Vm == Vm; });
  if (Found == Answers.rend() || !Holds(Found->Answer.Outcome))
    return false;
  Send(Vm, makeRelayedAnswer(Job, AnySession, Found->Answer));
  return true;
}

} // namespace yuccaplank::dispatch
