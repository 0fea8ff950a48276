#include "exchanges.hpp"
#include "yuccaplank/model/job_id.hpp"

#include <vector>

namespace yuccaplank::node {

std::uint64_t exchanges::open(const schema::incarnation &Peer, runtime::duration Timeout,
                              answer_handler OnAnswer, failure_handler OnFailure) {
  std::uint64_t Exchange = ++LastExchange;
  auto Timer = Executor.after(Timeout, [this, Exchange] {
    if (auto Expired = take(Exchange))
      Expired->OnFailure(exchange_failure::TimedOut);
  });
  Pending.emplace(Exchange, pending{Peer, std::move(OnAnswer), std::move(OnFailure), Timer,
                                    Connected.contains(Peer.vm())});
  return Exchange;
}

void exchanges::answer(const schema::incarnation &From, std::uint64_t Exchange,
                       const schema::envelope &Message) {
  auto Found = Pending.find(Exchange);
  if (Found == Pending.end() || !model::sameIncarnation(Found->second.Peer, From))
    return;
  auto Answered = take(Exchange);
  Answered->OnAnswer(Message);
}

void exchanges::failPeer(const schema::incarnation &Peer) {
  failIf([&](const pending &Entry) { return model::sameIncarnation(Entry.Peer, Peer); },
         exchange_failure::PeerLost);
}

void exchanges::connectFailed(const std::string &Vm) {
  failIf([&](const pending &Entry) { return Entry.Peer.vm() == Vm && !Entry.WasConnected; },
         exchange_failure::NotDelivered);
}

void exchanges::failIf(const std::function<bool(const pending &)> &Matches, exchange_failure Failure) {
  std::vector<std::uint64_t> Failed;
  for (const auto &[Exchange, Entry] : Pending)
    if (Matches(Entry))
      Failed.push_back(Exchange);
  for (std::uint64_t Exchange : Failed)
    if (auto Entry = take(Exchange))
      Entry->OnFailure(Failure);
}

void exchanges::connected(const std::string &Vm) {
  if (Connected.insert(Vm).second)
    markMaybeDelivered(Vm);
}

void exchanges::disconnected(const std::string &Vm) {
  Connected.erase(Vm);
  // Requests may have been written to a connection that ended without a message, also to a later run of the
  // VM.
  markMaybeDelivered(Vm);
}

void exchanges::markMaybeDelivered(const std::string &Vm) {
  for (auto &[Exchange, Entry] : Pending)
    if (Entry.Peer.vm() == Vm)
      Entry.WasConnected = true;
}

void exchanges::drop(std::uint64_t Exchange) { take(Exchange); }

std::optional<exchanges::pending> exchanges::take(std::uint64_t Exchange) {
  auto Found = Pending.find(Exchange);
  if (Found == Pending.end())
    return std::nullopt;
  pending Entry = std::move(Found->second);
  Pending.erase(Found);
  Executor.cancel(Entry.Timer);
  return Entry;
}

} // namespace yuccaplank::node
