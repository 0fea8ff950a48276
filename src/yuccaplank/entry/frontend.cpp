#include "frontend.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>

namespace yuccaplank::entry {
namespace {

using dispatch::job_answer;
using dispatch::job_id;
using dispatch::job_outcome;
using dispatch::queue_settings;
using platform::caller_job_state;
using runtime::log;
using runtime::log_level;
using wire::http_reply;
using wire::http_request;
using wire::request_token;

constexpr std::uint32_t MaxTasks = 10'000;
// Retry delay sent with a refusal that has no delay of its own, for example before there is a configuration.
constexpr runtime::duration DefaultRetryAfter = std::chrono::seconds(1);

struct submitted_job {
  // Arrival times of the callers' requests.
  std::map<request_token, runtime::time_point> Callers;
  std::uint64_t Tasks = 0;
};

struct answer_expiry {
  job_id Job;
  runtime::time_point ExpiresAt;
};

// Returns the name of the first feature that a well-formed job needs and that is not supported; null if there
// is none.
const char *findUnsupportedFeature(const platform::job_document &Job, const queue_settings &Queue) {
  if (!Job.BestEffort)
    return "job_to_be_kept";
  if (Job.Repetitions > 0)
    return "repetitions";
  if (Job.Steps.size() != 1)
    return "several_steps";
  if (Queue.NeedsAdvice)
    return "advice";
  const platform::step_document &Step = Job.Steps.front();
  if (Step.Gang)
    return "gang";
  if (Step.LongRunning)
    return "long_running";
  if (Step.FillsUnusedCapacity)
    return "fills_unused_capacity";
  if (!Step.RequiredLabel.empty())
    return "required_label";
  return Step.MaxPerServer > 0 ? "max_per_server" : nullptr;
}

// Returns the reason why a decoded job is malformed; null if it is well-formed.
const char *findMalformation(const platform::job_document &Job, const frontend_options &Options) {
  if (Job.Specification.size() > Options.MaxSpecificationBytes)
    return "specification_too_long";
  if (Job.Steps.empty())
    return "no_steps";
  for (const platform::step_document &Step : Job.Steps)
    if (Step.TaskCount == 0 || Step.TaskCount > MaxTasks)
      return "task_count";
  return nullptr;
}

http_reply makeReply(int Status, std::string Body) {
  http_reply Reply;
  Reply.Status = Status;
  Reply.Body = std::move(Body);
  return Reply;
}

http_reply makeRefusal(int Status, std::uint32_t RetryAfterMs) {
  http_reply Reply = makeReply(Status, "{}");
  std::uint32_t Seconds = std::max<std::uint32_t>(1, (RetryAfterMs + 999) / 1000);
  Reply.Headers.push_back({"retry-after", std::to_string(Seconds)});
  return Reply;
}

// A caller that receives 502 or 504 sends the job again; by then none of its runs is left.
http_reply makeAnswerReply(const job_answer &Answer) {
  switch (Answer.Outcome) {
  case job_outcome::Completed:
    return makeReply(200, platform::encodeState(caller_job_state::Completed));
  case job_outcome::Failed:
    return makeReply(200, platform::encodeState(caller_job_state::Failed));
  case job_outcome::Cancelled:
    return makeReply(200, platform::encodeState(caller_job_state::Cancelled));
  case job_outcome::TimedOut:
    return makeReply(504, "{}");
  case job_outcome::Refused:
    break;
  }
  return makeRefusal(503, Answer.RetryAfterMs);
}

class frontend_impl final : public frontend {
public:
  frontend_impl(runtime::executor &Executor, dispatch::entry_vm &Vm, frontend_handlers Handlers,
                frontend_options Options)
      : Executor(Executor), Vm(Vm), Handlers(std::move(Handlers)), Options(Options) {}

  void onRequest(http_request Request) override {
    const dispatch::configuration *Configuration = Vm.currentConfiguration();
    if (!Configuration) {
      refuse(Request, 503, "no_configuration");
      return;
    }
    std::string_view Host = Request.Host;
    Host = Host.substr(0, Host.find(':'));
    const queue_settings *Queue = Configuration->findQueue(Host, Request.Path);
    if (!Queue) {
      refuse(Request, 404, "unknown_queue");
      return;
    }
    std::string_view Id = std::string_view(Request.Path).substr(Queue->PathPrefix.size());
    if (Id.empty() && Request.Method == "GET") {
      Handlers.Reply(Request.Token,
                     makeReply(200, platform::encodeWaitingCount(Vm.waitingJobs(Queue->Name))));
      return;
    }
    auto Job = dispatch::parseJobId(Id);
    if (!Job) {
      refuse(Request, 404, "malformed_id");
      return;
    }
    handleJobRequest(Request, *Queue, *Job);
  }

  void onClosed(request_token Token) override {
    auto Found = JobsByCaller.find(Token);
    if (Found == JobsByCaller.end())
      return;
    job_id Job = Found->second;
    JobsByCaller.erase(Found);
    submitted_job &Submitted = Jobs.at(Job);
    Submitted.Callers.erase(Token);
    if (!Submitted.Callers.empty())
      return;
    // The job is forgotten first, since the cancel may deliver an answer at once.
    TasksInProgress -= Submitted.Tasks;
    Jobs.erase(Job);
    Vm.jobs().cancel(Job, dispatch::end_reason::CallerLeft);
  }

  void answer(job_id Job, const job_answer &Answer) override {
    auto Found = Jobs.find(Job);
    if (Found == Jobs.end())
      return;
    submitted_job Submitted = std::move(Found->second);
    TasksInProgress -= Submitted.Tasks;
    Jobs.erase(Found);
    for (const auto &[Token, Arrived] : Submitted.Callers) {
      JobsByCaller.erase(Token);
      if (Handlers.OnAnswered)
        Handlers.OnAnswered(Answer, Executor.clock().now() - Arrived);
      Handlers.Reply(Token, makeAnswerReply(Answer));
    }
    retainAnswer(Job, Answer);
  }

  [[nodiscard]] std::size_t pendingCallers() const override { return JobsByCaller.size(); }
  [[nodiscard]] std::size_t pendingJobs() const override { return Jobs.size(); }
  [[nodiscard]] std::uint64_t jobsReadLate() const override { return JobsReadLate; }

private:
  void handleJobRequest(const http_request &Request, const queue_settings &Queue, job_id Job) {
    if (Request.Method == "POST")
      submit(Request, Queue, Job);
    else if (Request.Method == "GET")
      replyWithState(Request, Job);
    else if (Request.Method == "DELETE")
      cancel(Request, Job);
    else
      refuse(Request, 405, "method");
  }

  void submit(const http_request &Request, const queue_settings &Queue, job_id Id) {
    if (Request.Body.size() > Vm.currentConfiguration()->Limits.MaxBodyBytes) {
      refuse(Request, 413, "body_too_large");
      return;
    }
    auto Decoded = platform::decodeJob(Request.Body);
    const char *Malformed = Decoded ? findMalformation(Decoded.value(), Options) : "not_a_job";
    if (Malformed) {
      refuse(Request, 400, Malformed);
      return;
    }
    if (const char *Unsupported = findUnsupportedFeature(Decoded.value(), Queue)) {
      refuse(Request, 503, Unsupported);
      return;
    }
    if (auto Found = RetainedAnswers.find(Id); Found != RetainedAnswers.end()) {
      log(log_level::Info, "answer_repeated",
          {{"job", dispatch::formatJob(Id)},
           {"outcome", std::string(dispatch::jobOutcomeName(Found->second.Outcome))}});
      Handlers.Reply(Request.Token, makeAnswerReply(Found->second));
      return;
    }
    // A caller of a job in progress waits for that job's answer: "not run" would be wrong.
    if (Request.MaxUnreadTime > Options.MaxUnreadTime && !Jobs.contains(Id)) {
      ++JobsReadLate;
      refuse(Request, 503, "read_late");
      return;
    }
    if (!Jobs.contains(Id) && !Vm.understoodByAll(Id)) {
      refuse(Request, 503, "id_with_capitals_during_upgrade", dispatch::UpgradeRetryAfter);
      return;
    }
    std::uint64_t Tasks = Decoded.value().Steps.front().TaskCount;
    if (TasksInProgress > 0 && TasksInProgress + Tasks > Options.MaxTasksInProgress && !Jobs.contains(Id)) {
      refuse(Request, 503, "too_many_tasks_in_progress");
      return;
    }
    auto [Job, Added] = Jobs.try_emplace(Id);
    if (Added) {
      Job->second.Tasks = Tasks;
      TasksInProgress += Tasks;
    }
    Job->second.Callers.emplace(Request.Token, Executor.clock().now());
    JobsByCaller[Request.Token] = Id;
    Vm.jobs().submit(Queue, toJobRequest(Decoded.value(), Id, parseDeadline(Request)));
  }

  static dispatch::job_request toJobRequest(platform::job_document &Document, job_id Id,
                                            runtime::duration Deadline) {
    dispatch::job_request Job;
    platform::step_document &Step = Document.Steps.front();
    Job.Job = Id;
    Job.Specification = std::move(Document.Specification);
    Job.TaskCount = Step.TaskCount;
    Job.TaskSize = Step.TaskSize;
    Job.EstimateMs = Step.EstimateMs;
    Job.Rack = std::move(Step.Rack);
    Job.SameRack = Step.SameRack;
    Job.Deadline = Deadline;
    return Job;
  }

  [[nodiscard]] runtime::duration parseDeadline(const http_request &Request) const {
    std::string_view Text = Request.header(platform::DeadlineHeader);
    std::uint32_t Milliseconds = 0;
    auto [Stop, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
    if (Error != std::errc() || Stop != Text.data() + Text.size() || Milliseconds == 0)
      return Options.DefaultDeadline;
    return std::chrono::milliseconds(Milliseconds);
  }

  void replyWithState(const http_request &Request, job_id Job) {
    if (Vm.jobs().contains(Job)) {
      bool Queued = Vm.jobs().state(Job) == dispatch::job_state::Queued;
      Handlers.Reply(Request.Token,
                     makeReply(200, platform::encodeState(Queued ? caller_job_state::Queued
                                                                 : caller_job_state::Running)));
      return;
    }
    auto Found = RetainedAnswers.find(Job);
    if (Found == RetainedAnswers.end() || Found->second.Outcome == job_outcome::Cancelled)
      Handlers.Reply(Request.Token, makeReply(410, "{}"));
    else
      Handlers.Reply(Request.Token, makeAnswerReply(Found->second));
  }

  void cancel(const http_request &Request, job_id Job) {
    Vm.cancel(Job, [this, Token = Request.Token, Job](bool Found) {
      if (Found)
        retainAnswer(Job, {job_outcome::Cancelled, dispatch::end_reason::Cancelled, 0, {}, false});
      log(log_level::Info, "cancel_answered", {{"job", dispatch::formatJob(Job)}, {"found", Found}});
      Handlers.Reply(Token, makeReply(Found ? 200 : 410,
                                      Found ? platform::encodeState(caller_job_state::Cancelled) : "{}"));
    });
  }

  void refuse(const http_request &Request, int Status, const char *Reason,
              runtime::duration RetryAfter = DefaultRetryAfter) {
    log(log_level::Info, "request_refused",
        {{"path", Request.Path},
         {"method", Request.Method},
         {"status", std::int64_t{Status}},
         {"reason", std::string(Reason)},
         {"configuration",
          static_cast<std::int64_t>(Vm.currentConfiguration() ? Vm.currentConfiguration()->Version : 0)}});
    Handlers.Reply(Request.Token,
                   Status == 503 ? makeRefusal(Status, static_cast<std::uint32_t>(runtime::toMs(RetryAfter)))
                                 : makeReply(Status, Status == 400 ? platform::encodeError(Reason) : "{}"));
  }

  // Whether the job must not run again. A caller that has left may send its job again, one that has cancelled
  // it may not.
  static bool isFinal(const job_answer &Answer) {
    return Answer.Outcome == job_outcome::Completed || Answer.Outcome == job_outcome::Failed ||
           (Answer.Outcome == job_outcome::Cancelled && Answer.Reason == dispatch::end_reason::Cancelled);
  }

  // Keeps final answers: a request for the job that arrives again receives them.
  void retainAnswer(job_id Job, const job_answer &Answer) {
    runtime::time_point Now = Executor.clock().now();
    while (!AnswerExpiries.empty() && AnswerExpiries.front().ExpiresAt <= Now) {
      RetainedAnswers.erase(AnswerExpiries.front().Job);
      AnswerExpiries.pop_front();
    }
    // A job that was cancelled here is retained twice, by its answer and by that of the cancel.
    if (isFinal(Answer) && RetainedAnswers.insert_or_assign(Job, Answer).second)
      AnswerExpiries.push_back({Job, Now + Options.AnswerRetention});
  }

  runtime::executor &Executor;
  dispatch::entry_vm &Vm;
  frontend_handlers Handlers;
  frontend_options Options;
  std::map<job_id, submitted_job> Jobs;
  std::map<request_token, job_id> JobsByCaller;
  std::map<job_id, job_answer> RetainedAnswers;
  std::deque<answer_expiry> AnswerExpiries;
  std::uint64_t JobsReadLate = 0;
  std::uint64_t TasksInProgress = 0;
};

} // namespace

std::unique_ptr<frontend> makeFrontend(runtime::executor &Executor, dispatch::entry_vm &Vm,
                                       frontend_handlers Handlers, frontend_options Options) {
  return std::make_unique<frontend_impl>(Executor, Vm, std::move(Handlers), Options);
}

} // namespace yuccaplank::entry
