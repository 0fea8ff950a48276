#include "yuccaplank/cli/submission.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

using platform::caller_answer;
using platform::caller_outcome;

class submission_run {
public:
  submission_run(entry_session &Session, const submission_plan &Plan,
                 const std::function<void(std::string_view)> &Progress)
      : Session(Session), Plan(Plan), Progress(Progress), End(now() + Plan.Timeout),
        WaitEnd(now() + Plan.Wait) {}

  submission_result run() {
    for (;;) {
      wire::http_call_result Result = Session.attempt(
          [this](const std::string &Entry) { return makeSubmitCall(Entry, Plan.Queue, Plan.Job); },
          std::max(End - now(), runtime::duration(std::chrono::milliseconds(1))));
      caller_answer Answer = platform::decodeCallerAnswer(Result);
      bool NothingWritten = Result.Error && Result.Stage == wire::transfer_stage::NothingWritten;
      if (Answer.Outcome == caller_outcome::Unanswered) {
        AttemptLost |= !NothingWritten;
        if (sendAgain(NothingWritten ? UnreachablePause : ResendDelay, Answer))
          continue;
      }
      if (Answer.Outcome == caller_outcome::Refused && waitAfter(Answer))
        continue;
      return {statusOf(Answer), Answer};
    }
  }

private:
  static constexpr runtime::duration UnreachablePause = std::chrono::milliseconds(200);

  [[nodiscard]] runtime::time_point now() const { return Session.timing().clock().now(); }

  bool sendAgain(runtime::duration Delay, const caller_answer &Answer) {
    if (now() + Delay >= End)
      return false;
    Progress(fmt::format("no answer ({}); sending the job again.", Answer.Detail));
    Session.timing().pause(Delay);
    Session.advance();
    return true;
  }

  bool waitAfter(const caller_answer &Refusal) {
    auto Delay = std::chrono::seconds(Refusal.RetryAfterS);
    if (Refusal.RetryAfterS == 0 || now() + Delay > WaitEnd)
      return false;
    Progress(fmt::format("refused; sending the job again in {} s.", Refusal.RetryAfterS));
    Session.timing().pause(Delay);
    Session.advance();
    End = now() + Plan.Timeout;
    return true;
  }

  [[nodiscard]] exit_status statusOf(const caller_answer &Answer) const {
    switch (Answer.Outcome) {
    case caller_outcome::Completed:
      return exit_status::Done;
    case caller_outcome::Failed:
    case caller_outcome::Cancelled:
      return exit_status::Failed;
    default:
      return AttemptLost ? exit_status::Unknown : exit_status::Refused;
    }
  }

  entry_session &Session;
  const submission_plan &Plan;
  const std::function<void(std::string_view)> &Progress;
  runtime::time_point End;
  runtime::time_point WaitEnd;
  // An attempt may have reached an entry VM and was not answered.
  bool AttemptLost = false;
};

} // namespace

submission_result submitJob(entry_session &Session, const submission_plan &Plan,
                            const std::function<void(std::string_view)> &Progress) {
  return submission_run(Session, Plan, Progress).run();
}

} // namespace yuccaplank::cli
