// Callers' requests: jobs, their state, cancels and queue lengths.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <memory>

namespace yuccaplank::entry {

struct frontend_options {
  /// Answers are remembered for this time for callers that send a finished job again.
  runtime::duration AnswerRetention = std::chrono::seconds(10);
  /// Wait for an answer when the caller names none.
  runtime::duration DefaultDeadline = std::chrono::seconds(5);
};

class frontend {
public:
  virtual ~frontend() = default;
  virtual void onRequest(wire::http_request Request) = 0;
  virtual void onClosed(wire::request_token Token) = 0;
  /// The job's answer, for all callers that wait for it.
  virtual void answer(std::uint64_t Job, const dispatch::job_answer &Answer) = 0;
  /// Callers that wait for an answer.
  [[nodiscard]] virtual std::size_t pending() const = 0;
};

struct frontend_handlers {
  std::function<void(wire::request_token, wire::http_reply)> Reply;
  /// For each caller whose job has its answer; optional.
  std::function<void(const dispatch::job_answer &, runtime::duration Took)> OnAnswered;
};

std::unique_ptr<frontend> makeFrontend(runtime::executor &Executor, dispatch::entry_vm &Vm,
                                       frontend_handlers Handlers, frontend_options Options = {});

} // namespace yuccaplank::entry
