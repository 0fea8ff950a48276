// Serves callers' HTTP requests: submitting a job, its state, cancelling it, and the length of a queue.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <memory>

namespace yuccaplank::entry {

struct frontend_options {
  /// Answers are kept for this time for callers that resend a finished job.
  runtime::duration AnswerRetention = std::chrono::seconds(10);
  /// Deadline of a job whose caller sends none.
  runtime::duration DefaultDeadline = std::chrono::seconds(5);
  std::size_t MaxSpecificationBytes = 4000;
  /// Limit of the tasks of jobs in progress. A job is accepted in any case when there is no other one.
  std::uint64_t MaxTasksInProgress = 100'000;
  /// A job whose request may have been unread for longer is refused: after a pause of this VM its caller may
  /// have sent the job to another VM.
  runtime::duration MaxUnreadTime = std::chrono::milliseconds(450);
};

class frontend {
public:
  virtual ~frontend() = default;
  virtual void onRequest(wire::http_request Request) = 0;
  /// The connection of an unanswered request has closed.
  virtual void onClosed(wire::request_token Token) = 0;
  /// Sends a job's answer to all callers that wait for it.
  virtual void answer(dispatch::job_id Job, const dispatch::job_answer &Answer) = 0;
  /// Number of callers that wait for an answer.
  [[nodiscard]] virtual std::size_t pendingCallers() const = 0;
  /// Number of jobs with such a caller.
  [[nodiscard]] virtual std::size_t pendingJobs() const = 0;
  /// Number of jobs refused because their requests may have been read late.
  [[nodiscard]] virtual std::uint64_t jobsReadLate() const = 0;
};

struct frontend_handlers {
  std::function<void(wire::request_token, wire::http_reply)> Reply;
  /// Called for each caller that receives its job's answer; Latency is the time since its request. Optional.
  std::function<void(const dispatch::job_answer &, runtime::duration Latency)> OnAnswered;
};

std::unique_ptr<frontend> makeFrontend(runtime::executor &Executor, dispatch::entry_vm &Vm,
                                       frontend_handlers Handlers, frontend_options Options = {});

} // namespace yuccaplank::entry
