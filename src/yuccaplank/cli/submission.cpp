#include "yuccaplank/cli/submission.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

using platform::caller_answer;
using platform::caller_outcome;

class job_submitter {
public:
  job_submitter(entry_session &Session, const submission_plan &Plan,
                const std::function<void(std::string_view)> &PrintProgress)
      : Session(Session), Plan(Plan), PrintProgress(PrintProgress), SendDeadline(now() + Plan.Timeout),
        RetryDeadline(now() + Plan.RefusalRetryTimeout) {}

  submission_result run() {
    for (;;) {
      wire::http_call_result Result = Session.exchangeWithCurrent(
          [this](const std::string &Entry) { return makeSubmitCall(Entry, Plan.Queue, Plan.Job); },
          std::max(SendDeadline - now(), runtime::duration(std::chrono::milliseconds(1))));
      caller_answer Answer = platform::decodeCallerAnswer(Result);
      bool NothingWritten = Result.Error && Result.Stage == wire::transfer_stage::NothingWritten;
      if (Answer.Outcome == caller_outcome::Unanswered) {
        AnswerLost |= !NothingWritten;
        if (waitBeforeResend(NothingWritten ? UnreachableRetryDelay : ResendDelay, Answer))
          continue;
      }
      if (Answer.Outcome == caller_outcome::Refused && waitAfterRefusal(Answer))
        continue;
      return {toExitStatus(Answer), Answer};
    }
  }

private:
  // Delay after an attempt that reached no entry VM and therefore cannot have started a task.
  static constexpr runtime::duration UnreachableRetryDelay = std::chrono::milliseconds(200);

  [[nodiscard]] runtime::time_point now() const { return Session.getRequester().clock().now(); }

  // Waits and selects the next entry VM. Returns false at once when the delay would exceed the timeout.
  bool waitBeforeResend(runtime::duration Delay, const caller_answer &Answer) {
    if (now() + Delay >= SendDeadline)
      return false;
    PrintProgress(fmt::format("no answer ({}); sending the job again.", Answer.Detail));
    Session.getRequester().sleepFor(Delay);
    Session.selectNext();
    return true;
  }

  // Waits as long as the refusal asks for, and selects the next entry VM. Returns false at once when the
  // refusal names no delay or when the delay would exceed the time for retries.
  bool waitAfterRefusal(const caller_answer &Refusal) {
    auto Delay = std::chrono::seconds(Refusal.RetryAfterS);
    if (Refusal.RetryAfterS == 0 || now() + Delay > RetryDeadline)
      return false;
    PrintProgress(fmt::format("refused; sending the job again in {} s.", Refusal.RetryAfterS));
    Session.getRequester().sleepFor(Delay);
    Session.selectNext();
    SendDeadline = now() + Plan.Timeout;
    return true;
  }

  [[nodiscard]] exit_status toExitStatus(const caller_answer &Answer) const {
    switch (Answer.Outcome) {
    case caller_outcome::Completed:
      return exit_status::Done;
    case caller_outcome::Failed:
    case caller_outcome::Cancelled:
      return exit_status::Failed;
    default:
      return AnswerLost ? exit_status::Unknown : exit_status::Refused;
    }
  }

  entry_session &Session;
  const submission_plan &Plan;
  const std::function<void(std::string_view)> &PrintProgress;
  runtime::time_point SendDeadline;
  runtime::time_point RetryDeadline;
  // An attempt may have reached an entry VM, but its answer was lost.
  bool AnswerLost = false;
};

} // namespace

submission_result submitJob(entry_session &Session, const submission_plan &Plan,
                            const std::function<void(std::string_view)> &PrintProgress) {
  return job_submitter(Session, Plan, PrintProgress).run();
}

} // namespace yuccaplank::cli
