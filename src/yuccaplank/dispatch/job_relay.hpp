// Relays jobs of this VM's callers to VMs in the dispatcher role, which coordinate them. If the dispatching
// VM of a job is lost, the job is relayed to another one as soon as none of its tasks can be running any
// more.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/dispatch/relay_options.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <memory>
#include <set>
#include <string>

namespace yuccaplank::dispatch {

class relay_ports {
public:
  virtual ~relay_ports() = default;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  /// The dispatching VM in contact that should coordinate the job; empty when there is none.
  [[nodiscard]] virtual std::string dispatcherFor(job_id Job) const = 0;
  [[nodiscard]] virtual std::uint32_t session(const std::string &Vm) const = 0;
  virtual void answer(job_id Job, const job_answer &Answer) = 0;
};

class job_relay : public job_service {
public:
  virtual void onAnswer(const std::string &Vm, const schema::relayed_answer &Answer) = 0;
  /// Contact with a dispatching VM begins: relays the jobs that wait for one.
  virtual void onDispatcherFound() = 0;
  virtual void onVmLost(const std::string &Vm) = 0;
  /// A new session with the VM begins: adds to Resume the jobs that the VM is expected to hold.
  virtual void onVmResumed(const std::string &Vm, schema::resume_session &Resume) = 0;
  /// The VMs in contact that hold jobs of this one.
  [[nodiscard]] virtual std::set<std::string> dispatchers() const = 0;
};

std::unique_ptr<job_relay> makeJobRelay(runtime::executor &Executor, relay_ports &Ports,
                                        relay_options Options = {});

} // namespace yuccaplank::dispatch
