#include "load_shedder.hpp"
#include "admission_control.hpp"

#include <algorithm>

namespace yuccaplank::dispatch::admission {

using runtime::duration;
using runtime::time_point;

std::optional<duration> load_shedder::shed(const queue_settings &Queue, const job_request &Request) {
  time_point Now = Clock.now();
  queue_history &History = Queues[Queue.Name];
  History.Requests.add(Now, 1);
  auto Backlog = Backlogs.find(Now, Queue.Pool, Queue.Priority);
  double WaitableMs = (Queue.Stretch - 1) * Request.EstimateMs + Queue.LatencyMs - runtime::toMs(Request.Age);
  if (!Backlog || runtime::toMs(Backlog->Wait) <= MinWaitShare * WaitableMs) {
    History.Owed = 0;
    return std::nullopt;
  }
  double Requests = History.Requests.value(Now);
  double Accepted = Requests - std::min(Requests, History.Refusals.value(Now));
  double Share = (Requests - PassedPerAccepted * Accepted) / (Requests + 1);
  History.Owed += std::clamp(Share, 0.0, MaxShedShare);
  if (History.Owed < 1)
    return std::nullopt;
  History.Owed -= 1;
  History.Refusals.add(Now, 1);
  ++Shed;
  return spreadRetryAfter(Backlog->Drain, Request.Job);
}

void load_shedder::onAnswer(const job_answer &Answer) {
  if (Answer.Outcome == job_outcome::Refused && Answer.Reason == end_reason::Backlog)
    Queues[Answer.Queue].Refusals.add(Clock.now(), 1);
}

} // namespace yuccaplank::dispatch::admission
