// Refuses jobs of this VM's callers at once while the placer refuses most jobs of their kind, and passes on
// the others.
#pragma once

#include "admission/load_shedder.hpp"
#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <functional>
#include <map>

namespace yuccaplank::dispatch {

class shedding_job_service final : public job_service {
public:
  /// AnswerCaller is called after submit() has returned.
  shedding_job_service(runtime::executor &Executor, job_service &Next, admission::load_shedder &Shedder,
                       std::function<void(job_id Job, const job_answer &Answer)> AnswerCaller)
      : Executor(Executor), Next(Next), Shedder(Shedder), AnswerCaller(std::move(AnswerCaller)) {}

  bool submit(const queue_settings &Queue, job_request Request) override {
    // A further caller of a job that is being refused receives the same refusal.
    if (Refused.contains(Request.Job))
      return false;
    std::optional<runtime::duration> RetryAfter;
    if (!Next.contains(Request.Job))
      RetryAfter = Shedder.shed(Queue, Request);
    if (!RetryAfter)
      return Next.submit(Queue, std::move(Request));
    refuse(Queue, Request.Job, *RetryAfter);
    return true;
  }
  bool cancel(job_id Job, end_reason Reason) override {
    return Refused.erase(Job) > 0 || Next.cancel(Job, Reason);
  }
  [[nodiscard]] bool contains(job_id Job) const override { return Next.contains(Job); }
  [[nodiscard]] job_state state(job_id Job) const override { return Next.state(Job); }
  [[nodiscard]] std::size_t size() const override { return Next.size(); }

private:
  void refuse(const queue_settings &Queue, job_id Job, runtime::duration RetryAfter) {
    job_answer Answer;
    Answer.Outcome = job_outcome::Refused;
    Answer.Reason = end_reason::Backlog;
    Answer.RetryAfterMs = static_cast<std::uint32_t>(runtime::toMs(RetryAfter));
    Answer.Queue = Queue.Name;
    runtime::log(runtime::log_level::Info, "job_shed",
                 {{"job", formatJob(Job)},
                  {"queue", Queue.Name},
                  {"retry_after_ms", std::int64_t{Answer.RetryAfterMs}}});
    std::uint64_t Number = ++LastRefusal;
    Refused[Job] = Number;
    Executor.post(Lifetime.guard([this, Job, Number, Answer] { deliver(Job, Number, Answer); }));
  }

  // The caller may have left since, and another one may have submitted the job again.
  void deliver(job_id Job, std::uint64_t Number, const job_answer &Answer) {
    auto Found = Refused.find(Job);
    if (Found == Refused.end() || Found->second != Number)
      return;
    Refused.erase(Found);
    AnswerCaller(Job, Answer);
  }

  runtime::executor &Executor;
  job_service &Next;
  admission::load_shedder &Shedder;
  std::function<void(job_id, const job_answer &)> AnswerCaller;
  // Jobs whose refusal is not delivered yet, with the number of the refusal.
  std::map<job_id, std::uint64_t> Refused;
  std::uint64_t LastRefusal = 0;
  runtime::lifetime Lifetime;
};

} // namespace yuccaplank::dispatch
