// HTTP interface for operators of an entry VM: metrics, the VM's view of the fleet, burn counts, and
// evacuations of failure domains.
#pragma once

#include "burn_recorder.hpp"
#include "vm_metrics.hpp"
#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace yuccaplank::entry {

struct operator_api_options {
  std::string Vm;
  /// Percentage of a queue's jobs that should be answered within their objective.
  double ObjectivePercent = 95;
  /// Begins or ends the evacuation of a failure domain; see directory::setEvacuation.
  std::function<void(const std::string &Domain, bool Evacuate, std::function<void(std::error_code)> OnDone)>
      SetEvacuation;
};

class operator_api {
public:
  virtual ~operator_api() = default;
  /// Records the answer to a caller; Latency is the time since its request.
  virtual void observeAnswer(const dispatch::job_answer &Answer, runtime::duration Latency) = 0;
  /// Serves a request and passes the reply to OnReply, at once unless the request changes an evacuation.
  virtual void serve(const wire::http_request &Request, const process_counts &Counts,
                     std::function<void(wire::http_reply)> OnReply) = 0;
};

/// The VM and the clock must outlive the result.
std::unique_ptr<operator_api> makeOperatorApi(const runtime::clock &Clock, const dispatch::entry_vm &Vm,
                                              operator_api_options Options);

} // namespace yuccaplank::entry
