// Commands "submit", "state", "cancel" and "waiting".
#include "job.pb.h"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/submission.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <optional>

namespace yuccaplank::cli {
namespace {

using platform::caller_answer;
using platform::caller_outcome;
using platform::queue_address;

constexpr double ThousandthsPerCore = 1000;

// Names of the outcomes, indexed by caller_outcome.
constexpr auto OutcomeNames = std::to_array<std::string_view>(
    {"completed", "failed", "cancelled", "pending", "refused", "malformed", "not_found", "unknown"});

std::string_view outcomeName(caller_outcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

entry_session makeSession(const command_context &Context) {
  return {Context.Requester, Context.Invocation.Global.Entries};
}

void printAnswer(const command_context &Context, const std::string &Id, const caller_answer &Answer) {
  if (!Context.Invocation.Global.Json) {
    Context.Console.Out(fmt::format("{} {}\n", Id, outcomeName(Answer.Outcome)));
    return;
  }
  nlohmann::ordered_json Document{{"id", Id}, {"outcome", outcomeName(Answer.Outcome)}};
  if (Answer.RetryAfterS > 0)
    Document["retry_after_s"] = Answer.RetryAfterS;
  Context.Console.Out(Document.dump() + "\n");
}

// Parses the address of a queue, "HOST/PATH".
std::optional<queue_address> parseQueue(const std::string &Text) {
  std::size_t Slash = Text.find('/');
  if (Slash == std::string::npos || Slash == 0)
    return std::nullopt;
  return queue_address{Text.substr(0, Slash), Text.substr(Slash)};
}

// Reads a job document. Prints an error and returns nothing when the document is not valid.
std::optional<schema::job_document> readJobFile(const command_context &Context, const std::string &File) {
  auto Text = Context.Console.ReadFile(File);
  if (!Text) {
    Context.Console.printError(fmt::format("cannot read {}.", File));
    return std::nullopt;
  }
  schema::job_document Job;
  auto Issues = wire::readDocument(Text.value(), Job);
  auto Require = [&](bool Holds, const char *Path, const char *Expected) {
    if (!Holds)
      Issues.push_back({runtime::errc::MissingField, Path, 1, Expected});
  };
  if (Issues.empty()) {
    Require(!Job.host().empty(), "host", "host of the queue");
    Require(Job.path().starts_with('/'), "path", "path of the queue, with a leading '/'");
    Require(Job.tasks() > 0, "tasks", "at least 1");
  }
  if (Issues.empty())
    return Job;
  Context.Console.Err(wire::formatIssues(Issues));
  return std::nullopt;
}

submission_plan makePlan(const schema::job_document &Document, dispatch::job_id Id) {
  submission_plan Plan;
  Plan.Queue = {Document.host(), Document.path()};
  Plan.Job.Id = Id;
  Plan.Job.Specification = Document.specification();
  Plan.Job.TaskCount = Document.tasks();
  Plan.Job.TaskSize.set_cpu(static_cast<std::uint32_t>(std::lround(Document.cores() * ThousandthsPerCore)));
  Plan.Job.TaskSize.set_memory_mb(Document.memory_mb());
  Plan.Job.TaskSize.set_accelerators(Document.accelerators());
  Plan.Job.EstimateMs = Document.declared_ms();
  Plan.Job.DeadlineMs = Document.deadline_ms();
  return Plan;
}

// Identifies the job that a command refers to.
struct job_reference {
  dispatch::job_id Id;
  queue_address Queue;
};

std::optional<job_reference> readJobReference(const command_context &Context) {
  auto Id = dispatch::parseJobId(Context.Invocation.stringOption("ID"));
  auto Queue = parseQueue(Context.Invocation.stringOption("queue"));
  if (!Id)
    Context.Console.printError("ID must be 16 hexadecimal digits.");
  if (!Queue)
    Context.Console.printError("--queue must be HOST/PATH.");
  if (!Id || !Queue)
    return std::nullopt;
  return job_reference{*Id, *Queue};
}

// Sends the call that MakeCall returns for the given job, and prints the answer.
exit_status runJobQuery(command_context &Context,
                        wire::http_call (*MakeCall)(const std::string &, const queue_address &,
                                                    dispatch::job_id)) {
  auto Job = readJobReference(Context);
  if (!Job)
    return exit_status::Usage;
  entry_session Session = makeSession(Context);
  auto Result =
      Session.exchangeWithAny([&](const std::string &Entry) { return MakeCall(Entry, Job->Queue, Job->Id); },
                              Context.Invocation.Global.Timeout);
  caller_answer Answer = platform::decodeCallerAnswer(Result);
  printAnswer(Context, Context.Invocation.stringOption("ID"), Answer);
  if (Answer.Outcome == caller_outcome::Unanswered) {
    Context.Console.printError(fmt::format("no answer: {}.", Answer.Detail));
    return exit_status::Unknown;
  }
  return Answer.Outcome == caller_outcome::NotFound ? exit_status::OtherError : exit_status::Done;
}

} // namespace

exit_status runSubmit(command_context &Context) {
  const invocation &Invocation = Context.Invocation;
  std::string Id = Invocation.stringOption("id");
  if (Id.empty())
    Id = Context.MakeJobId();
  auto JobId = dispatch::parseJobId(Id);
  if (!JobId) {
    Context.Console.printError("--id must be 16 hexadecimal digits.");
    return exit_status::Usage;
  }
  auto Document = readJobFile(Context, Invocation.stringOption("FILE"));
  if (!Document)
    return exit_status::Refused;
  submission_plan Plan = makePlan(*Document, *JobId);
  Plan.Timeout = Invocation.Global.Timeout;
  Plan.RefusalRetryTimeout = runtime::fromMs(Invocation.Options["wait"].as<double>() * 1000);
  entry_session Session = makeSession(Context);
  submission_result Result =
      submitJob(Session, Plan, [&](std::string_view Message) { Context.Console.printProgress(Message); });
  printAnswer(Context, Id, Result.Answer);
  if (Result.Status == exit_status::Unknown)
    Context.Console.printError(fmt::format(
        "an attempt received no answer; the job may have run. Repeat it with 'submit --id {}'.", Id));
  else if (Result.Status != exit_status::Done)
    Context.Console.printError(fmt::format("job {} was not completed: {}.", Id, Result.Answer.Detail));
  return Result.Status;
}

exit_status runState(command_context &Context) { return runJobQuery(Context, platform::makeStateCall); }

exit_status runCancel(command_context &Context) { return runJobQuery(Context, platform::makeCancelCall); }

exit_status runWaiting(command_context &Context) {
  auto Queue = parseQueue(Context.Invocation.stringOption("QUEUE"));
  if (!Queue) {
    Context.Console.printError("QUEUE must be HOST/PATH.");
    return exit_status::Usage;
  }
  entry_session Session = makeSession(Context);
  auto Result = Session.exchangeWithAny(
      [&](const std::string &Entry) { return platform::makeWaitingCountCall(Entry, *Queue); },
      Context.Invocation.Global.Timeout);
  auto Waiting = platform::decodeWaitingCount(Result);
  if (!Waiting) {
    Context.Console.printError(
        Result.Error ? fmt::format("no answer: {}.", Result.Error.message())
                     : fmt::format("no such queue, or no readable answer: HTTP status {}.", Result.Status));
    return exit_status::OtherError;
  }
  Context.Console.Out(Context.Invocation.Global.Json ? nlohmann::json{{"waiting", *Waiting}}.dump() + "\n"
                                                     : fmt::format("{} jobs wait\n", *Waiting));
  return exit_status::Done;
}

} // namespace yuccaplank::cli
