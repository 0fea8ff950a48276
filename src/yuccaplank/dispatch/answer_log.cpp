#include "answer_log.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <array>
#include <cstddef>
#include <set>

namespace yuccaplank::dispatch {
namespace {

// Jobs that complete in time, complete late or fail have log events of their own: the limit on log lines
// counts by event, so frequent outcomes do not suppress rare ones.
const char *logEventName(const job_answer &Answer) {
  if (Answer.Outcome != job_outcome::Completed)
    return "job_not_completed";
  return Answer.WithinObjective ? "job_completed" : "job_late";
}

std::string joinServerNames(const coordinated_job &Job) {
  std::set<std::string> Servers;
  for (const task_state &Task : Job.Tasks)
    if (!Task.Server.empty())
      Servers.insert(Task.Server);
  std::string Text;
  for (const std::string &Server : Servers)
    Text += (Text.empty() ? "" : ",") + Server;
  return Text;
}

} // namespace

void logAnswer(const coordinated_job &Job, const job_answer &Answer, const std::string &Placer,
               runtime::time_point Now) {
  double WaitedMs = runtime::toMs(Job.FirstStartOrderedAt.value_or(Now) - Job.SubmittedAt);
  runtime::log(runtime::log_level::Info, logEventName(Answer),
               {{"job", formatJob(Job.Request.Job)},
                {"queue", Job.Queue.Name},
                {"outcome", std::string(jobOutcomeName(Answer.Outcome))},
                {"reason", std::string(endReasonName(Answer.Reason))},
                {"tasks", static_cast<std::int64_t>(Job.Tasks.size())},
                {"done", std::int64_t{Job.DoneTasks}},
                {"runs", std::int64_t{Job.PossiblyStartedRuns}},
                {"servers", joinServerNames(Job)},
                {"placer", Placer},
                {"waited_ms", WaitedMs},
                {"estimate_ms", std::int64_t{Job.Request.EstimateMs}},
                {"took_ms", runtime::toMs(Now - Job.SubmittedAt)},
                {"objective_ms", runtime::toMs(Job.Objective)}});
}

void countOutcome(job_outcome Outcome, coordinator_counters &Counters) {
  // Indexed by job_outcome.
  constexpr auto Members = std::to_array<std::uint64_t coordinator_counters::*>(
      {&coordinator_counters::Completed, &coordinator_counters::Failed, &coordinator_counters::Refused,
       &coordinator_counters::TimedOut, &coordinator_counters::Cancelled});
  ++(Counters.*Members.at(static_cast<std::size_t>(Outcome)));
}

} // namespace yuccaplank::dispatch
