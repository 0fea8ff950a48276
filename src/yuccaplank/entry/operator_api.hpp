// Read-only HTTP interface for operators of an entry VM: metrics, the VM's view of the fleet, and burn
// counts.
#pragma once

#include "burn_recorder.hpp"
#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <memory>

namespace yuccaplank::entry {

struct operator_api_options {
  std::string Vm;
  /// Percentage of a queue's jobs that should be answered within their objective.
  double ObjectivePercent = 95;
};

class operator_api {
public:
  virtual ~operator_api() = default;
  /// Records the answer to a caller; Latency is the time since its request.
  virtual void observeAnswer(const dispatch::job_answer &Answer, runtime::duration Latency) = 0;
  /// Returns the reply to a request; PendingCallers is the number of callers that wait for an answer.
  virtual wire::http_reply reply(const wire::http_request &Request, std::size_t PendingCallers) = 0;
};

/// The VM and the clock must outlive the result.
std::unique_ptr<operator_api> makeOperatorApi(const runtime::clock &Clock, const dispatch::entry_vm &Vm,
                                              operator_api_options Options);

} // namespace yuccaplank::entry
