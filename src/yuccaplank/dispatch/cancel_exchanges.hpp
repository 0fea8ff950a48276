// Cancels of jobs that another VM may coordinate: asks VMs in contact and waits for the first that has the
// job.
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

  /// OnDone runs once: with true when a VM had the job, with false when all have answered or the time is
  /// over.
  void sendCancel(std::uint64_t Job, const std::vector<std::string> &Vms, runtime::duration Timeout,
                  done_function OnDone);
  void onReply(const std::string &Vm, const schema::cancel_submitted_reply &Reply);

private:
  struct exchange {
    std::set<std::string> Asked;
    done_function OnDone;
    runtime::timer_id Timer = 0;
  };
  void end(std::uint64_t Id, bool WasFound);

  runtime::executor &Executor;
  send_function Send;
  std::map<std::uint64_t, exchange> Open;
  std::uint64_t LastId = 0;
};

} // namespace yuccaplank::dispatch
