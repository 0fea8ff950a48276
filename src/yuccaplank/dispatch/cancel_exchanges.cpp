#include "cancel_exchanges.hpp"

namespace yuccaplank::dispatch {

cancel_exchanges::~cancel_exchanges() {
  for (auto &[Id, Exchange] : Open)
    Executor.cancel(Exchange.Timer);
}

void cancel_exchanges::sendCancel(std::uint64_t Job, const std::vector<std::string> &Vms,
                                  runtime::duration Timeout, done_function OnDone) {
  std::uint64_t Id = ++LastId;
  exchange &Exchange = Open[Id];
  Exchange.OnDone = std::move(OnDone);
  Exchange.Asked.insert(Vms.begin(), Vms.end());
  Exchange.Timer = Executor.after(Timeout, [this, Id] { end(Id, false); });
  schema::dispatch_message Message;
  Message.mutable_cancel()->set_job(Job);
  Message.mutable_cancel()->set_exchange(Id);
  for (const std::string &Vm : Vms)
    Send(Vm, Message);
  if (Vms.empty())
    end(Id, false);
}

void cancel_exchanges::onReply(const std::string &Vm, const schema::cancel_submitted_reply &Reply) {
  auto Found = Open.find(Reply.exchange());
  if (Found == Open.end())
    return;
  Found->second.Asked.erase(Vm);
  if (Reply.found() || Found->second.Asked.empty())
    end(Reply.exchange(), Reply.found());
}

void cancel_exchanges::end(std::uint64_t Id, bool WasFound) {
  auto Found = Open.find(Id);
  exchange Exchange = std::move(Found->second);
  Open.erase(Found);
  Executor.cancel(Exchange.Timer);
  Exchange.OnDone(WasFound);
}

} // namespace yuccaplank::dispatch
