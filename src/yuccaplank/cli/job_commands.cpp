// submit, get, cancel, ids.
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/output.hpp"
#include "yuccaplank/cli/submission.hpp"
#include "yuccaplank/wire/job_codec.hpp"
#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace yuccaplank::cli {
namespace {

runtime::duration seconds(const command_context &Context, const std::string &Name) {
  return runtime::fromMs(Context.Invocation.Options[Name].as<double>() * 1000);
}

entry_session makeSession(const command_context &Context) {
  return {Context.Requester, Context.Invocation.Global.Entries};
}

void printAnswer(const command_context &Context, const schema::job_answer &Answer) {
  if (Context.Invocation.Global.Json)
    Context.Console.Out(wire::writeAnswer(Answer) + "\n");
  else
    Context.Console.Out(formatAnswer(Answer));
}

void explain(const command_context &Context, const schema::job_answer &Answer) {
  if (std::string Sentence = explainAnswer(Answer); !Sentence.empty())
    Context.Console.error(Sentence);
}

// A document that no entry VM would accept is refused without asking one.
exit_status refuseDocument(const command_context &Context, const std::vector<wire::document_issue> &Issues) {
  Context.Console.Err(wire::formatIssues(Issues));
  const wire::document_issue &First = Issues.front();
  schema::job_answer Answer = wire::makeAnswer("", schema::OUTCOME_REFUSED, First.Code, First.Path);
  printAnswer(Context, Answer);
  explain(Context, Answer);
  return exit_status::Refused;
}

} // namespace

exit_status runSubmit(command_context &Context) {
  const invocation &Invocation = Context.Invocation;
  auto Text = Context.Console.ReadFile(Invocation.text("FILE"));
  if (!Text) {
    Context.Console.error(fmt::format("cannot read {}.", Invocation.text("FILE")));
    return exit_status::OtherError;
  }
  schema::job Job;
  if (auto Issues = wire::readJob(Text.value(), Job); !Issues.empty())
    return refuseDocument(Context, Issues);
  submission_plan Plan;
  // Comments are for people; VMs get plain JSON.
  Plan.Document = wire::writeJob(Job);
  Plan.Repeatable = Job.repeatable();
  Plan.Key = Invocation.text("key");
  Plan.Id = Invocation.text("id");
  Plan.Async = Invocation.flag("async");
  Plan.Resubmits = Invocation.Options["resubmit"].as<unsigned>();
  Plan.Wait = seconds(Context, "wait");
  Plan.Timeout = Invocation.Global.Timeout;
  entry_session Session = makeSession(Context);
  submission_result Result =
      submitJob(Session, Plan, [&](std::string_view Message) { Context.Console.progress(Message); });
  printAnswer(Context, Result.Answer);
  if (Result.Status != exit_status::Done)
    explain(Context, Result.Answer);
  bool Open = Result.Status == exit_status::Unknown && Result.AttemptLost;
  if (Open && !Result.Answer.id().empty() && Plan.Key.empty())
    Context.Console.error(
        fmt::format("an attempt was lost; ask again with 'submit --id {}'.", Result.Answer.id()));
  return Result.Status;
}

exit_status runGet(command_context &Context) {
  entry_session Session = makeSession(Context);
  schema::job_answer Answer = queryJob(Session, Context.Invocation.text("ID"), seconds(Context, "wait"),
                                       Context.Invocation.Global.Timeout)
                                  .Answer;
  printAnswer(Context, Answer);
  explain(Context, Answer);
  return statusOf(Answer.outcome());
}

exit_status runCancel(command_context &Context) {
  entry_session Session = makeSession(Context);
  std::string Id = Context.Invocation.text("ID");
  entry_reply Reply = Session.send(
      {"DELETE", "/v1/jobs/" + wire::percentEncode(Id), {}, "", Context.Invocation.Global.Timeout});
  Reply.MaybeWritten = true;
  schema::job_answer Answer = answerOf(Reply, Id).Answer;
  // A job of which no task had started ends as refused.
  bool Ended = Answer.outcome() == schema::OUTCOME_FAILED || Answer.outcome() == schema::OUTCOME_REFUSED;
  bool Cancelled = Ended && Answer.reason() == errcName(runtime::errc::Cancelled);
  if (Context.Invocation.Global.Json)
    Context.Console.Out(wire::writeAnswer(Answer) + "\n");
  if (Cancelled || (Reply.Answered && Answer.outcome() == schema::OUTCOME_PENDING)) {
    if (!Context.Invocation.Global.Json)
      Context.Console.Out(fmt::format("{} is cancelled\n", Id));
    return exit_status::Done;
  }
  if (Answer.outcome() == schema::OUTCOME_DONE) {
    Context.Console.error(fmt::format("job {} was done before it could be cancelled.", Id));
    return exit_status::OtherError;
  }
  Context.Console.error(explainAnswer(Answer));
  return statusOf(Answer.outcome());
}

exit_status runIds(command_context &Context) {
  entry_session Session = makeSession(Context);
  unsigned Count = Context.Invocation.Options["count"].as<unsigned>();
  entry_reply Reply = Session.send(
      {"POST", fmt::format("/v1/ids?count={}", Count), {}, "", Context.Invocation.Global.Timeout});
  auto Document = nlohmann::json::parse(Reply.Body, nullptr, false);
  if (!Reply.Answered || Reply.Status != 200 || !Document.is_object() || !Document["ids"].is_array()) {
    schema::job_answer Answer = answerOf(Reply, "").Answer;
    Context.Console.error(fmt::format("no ids were issued: {}.", Answer.reason()));
    return Answer.outcome() == schema::OUTCOME_REFUSED ? exit_status::Refused : exit_status::OtherError;
  }
  if (Context.Invocation.Global.Json) {
    Context.Console.Out(Document.dump() + "\n");
    return exit_status::Done;
  }
  for (const auto &Id : Document["ids"])
    if (Id.is_string())
      Context.Console.Out(Id.get<std::string>() + "\n");
  return exit_status::Done;
}

} // namespace yuccaplank::cli
