// Jobs of this VM's callers that other VMs coordinate. A job whose dispatching VM is lost is passed to
// another one when nothing of it can run any more.
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
  /// The dispatching VM in contact that should take the job; empty when there is none.
  [[nodiscard]] virtual std::string dispatcherFor(std::uint64_t Job) const = 0;
  [[nodiscard]] virtual std::uint32_t session(const std::string &Vm) const = 0;
  virtual void answer(std::uint64_t Job, const job_answer &Answer) = 0;
};

class job_relay : public job_service {
public:
  virtual void onAnswer(const std::string &Vm, const schema::relayed_answer &Answer) = 0;
  /// A dispatching VM has come into contact: jobs that wait for one are passed on.
  virtual void onDispatcherFound() = 0;
  virtual void onVmLost(const std::string &Vm) = 0;
  /// A session with the VM begins: adds the jobs that it should hold.
  virtual void resume(const std::string &Vm, schema::resume_session &Resume) = 0;
  /// VMs that hold jobs of this one.
  [[nodiscard]] virtual std::set<std::string> dispatchers() const = 0;
};

std::unique_ptr<job_relay> makeJobRelay(runtime::executor &Executor, relay_ports &Ports,
                                        relay_options Options = {});

} // namespace yuccaplank::dispatch
