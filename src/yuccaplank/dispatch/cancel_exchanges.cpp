#include "cancel_exchanges.hpp"

namespace yuccaplank::dispatch {

cancel_exchanges::~cancel_exchanges() {
  for (auto &[Id, Exchange] : Exchanges)
    Executor.cancel(Exchange.Timer);
}

void cancel_exchanges::sendCancel(job_id Job, const std::vector<std::string> &Vms, runtime::duration Timeout,
                                  done_function OnDone) {
  std::uint64_t Id = ++LastId;
  exchange &Exchange = Exchanges[Id];
  Exchange.OnDone = std::move(OnDone);
  Exchange.AwaitedVms.insert(Vms.begin(), Vms.end());
  Exchange.Timer = Executor.after(Timeout, [this, Id] { finish(Id, false); });
  schema::dispatch_message Message;
  setJob(*Message.mutable_cancel(), Job);
  Message.mutable_cancel()->set_exchange(Id);
  for (const std::string &Vm : Vms)
    Send(Vm, Message);
  if (Vms.empty())
    finish(Id, false);
}

void cancel_exchanges::onReply(const std::string &Vm, const schema::cancel_submitted_reply &Reply) {
  auto Found = Exchanges.find(Reply.exchange());
  if (Found == Exchanges.end())
    return;
  Found->second.AwaitedVms.erase(Vm);
  if (Reply.found() || Found->second.AwaitedVms.empty())
    finish(Reply.exchange(), Reply.found());
}

void cancel_exchanges::finish(std::uint64_t Id, bool JobFound) {
  auto Found = Exchanges.find(Id);
  exchange Exchange = std::move(Found->second);
  Exchanges.erase(Found);
  Executor.cancel(Exchange.Timer);
  Exchange.OnDone(JobFound);
}

} // namespace yuccaplank::dispatch
