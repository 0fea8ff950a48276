#include "job_service.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <xxhash.h>

#include <algorithm>

namespace yuccaplank::node {
namespace {

using runtime::errc;
using wire::makeAnswer;

constexpr std::uint32_t DefaultDeadlineMs = 10'000;
constexpr std::uint32_t MaxDeadlineMs = 600'000;
constexpr std::uint32_t PlatformRetryMs = 1000;
constexpr std::uint32_t DrainRetryMs = 200;

// Keys whose claim succeeded without a start; dropping one only makes a later submission "unknown".
constexpr std::size_t MaxUnstartedKeys = 100'000;

std::uint64_t documentHash(const schema::job &Job) {
  std::string Bytes = Job.SerializeAsString();
  return XXH64(Bytes.data(), Bytes.size(), 0);
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
  schema::forward_job Forward;
  Forward.set_id(Request.Id);
  *Forward.mutable_job() = Request.Job;
  Forward.set_respond_async(Request.RespondAsync);
  sendForward(
      Peer, std::move(Forward), Deadline,
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
        Key, [this, Key](const runtime::result<storage::claim_owner> &Owner) { claimResolved(Key, Owner); });
}

void job_service::claimResolved(const std::string &Key, const runtime::result<storage::claim_owner> &Owner) {
  auto Waiting = std::move(Claiming.extract(Key).mapped());
  bool Mine = Owner && model::sameIncarnation(Owner.value().Authority, Self);
  if (Mine && Owner.value().Inserted)
    rememberUnstarted(Key);
  for (const authority_request &Request : Waiting) {
    if (Owner)
      keyOwned(Request, Owner.value());
    else
      deliver(Request.Handle, makeAnswer(Request.Id.Text, schema::OUTCOME_REFUSED, errc::PlatformUnavailable,
                                         {}, PlatformRetryMs));
  }
}

void job_service::rememberUnstarted(const std::string &Key) {
  if (UnstartedKeys.size() < MaxUnstartedKeys)
    UnstartedKeys.insert(Key);
}

void job_service::keyOwned(const authority_request &Request, const storage::claim_owner &Owner) {
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

} // namespace yuccaplank::node
