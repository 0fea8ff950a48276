#include "yuccaplank/wire/start_certainty.hpp"

#include <array>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

constexpr int OkStatus = 200;
constexpr int RefusedStatus = 503;

struct attempt {
  const http_call_result &Result;
  std::string_view TaskId;
};

bool nothingWritten(const attempt &Attempt) {
  return Attempt.Result.Error && Attempt.Result.Stage == transfer_stage::NothingWritten;
}
bool timedOut(const attempt &Attempt) { return Attempt.Result.Error == errc::RequestTimeout; }
bool lost(const attempt &Attempt) { return static_cast<bool>(Attempt.Result.Error); }
// A refusal that names another task refuses that one; it says nothing about this one.
bool refused(const attempt &Attempt) {
  std::string_view Echo = Attempt.Result.header("task-id");
  return Attempt.Result.Status == RefusedStatus && Attempt.Result.header("task-not-started") == "1" &&
         (Echo.empty() || Echo == Attempt.TaskId);
}
bool failed(const attempt &Attempt) { return Attempt.Result.Status != OkStatus; }
bool crossed(const attempt &Attempt) { return Attempt.Result.header("task-id") != Attempt.TaskId; }
bool always(const attempt &) { return true; }

struct rule {
  bool (*Applies)(const attempt &);
  attempt_verdict Verdict;
  errc Reason;
};

// The first rule that applies decides. Only the two rules with the verdict NotStarted permit another start.
constexpr auto Rules = std::to_array<rule>({
    {nothingWritten, attempt_verdict::NotStarted, errc::ConnectFailed},
    {timedOut, attempt_verdict::StartedAndFailed, errc::TaskTimeout},
    {lost, attempt_verdict::StartedAndFailed, errc::ConnectionLost},
    {refused, attempt_verdict::NotStarted, errc::NotStarted},
    {failed, attempt_verdict::StartedAndFailed, errc::ServerError},
    {crossed, attempt_verdict::StartedAndFailed, errc::CrossedAnswer},
    {always, attempt_verdict::Completed, errc::Ok},
});

} // namespace

attempt_outcome judgeAttempt(const http_call_result &Result, std::string_view TaskId) {
  attempt Attempt{Result, TaskId};
  attempt_outcome Outcome;
  Outcome.Leaving = !Result.Error && Result.header("server-leaving") == "1";
  for (const rule &Rule : Rules) {
    if (!Rule.Applies(Attempt))
      continue;
    Outcome.Verdict = Rule.Verdict;
    Outcome.Reason = Rule.Reason;
    break;
  }
  return Outcome;
}

} // namespace yuccaplank::wire
