// What operators can ask an entry VM: metrics, its view of the fleet, and burn counts. Read only.
#pragma once

#include "burn_recorder.hpp"
#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <memory>

namespace yuccaplank::entry {

struct operator_api_options {
  std::string Vm;
  /// Share of the jobs of a queue that should be answered within their objective.
  double ObjectivePercent = 95;
};

class operator_api {
public:
  virtual ~operator_api() = default;
  /// A caller got its answer this time after its request.
  virtual void observeAnswer(const dispatch::job_answer &Answer, runtime::duration Took) = 0;
  virtual wire::http_reply reply(const wire::http_request &Request, std::size_t PendingCallers) = 0;
};

/// The VM and the clock must outlive the result.
std::unique_ptr<operator_api> makeOperatorApi(const runtime::clock &Clock, const dispatch::entry_vm &Vm,
                                              operator_api_options Options);

} // namespace yuccaplank::entry
