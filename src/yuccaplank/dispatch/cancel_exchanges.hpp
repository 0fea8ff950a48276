// Cancels jobs that another VM may coordinate: sends the cancel to several VMs and waits for the first reply
// of one that had the job.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

class cancel_exchanges {
public:
  using done_function = std::function<void(bool Found)>;

  cancel_exchanges(runtime::executor &Executor, send_function Send)
      : Executor(Executor), Send(std::move(Send)) {}
  cancel_exchanges(const cancel_exchanges &) = delete;
  cancel_exchanges &operator=(const cancel_exchanges &) = delete;
  ~cancel_exchanges();

  /// Calls OnDone once: with true when a VM had the job, with false when all VMs have replied without having
  /// it or the timeout has expired.
  void sendCancel(job_id Job, const std::vector<std::string> &Vms, runtime::duration Timeout,
                  done_function OnDone);
  void onReply(const std::string &Vm, const schema::cancel_submitted_reply &Reply);

private:
  struct exchange {
    std::set<std::string> AwaitedVms;
    done_function OnDone;
    runtime::timer_id Timer = 0;
  };
  void finish(std::uint64_t Id, bool JobFound);

  runtime::executor &Executor;
  send_function Send;
  std::map<std::uint64_t, exchange> Exchanges;
  std::uint64_t LastId = 0;
};

} // namespace yuccaplank::dispatch
