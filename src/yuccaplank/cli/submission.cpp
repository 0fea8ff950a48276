#include "yuccaplank/cli/submission.hpp"
#include "yuccaplank/wire/job_codec.hpp"
#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace yuccaplank::cli {
namespace {

// One query waits at most this long at the entry VM, so that a lost VM is noticed.
constexpr runtime::duration QueryWait = std::chrono::seconds(5);

std::string jobPath(const std::string &Id) { return "/v1/jobs/" + wire::percentEncode(Id); }

bool mayResubmit(const schema::job_answer &Answer) {
  return Answer.outcome() == schema::OUTCOME_FAILED || Answer.outcome() == schema::OUTCOME_UNKNOWN;
}

class submission_run {
public:
  submission_run(entry_session &Session, const submission_plan &Plan,
                 const std::function<void(std::string_view)> &Progress)
      : Session(Session), Plan(Plan), Progress(Progress), WaitEnd(now() + Plan.Wait) {}

  submission_result run() {
    Id = Plan.Key.empty() ? Plan.Id : "k." + Plan.Key;
    for (unsigned Round = 0;; ++Round) {
      submission_result Result = submitOnce();
      bool Again = NewIdAllowed && mayResubmit(Result.Answer) && Plan.Repeatable && Round < Plan.Resubmits;
      if (!Again)
        return Result;
      Progress(fmt::format("job {} is {} ({}); submitting it again under a new id.", Id,
                           Result.Status == exit_status::Failed ? "failed" : "unknown",
                           Result.Answer.reason()));
      Session.timing().pause(std::chrono::milliseconds(Result.Answer.retry_after_ms()));
      Id.clear();
    }
  }

private:
  [[nodiscard]] runtime::time_point now() const { return Session.timing().clock().now(); }

  // Submits until the job has an outcome or refusals may not be waited for.
  submission_result submitOnce() {
    AttemptLost = false;
    for (;;) {
      schema::job_answer Refusal;
      if (Id.empty() && !takeId(Refusal)) {
        if (waitAfter(Refusal))
          continue;
        return {statusOf(Refusal.outcome()), Refusal, false};
      }
      submission_result Result = put();
      bool OwnId = Plan.Key.empty() && Plan.Id.empty();
      // The VM that issued the id has gone before it got the only submission under it.
      if (OwnId && !AttemptLost && wire::neverDelivered(Result.Answer) && now() < WaitEnd) {
        Id.clear();
        Session.advance();
        continue;
      }
      bool Refused = Result.Answer.outcome() == schema::OUTCOME_REFUSED;
      if (!Refused || !waitAfter(Result.Answer))
        return Result;
      if (OwnId && !AttemptLost && Result.Answer.reason() == errcName(runtime::errc::Draining))
        Id.clear();
    }
  }

  // Ids that are never used cost nothing, so a lost request is simply repeated. An id request that has no
  // reply at all leaves the job not run.
  bool takeId(schema::job_answer &Refusal) {
    entry_reply Reply = Session.send({"POST", "/v1/ids?count=1", {}, "", Plan.Timeout});
    if (Reply.Answered && Reply.Status == 200) {
      auto Document = nlohmann::json::parse(Reply.Body, nullptr, false);
      if (Document.is_object() && Document.contains("ids") && Document["ids"].is_array() &&
          !Document["ids"].empty() && Document["ids"][0].is_string()) {
        Id = Document["ids"][0].get<std::string>();
        return true;
      }
    }
    Refusal = answerOf(Reply, "").Answer;
    Refusal.set_outcome(schema::OUTCOME_REFUSED);
    return false;
  }

  submission_result put() {
    entry_request Request{
        "PUT", jobPath(Id), {{"content-type", "application/json"}}, Plan.Document, Plan.Timeout};
    if (Plan.Async)
      Request.Headers.push_back({"prefer", "respond-async"});
    runtime::time_point End = now() + Plan.Timeout;
    entry_reply Reply = Session.send(Request);
    AttemptLost = AttemptLost || Reply.MaybeWritten;
    // A later round of attempts that wrote nothing does not undo an earlier one that may have.
    Reply.MaybeWritten = AttemptLost;
    job_reply Received = answerOf(Reply, Id);
    if (Received.Answer.outcome() == schema::OUTCOME_PENDING && !Plan.Async) {
      runtime::duration Left = std::max(End - now(), runtime::duration(1));
      Received = queryJob(Session, Id, Left, Left);
    }
    NewIdAllowed = Received.Received && Plan.Key.empty();
    const schema::job_answer &Answer = Received.Answer;
    bool Accepted = Plan.Async && Answer.outcome() == schema::OUTCOME_PENDING;
    exit_status Status = Accepted ? exit_status::Done : statusOf(Answer.outcome());
    if (Status == exit_status::Refused && AttemptLost)
      Status = exit_status::Unknown;
    return {Status, Answer, AttemptLost};
  }

  bool waitAfter(const schema::job_answer &Refusal) {
    runtime::duration Delay = std::chrono::milliseconds(Refusal.retry_after_ms());
    if (Refusal.retry_after_ms() == 0 || now() + Delay > WaitEnd)
      return false;
    Progress(
        fmt::format("refused ({}); submitting again in {} ms.", Refusal.reason(), Refusal.retry_after_ms()));
    Session.timing().pause(Delay);
    Session.advance();
    return true;
  }

  entry_session &Session;
  const submission_plan &Plan;
  const std::function<void(std::string_view)> &Progress;
  runtime::time_point WaitEnd;
  std::string Id;
  bool AttemptLost = false;
  bool NewIdAllowed = false;
};

} // namespace

submission_result submitJob(entry_session &Session, const submission_plan &Plan,
                            const std::function<void(std::string_view)> &Progress) {
  return submission_run(Session, Plan, Progress).run();
}

job_reply queryJob(entry_session &Session, const std::string &Id, runtime::duration Wait,
                   runtime::duration Timeout) {
  const runtime::clock &Clock = Session.timing().clock();
  runtime::time_point WaitEnd = Clock.now() + Wait;
  for (;;) {
    runtime::duration Left = std::max(WaitEnd - Clock.now(), runtime::duration::zero());
    auto WaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(Left, QueryWait)).count();
    std::string Path = jobPath(Id) + (WaitMs > 0 ? fmt::format("?wait_ms={}", WaitMs) : "");
    entry_reply Reply = Session.send({"GET", Path, {}, "", std::max(Left, Timeout)});
    // A query does not tell whether the job ran unless it is answered.
    Reply.MaybeWritten = true;
    job_reply Received = answerOf(Reply, Id);
    if (Received.Answer.outcome() != schema::OUTCOME_PENDING || Left <= std::chrono::milliseconds(1))
      return Received;
  }
}

job_reply answerOf(const entry_reply &Reply, const std::string &Id) {
  if (Reply.Answered) {
    runtime::result<schema::job_answer> Answer = wire::readAnswer(Reply.Body);
    if (!Answer)
      return {wire::makeAnswer(Id, schema::OUTCOME_UNKNOWN, runtime::errc::MalformedDocument), false};
    if (Answer.value().id().empty())
      Answer.value().set_id(Id);
    return {Answer.value(), true};
  }
  if (!Reply.MaybeWritten)
    return {wire::makeAnswer(Id, schema::OUTCOME_REFUSED, runtime::errc::ConnectFailed), false};
  bool TimedOut = Reply.Error == make_error_code(runtime::errc::RequestTimeout);
  runtime::errc Reason = TimedOut ? runtime::errc::RequestTimeout : runtime::errc::ConnectionLost;
  return {wire::makeAnswer(Id, schema::OUTCOME_UNKNOWN, Reason), false};
}

} // namespace yuccaplank::cli
