// Execution of the jobs whose authority is this VM: here, or at another dispatcher.
#include "job_service.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <algorithm>

namespace yuccaplank::node {
namespace {

using runtime::errc;
using wire::makeAnswer;

// Another group must be expected to finish this much earlier to be worth two messages, unless less than half
// of the job could start here.
constexpr double OverflowMarginMs = 150;

} // namespace

std::optional<schema::incarnation> job_service::ownDispatcher() const {
  auto Dispatcher = P.Membership.dispatcher(Domain);
  if (Draining || !Dispatcher || model::sameIncarnation(*Dispatcher, Self))
    return std::nullopt;
  return Dispatcher;
}

void job_service::execute(const authority_request &Request) {
  if (auto Dispatcher = ownDispatcher()) {
    executeAtPeer(Request, *Dispatcher);
    return;
  }
  if (auto Target = overflowTarget(Request, overflow_cause::Wait))
    executeAtPeer(Request, *Target);
  else
    executeHere(Request, true);
}

void job_service::executeHere(const authority_request &Request, bool MayOverflow) {
  const std::string &Id = Request.Id.Text;
  run_request Run{Id, Request.Job, Request.Service, Request.Deadline};
  model::job_key Key = 0;
  auto Refusal = P.Runner.run(
      std::move(Run), [this, Id](const schema::job_answer &Answer) { jobEnded(Id, Answer); }, Key);
  if (!Refusal) {
    Active[Id] = {Key, 0, {}};
    return;
  }
  auto Cause = Refusal->Reason == errc::NoFitServer ? overflow_cause::NoFit : overflow_cause::NoRoom;
  if (MayOverflow && Refusal->Reason != errc::QuotaExceeded)
    if (auto Target = overflowTarget(Request, Cause))
      return executeAtPeer(Request, *Target);
  refuse(Id, *Refusal);
}

void job_service::executeAtPeer(const authority_request &Request, const schema::incarnation &Peer) {
  ++P.Counters.JobsOverflowed;
  schema::forward_job Forward;
  Forward.set_id(Request.Id.Text);
  *Forward.mutable_job() = *Request.Job;
  Forward.set_overflow(true);
  auto Exchange = sendForward(
      Peer, std::move(Forward), Request.Deadline,
      [this, Request](const schema::envelope &Message) {
        peerAnswered(Request, Message.forward_answer().answer());
      },
      [this, Request](exchange_failure Failure) {
        const std::string &Id = Request.Id.Text;
        if (Failure == exchange_failure::NotDelivered && Active.contains(Id))
          return executeHere(Request, false);
        errc Reason = Failure == exchange_failure::TimedOut ? errc::TaskTimeout : errc::PeerUnreachable;
        jobEnded(Id, makeAnswer(Id, schema::OUTCOME_FAILED, Reason));
      });
  Active[Request.Id.Text] = {0, Exchange, Peer.vm()};
}

void job_service::peerAnswered(const authority_request &Request, const schema::job_answer &Answer) {
  bool Cancelled = Answer.reason() == runtime::errcName(errc::Cancelled);
  // Refused there means not run there; one more try at home, unless the job was cancelled.
  if (Answer.outcome() == schema::OUTCOME_REFUSED && !Cancelled && Active.contains(Request.Id.Text))
    executeHere(Request, false);
  else
    jobEnded(Request.Id.Text, Answer);
}

bool job_service::worthMoving(const authority_request &Request, const model::scheduler_load &Load) const {
  if (Load.FreeSlots >= static_cast<std::uint32_t>(Request.Job->tasks_size()))
    return false;
  const schema::service_document &Service = Request.Service->document();
  if (Service.placement() != schema::messages)
    return true;
  double PredictedMs = P.Scheduler.predictResponseMs(*Request.Job, Service);
  return PredictedMs > runtime::toMs(Request.Deadline - P.Executor.clock().now());
}

std::optional<schema::incarnation> job_service::overflowTarget(const authority_request &Request,
                                                               overflow_cause Cause) {
  model::scheduler_load Load = P.Scheduler.load();
  if (Cause == overflow_cause::Wait && !worthMoving(Request, Load))
    return std::nullopt;
  auto Tasks = static_cast<std::uint32_t>(Request.Job->tasks_size());
  std::optional<schema::domain_summary> Best;
  for (const schema::domain_summary &Summary : P.Membership.summaries()) {
    // In an overload all groups are full, and asking them costs two messages a job.
    bool Room = Summary.free_slots() >= Tasks + Debits[Summary.domain()];
    bool Earlier = Summary.backlog_ms() + OverflowMarginMs < Load.BacklogMs || 2 * Load.FreeSlots < Tasks;
    bool Suitable = Cause == overflow_cause::NoFit || (Room && (Earlier || Cause == overflow_cause::NoRoom));
    if (!Suitable || !P.Membership.reachable(Summary.dispatcher()))
      continue;
    if (!Best || Summary.backlog_ms() < Best->backlog_ms())
      Best = Summary;
  }
  if (!Best)
    return std::nullopt;
  Debits[Best->domain()] += Tasks;
  return Best->dispatcher();
}

void job_service::jobEnded(const std::string &Id, schema::job_answer Answer) {
  Active.erase(Id);
  Answer.set_id(Id);
  bool MayTryAgain =
      Answer.outcome() == schema::OUTCOME_REFUSED && Answer.reason() != runtime::errcName(errc::Cancelled);
  if (!MayTryAgain) {
    deliverAll(P.Jobs.finish(Id, Answer), Answer);
    return;
  }
  auto Handles = P.Jobs.withdraw(Id);
  auto Parsed = model::parseJobId(Id);
  if (Parsed && Parsed.value().Kind == model::id_kind::CallerKey)
    rememberUnstarted(Parsed.value().Key);
  deliverAll(Handles, Answer);
}

void job_service::refuse(const std::string &Id, const model::admission_refusal &Refusal) {
  jobEnded(Id,
           makeAnswer(Id, schema::OUTCOME_REFUSED, Refusal.Reason, Refusal.Subject, Refusal.RetryAfterMs));
}

void job_service::unknown(const std::string &Id, const schema::incarnation &Authority, std::uint64_t Handle) {
  errc Reason = P.Membership.replaced(Authority) ? errc::AuthorityGone : errc::AuthorityUnreachable;
  deliver(Handle, makeAnswer(Id, schema::OUTCOME_UNKNOWN, Reason, Authority.vm()));
}

} // namespace yuccaplank::node
