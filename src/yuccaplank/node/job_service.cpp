#include "job_service.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <xxhash.h>

#include <algorithm>

namespace yuccaplank::node {
namespace {

using namespace std::chrono_literals;
using runtime::errc;
using wire::makeAnswer;

// An answer that has not come this long after the deadline is lost.
constexpr runtime::duration AnswerGrace = 1s;
constexpr runtime::duration QueryTimeout = 1s;
constexpr std::uint32_t DefaultDeadlineMs = 10'000;
constexpr std::uint32_t MaxDeadlineMs = 600'000;
// A remote domain must be expected to finish this much earlier to be worth two messages.
constexpr double OverflowMarginMs = 150;
constexpr std::uint32_t PlatformRetryMs = 1000;
constexpr std::uint32_t DrainRetryMs = 200;
// Keys whose claim succeeded without a start; dropping one only makes a later submission "unknown".
constexpr std::size_t MaxUnstartedKeys = 100'000;

std::uint64_t documentHash(const schema::job &Job) {
  std::string Bytes = Job.SerializeAsString();
  return XXH64(Bytes.data(), Bytes.size(), 0);
}

std::uint32_t remainingMs(runtime::time_point Deadline, runtime::time_point Now) {
  return static_cast<std::uint32_t>(std::max(runtime::toMs(Deadline - Now), 0.0));
}

std::uint32_t deadlineMs(const schema::job &Job, const schema::service_document &Service) {
  std::uint32_t Ms = Job.deadline_ms();
  if (Ms == 0)
    Ms = Service.default_deadline_ms();
  if (Ms == 0)
    Ms = DefaultDeadlineMs;
  return std::min(Ms, MaxDeadlineMs);
}

} // namespace

job_service::job_service(parts Parts, schema::incarnation Self, std::string Domain)
    : P(Parts), Self(std::move(Self)), Domain(std::move(Domain)) {}

std::uint64_t job_service::submit(submit_request Request, answer_function OnAnswer) {
  std::uint64_t Handle = addWaiter(std::move(OnAnswer));
  service_ptr Service;
  if (auto Refusal = checkDocument(Request, Service))
    deliver(Handle, *Refusal);
  else
    route(std::move(Request), std::move(Service), Handle);
  return Handle;
}

std::uint64_t job_service::query(const std::string &Id, std::uint32_t WaitMs, answer_function OnAnswer) {
  std::uint64_t Handle = addWaiter(std::move(OnAnswer));
  auto Parsed = model::parseJobId(Id);
  if (!Parsed) {
    deliver(Handle, makeAnswer(Id, schema::OUTCOME_REFUSED, errc::InvalidId));
    return Handle;
  }
  askAuthority(Parsed.value(), {Id, Handle, WaitMs, false},
               [&] { queryHere(Parsed.value(), WaitMs, Handle); });
  return Handle;
}

void job_service::cancel(const std::string &Id, answer_function OnAnswer) {
  std::uint64_t Handle = addWaiter(std::move(OnAnswer));
  auto Parsed = model::parseJobId(Id);
  if (!Parsed) {
    deliver(Handle, makeAnswer(Id, schema::OUTCOME_REFUSED, errc::InvalidId));
    return;
  }
  askAuthority(Parsed.value(), {Id, Handle, 0, true}, [&] { cancelHere(Parsed.value(), Handle); });
}

void job_service::callerGone(std::uint64_t Handle) {
  Waiters.erase(Handle);
  P.Jobs.removeWaiter(Handle);
}

std::size_t job_service::inProgress() const { return P.Runner.size() + Waiters.size() + Active.size(); }

// Waiters

std::uint64_t job_service::addWaiter(answer_function OnAnswer) {
  Waiters.emplace(++LastHandle, std::move(OnAnswer));
  return LastHandle;
}

void job_service::deliver(std::uint64_t Handle, const schema::job_answer &Answer) {
  auto Node = Waiters.extract(Handle);
  if (!Node.empty())
    P.Executor.post([OnAnswer = std::move(Node.mapped()), Answer] { OnAnswer(Answer); });
}

void job_service::deliverAll(const std::vector<std::uint64_t> &Handles, const schema::job_answer &Answer) {
  for (std::uint64_t Handle : Handles)
    deliver(Handle, Answer);
}

// Submissions

std::optional<schema::job_answer> job_service::checkDocument(const submit_request &Request,
                                                             service_ptr &Service) const {
  auto Refused = [&](errc Reason, std::string Subject = {}, std::uint32_t RetryMs = 0) {
    return makeAnswer(Request.Id, schema::OUTCOME_REFUSED, Reason, std::move(Subject), RetryMs);
  };
  if (!P.Catalog.ready())
    return Refused(errc::NoCatalog, {}, PlatformRetryMs);
  Service = P.Catalog.find(Request.Job.service());
  if (!Service)
    return Refused(errc::UnknownService, Request.Job.service());
  const schema::service_limits &Limits = Service->document().limits();
  if (Limits.max_tasks_per_job() > 0 &&
      static_cast<std::uint32_t>(Request.Job.tasks_size()) > Limits.max_tasks_per_job())
    return Refused(errc::TooManyTasks, "limits.max_tasks_per_job");
  if (Limits.max_job_bytes() > 0 && Request.Job.ByteSizeLong() > Limits.max_job_bytes())
    return Refused(errc::BodyTooLarge, "limits.max_job_bytes");
  if (Request.Id.empty() && !Request.Job.repeatable())
    return Refused(errc::IdRequired);
  if (!Request.Id.empty() && !model::parseJobId(Request.Id))
    return Refused(errc::InvalidId);
  return std::nullopt;
}

void job_service::route(submit_request Request, service_ptr Service, std::uint64_t Handle) {
  auto Deadline =
      P.Executor.clock().now() + std::chrono::milliseconds(deadlineMs(Request.Job, Service->document()));
  if (!Request.Id.empty()) {
    model::job_id Id = model::parseJobId(Request.Id).value();
    if (Id.Kind == model::id_kind::Issued && !model::sameIncarnation(Id.Authority, Self)) {
      if (P.Membership.reachable(Id.Authority))
        forward(Id.Authority, Request, Deadline, Handle);
      else
        unknown(Request.Id, Id.Authority, Handle);
      return;
    }
    if (Id.Kind == model::id_kind::Issued || P.Jobs.contains(Request.Id)) {
      submitHere(std::move(Request), std::move(Service), Deadline, Handle);
      return;
    }
  }
  if (auto Dispatcher = ownDispatcher())
    forward(*Dispatcher, Request, Deadline, Handle);
  else
    submitHere(std::move(Request), std::move(Service), Deadline, Handle);
}

void job_service::forward(const schema::incarnation &Peer, const submit_request &Request,
                          runtime::time_point Deadline, std::uint64_t Handle) {
  ++P.Counters.JobsForwarded;
  auto Remaining = Deadline - P.Executor.clock().now();
  auto Exchange = P.Peers.Exchanges.open(
      Peer, Remaining + AnswerGrace,
      [this, Handle](const schema::envelope &Message) { deliver(Handle, Message.forward_answer().answer()); },
      [this, Handle, Request, Deadline, Peer](exchange_failure Failure) {
        bool AnyAuthority =
            Request.Id.empty() || model::parseJobId(Request.Id).value().Kind == model::id_kind::CallerKey;
        if (Failure == exchange_failure::NotDelivered && AnyAuthority)
          return submitInsteadOf(Request, Deadline, Handle);
        // The job may go on at its authority, so this is no failure of the job.
        errc Reason =
            Failure == exchange_failure::NotDelivered ? errc::AuthorityUnreachable : errc::PeerUnreachable;
        deliver(Handle, makeAnswer(Request.Id, schema::OUTCOME_UNKNOWN, Reason, Peer.vm()));
      });
  schema::envelope Message;
  schema::forward_job &Forward = *Message.mutable_forward_job();
  Forward.set_exchange(Exchange);
  Forward.set_id(Request.Id);
  *Forward.mutable_job() = Request.Job;
  Forward.set_remaining_ms(remainingMs(Deadline, P.Executor.clock().now()));
  Forward.set_respond_async(Request.RespondAsync);
  P.Peers.send(Peer.vm(), std::move(Message));
}

// The dispatcher has not got the submission; this VM can be the authority as well.
void job_service::submitInsteadOf(const submit_request &Request, runtime::time_point Deadline,
                                  std::uint64_t Handle) {
  service_ptr Service;
  if (auto Refusal = checkDocument(Request, Service))
    deliver(Handle, *Refusal);
  else
    submitHere(Request, std::move(Service), Deadline, Handle);
}

void job_service::submitHere(submit_request Request, service_ptr Service, runtime::time_point Deadline,
                             std::uint64_t Handle) {
  if (Request.Id.empty())
    Request.Id = model::issuedId(Domain, Self, P.Jobs.issue(1));
  if (Draining && !P.Jobs.contains(Request.Id)) {
    deliver(Handle, makeAnswer(Request.Id, schema::OUTCOME_REFUSED, errc::Draining, Self.vm(), DrainRetryMs));
    return;
  }
  authority_request Accepted;
  Accepted.Id = model::parseJobId(Request.Id).value();
  Accepted.Job = std::make_shared<const schema::job>(std::move(Request.Job));
  Accepted.Service = std::move(Service);
  Accepted.Deadline = Deadline;
  Accepted.Handle = Handle;
  Accepted.RespondAsync = Request.RespondAsync;
  if (Accepted.Id.Kind == model::id_kind::CallerKey && !P.Jobs.contains(Request.Id))
    submitKeyed(std::move(Accepted));
  else
    submitToTable(Accepted);
}

void job_service::submitKeyed(authority_request Request) {
  std::string Key = Request.Id.Key;
  auto &Waiting = Claiming[Key];
  Waiting.push_back(std::move(Request));
  if (Waiting.size() == 1)
    P.Claims.claim(
        Key, [this, Key](const runtime::result<platform::claim_owner> &Owner) { claimResolved(Key, Owner); });
}

void job_service::claimResolved(const std::string &Key, const runtime::result<platform::claim_owner> &Owner) {
  auto Waiting = std::move(Claiming.extract(Key).mapped());
  bool Mine = Owner && model::sameIncarnation(Owner.value().Authority, Self);
  if (Mine && Owner.value().Inserted && UnstartedKeys.size() < MaxUnstartedKeys)
    UnstartedKeys.insert(Key);
  for (const authority_request &Request : Waiting) {
    if (Owner)
      keyOwned(Request, Owner.value());
    else
      deliver(Request.Handle, makeAnswer(Request.Id.Text, schema::OUTCOME_REFUSED, errc::PlatformUnavailable,
                                         {}, PlatformRetryMs));
  }
}

void job_service::keyOwned(const authority_request &Request, const platform::claim_owner &Owner) {
  if (!model::sameIncarnation(Owner.Authority, Self)) {
    if (P.Membership.reachable(Owner.Authority)) {
      submit_request Forward{Request.Id.Text, *Request.Job, Request.RespondAsync};
      forward(Owner.Authority, Forward, Request.Deadline, Request.Handle);
    } else {
      unknown(Request.Id.Text, Owner.Authority, Request.Handle);
    }
    return;
  }
  if (!P.Jobs.contains(Request.Id.Text) && !UnstartedKeys.contains(Request.Id.Key)) {
    // The record of an earlier run of the key has expired.
    deliver(Request.Handle, makeAnswer(Request.Id.Text, schema::OUTCOME_UNKNOWN, errc::RecordExpired));
    return;
  }
  submitToTable(Request);
}

void job_service::submitToTable(const authority_request &Request) {
  const std::string &Id = Request.Id.Text;
  model::submission Verdict = P.Jobs.submit(Request.Id, documentHash(*Request.Job), Request.Handle);
  bool Accepted =
      Verdict.Kind == model::submission_kind::Start || Verdict.Kind == model::submission_kind::Joined;
  if (!Accepted) {
    deliver(Request.Handle, Verdict.Answer);
    return;
  }
  if (Verdict.Kind == model::submission_kind::Start) {
    UnstartedKeys.erase(Request.Id.Key);
    execute(Request);
  }
  if (Request.RespondAsync) {
    P.Jobs.removeWaiter(Request.Handle);
    deliver(Request.Handle, makeAnswer(Id, schema::OUTCOME_PENDING, errc::Ok));
  }
}

// Execution

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
  if (auto Target = overflowTarget(Request, false); Target && executeAtPeer(Request, *Target))
    return;
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
  bool NoRoom = Refusal->Reason != errc::QuotaExceeded;
  if (MayOverflow && NoRoom)
    if (auto Target = overflowTarget(Request, true); Target && executeAtPeer(Request, *Target))
      return;
  refuse(Id, *Refusal);
}

bool job_service::executeAtPeer(const authority_request &Request, const schema::incarnation &Peer) {
  const std::string &Id = Request.Id.Text;
  auto Now = P.Executor.clock().now();
  auto Exchange = P.Peers.Exchanges.open(
      Peer, Request.Deadline - Now + AnswerGrace,
      [this, Request](const schema::envelope &Message) {
        const schema::job_answer &Answer = Message.forward_answer().answer();
        // Refused there means not run there; one more try at home.
        if (Answer.outcome() == schema::OUTCOME_REFUSED && Active.contains(Request.Id.Text))
          executeHere(Request, false);
        else
          jobEnded(Request.Id.Text, Answer);
      },
      [this, Request](exchange_failure Failure) {
        const std::string &Id = Request.Id.Text;
        if (Failure == exchange_failure::NotDelivered && Active.contains(Id))
          return executeHere(Request, false);
        errc Reason = Failure == exchange_failure::TimedOut ? errc::TaskTimeout : errc::PeerUnreachable;
        jobEnded(Id, makeAnswer(Id, schema::OUTCOME_FAILED, Reason));
      });
  Active[Id] = {0, Exchange, Peer.vm()};
  ++P.Counters.JobsOverflowed;
  schema::envelope Message;
  schema::forward_job &Forward = *Message.mutable_forward_job();
  Forward.set_exchange(Exchange);
  Forward.set_id(Id);
  *Forward.mutable_job() = *Request.Job;
  Forward.set_remaining_ms(remainingMs(Request.Deadline, Now));
  Forward.set_overflow(true);
  P.Peers.send(Peer.vm(), std::move(Message));
  return true;
}

std::optional<schema::incarnation> job_service::overflowTarget(const authority_request &Request,
                                                               bool Required) {
  model::scheduler_load Load = P.Scheduler.load();
  auto Tasks = static_cast<std::uint32_t>(Request.Job->tasks_size());
  if (!Required && Load.FreeSlots >= Tasks)
    return std::nullopt;
  const schema::service_document &Service = Request.Service->document();
  if (!Required && Service.placement() == schema::messages) {
    double Predicted = P.Scheduler.predictResponseMs(*Request.Job, Service);
    if (Predicted <= runtime::toMs(Request.Deadline - P.Executor.clock().now()))
      return std::nullopt;
  }
  const schema::domain_summary *Best = nullptr;
  auto Summaries = P.Membership.summaries();
  for (const schema::domain_summary &Summary : Summaries) {
    if (!P.Membership.reachable(Summary.dispatcher()))
      continue;
    std::uint32_t Debit = Debits[Summary.domain()];
    bool Room = Summary.free_slots() >= Tasks + Debit;
    bool Earlier = Summary.backlog_ms() + OverflowMarginMs < Load.BacklogMs;
    if (!(Required || (Room && Earlier)))
      continue;
    if (Best == nullptr || Summary.backlog_ms() < Best->backlog_ms())
      Best = &Summary;
  }
  if (Best == nullptr)
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
  if (Parsed && Parsed.value().Kind == model::id_kind::CallerKey && UnstartedKeys.size() < MaxUnstartedKeys)
    UnstartedKeys.insert(Parsed.value().Key);
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

// Peers

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
                [this, Question = std::move(Question)](const runtime::result<platform::claim_owner> &Owner) {
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
