// Submissions, queries and cancellations that come from peers or go to them.
#include "job_service.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <algorithm>

namespace yuccaplank::node {
namespace {

using runtime::errc;
using wire::makeAnswer;

// An answer that has not come this long after the deadline is lost.
constexpr runtime::duration AnswerGrace = std::chrono::seconds(1);
constexpr runtime::duration QueryTimeout = std::chrono::seconds(1);

} // namespace

std::uint64_t job_service::sendForward(const schema::incarnation &Peer, schema::forward_job Forward,
                                       runtime::time_point Deadline, exchanges::answer_handler OnAnswer,
                                       exchanges::failure_handler OnFailure) {
  auto Remaining = std::max(Deadline - P.Executor.clock().now(), runtime::duration::zero());
  auto Exchange =
      P.Peers.Exchanges.open(Peer, Remaining + AnswerGrace, std::move(OnAnswer), std::move(OnFailure));
  Forward.set_exchange(Exchange);
  Forward.set_remaining_ms(static_cast<std::uint32_t>(runtime::toMs(Remaining)));
  schema::envelope Message;
  *Message.mutable_forward_job() = std::move(Forward);
  P.Peers.send(Peer.vm(), std::move(Message));
  return Exchange;
}

answer_function job_service::answerTo(const schema::incarnation &From, std::uint64_t Exchange) {
  return [this, From, Exchange](const schema::job_answer &Answer) {
    schema::envelope Message;
    Message.mutable_forward_answer()->set_exchange(Exchange);
    *Message.mutable_forward_answer()->mutable_answer() = Answer;
    P.Peers.send(From.vm(), std::move(Message));
  };
}

void job_service::onForward(const schema::incarnation &From, const schema::forward_job &Request) {
  if (Request.overflow()) {
    runGuest(From, Request);
    return;
  }
  std::uint64_t Handle = addWaiter(answerTo(From, Request.exchange()));
  submit_request Submit{Request.id(), Request.job(), Request.respond_async()};
  service_ptr Service;
  if (auto Refusal = checkDocument(Submit, Service)) {
    deliver(Handle, *Refusal);
    return;
  }
  if (!Submit.Id.empty()) {
    model::job_id Id = model::parseJobId(Submit.Id).value();
    if (Id.Kind == model::id_kind::Issued && !model::sameIncarnation(Id.Authority, Self)) {
      // Meant for an earlier run of this VM.
      unknown(Submit.Id, Id.Authority, Handle);
      return;
    }
  }
  auto Deadline = P.Executor.clock().now() + std::chrono::milliseconds(Request.remaining_ms());
  submitHere(std::move(Submit), std::move(Service), Deadline, Handle);
}

void job_service::runGuest(const schema::incarnation &From, const schema::forward_job &Request) {
  auto Answer = answerTo(From, Request.exchange());
  auto Refuse = [&](errc Reason, std::uint32_t RetryMs = 0) {
    Answer(makeAnswer(Request.id(), schema::OUTCOME_REFUSED, Reason, {}, RetryMs));
  };
  auto Service = P.Catalog.find(Request.job().service());
  if (Draining)
    return Refuse(errc::Draining);
  if (!Service)
    return Refuse(errc::UnknownService);
  auto Name = std::make_pair(model::incarnationName(From), Request.exchange());
  auto Deadline = P.Executor.clock().now() + std::chrono::milliseconds(Request.remaining_ms());
  run_request Run{Request.id(), std::make_shared<const schema::job>(Request.job()), Service, Deadline};
  model::job_key Key = 0;
  auto Refusal = P.Runner.run(
      std::move(Run),
      [this, Name, Answer](const schema::job_answer &Result) {
        Guests.erase(Name);
        Answer(Result);
      },
      Key);
  if (Refusal)
    Refuse(Refusal->Reason, Refusal->RetryAfterMs);
  else
    Guests[Name] = Key;
}

void job_service::onQuery(const schema::incarnation &From, const schema::query_job &Request) {
  std::uint64_t Handle = addWaiter(answerTo(From, Request.exchange()));
  auto Id = model::parseJobId(Request.id());
  if (Id)
    queryHere(Id.value(), Request.wait_ms(), Handle);
  else
    deliver(Handle, makeAnswer(Request.id(), schema::OUTCOME_REFUSED, errc::InvalidId));
}

void job_service::onCancel(const schema::incarnation &From, const schema::cancel_job &Request) {
  auto Guest = Guests.find({model::incarnationName(From), Request.exchange()});
  if (Guest != Guests.end()) {
    P.Runner.end(Guest->second, errc::Cancelled);
    return;
  }
  std::uint64_t Handle = addWaiter(answerTo(From, Request.exchange()));
  auto Id = model::parseJobId(Request.id());
  if (Id)
    cancelHere(Id.value(), Handle);
  else
    deliver(Handle, makeAnswer(Request.id(), schema::OUTCOME_REFUSED, errc::InvalidId));
}

void job_service::onPeerLost(const schema::incarnation &Peer) {
  P.Peers.Exchanges.failPeer(Peer);
  std::string Name = model::incarnationName(Peer);
  // The authority has failed these jobs already.
  for (auto Guest = Guests.lower_bound({Name, 0}); Guest != Guests.end() && Guest->first.first == Name;
       ++Guest)
    P.Runner.end(Guest->second, errc::PeerUnreachable);
}

// Queries and cancellations

void job_service::askAuthority(const model::job_id &Id, peer_question Question,
                               const std::function<void()> &Here) {
  if (P.Jobs.contains(Id.Text) ||
      (Id.Kind == model::id_kind::Issued && model::sameIncarnation(Id.Authority, Self))) {
    Here();
    return;
  }
  if (Id.Kind == model::id_kind::Issued) {
    askPeer(Id.Authority, Question);
    return;
  }
  P.Claims.find(Id.Key,
                [this, Question = std::move(Question)](const runtime::result<storage::claim_owner> &Owner) {
                  if (Owner) {
                    askPeer(Owner.value().Authority, Question);
                    return;
                  }
                  bool Absent = Owner.error() == make_error_code(errc::NotFound);
                  deliver(Question.Handle,
                          makeAnswer(Question.Id, Absent ? schema::OUTCOME_REFUSED : schema::OUTCOME_UNKNOWN,
                                     Absent ? errc::NotFound : errc::PlatformUnavailable));
                });
}

void job_service::askPeer(const schema::incarnation &Authority, const peer_question &Question) {
  if (!P.Membership.reachable(Authority)) {
    unknown(Question.Id, Authority, Question.Handle);
    return;
  }
  auto Exchange = P.Peers.Exchanges.open(
      Authority, std::chrono::milliseconds(Question.WaitMs) + QueryTimeout,
      [this, Handle = Question.Handle](const schema::envelope &Message) {
        deliver(Handle, Message.forward_answer().answer());
      },
      [this, Handle = Question.Handle, Id = Question.Id](exchange_failure) {
        deliver(Handle, makeAnswer(Id, schema::OUTCOME_UNKNOWN, errc::AuthorityUnreachable));
      });
  schema::envelope Message;
  if (Question.Cancel) {
    Message.mutable_cancel_job()->set_exchange(Exchange);
    Message.mutable_cancel_job()->set_id(Question.Id);
  } else {
    Message.mutable_query_job()->set_exchange(Exchange);
    Message.mutable_query_job()->set_id(Question.Id);
    Message.mutable_query_job()->set_wait_ms(Question.WaitMs);
  }
  P.Peers.send(Authority.vm(), std::move(Message));
}

void job_service::queryHere(const model::job_id &Id, std::uint32_t WaitMs, std::uint64_t Handle) {
  schema::job_answer Answer = P.Jobs.query(Id, WaitMs > 0 ? Handle : 0);
  if (Answer.outcome() != schema::OUTCOME_PENDING || WaitMs == 0) {
    deliver(Handle, Answer);
    return;
  }
  P.Executor.after(std::chrono::milliseconds(WaitMs), [this, Handle, Answer] {
    P.Jobs.removeWaiter(Handle);
    deliver(Handle, Answer);
  });
}

void job_service::cancelHere(const model::job_id &Id, std::uint64_t Handle) {
  schema::job_answer State = P.Jobs.query(Id, Handle);
  auto Found = Active.find(Id.Text);
  if (State.outcome() != schema::OUTCOME_PENDING || Found == Active.end()) {
    deliver(Handle, State);
    return;
  }
  if (Found->second.Key != 0) {
    P.Runner.end(Found->second.Key, errc::Cancelled);
    return;
  }
  schema::envelope Message;
  Message.mutable_cancel_job()->set_exchange(Found->second.Exchange);
  Message.mutable_cancel_job()->set_id(Id.Text);
  P.Peers.send(Found->second.Vm, std::move(Message));
}

} // namespace yuccaplank::node
