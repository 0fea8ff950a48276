#include "id_pool.hpp"

#include <algorithm>

namespace yuccaplank::node {
namespace {

// Ids requested at once, so that callers that take single ids do not cost a message each.
constexpr std::uint32_t BlockSize = 256;
// A block is used this long; ids stay valid for the authority's validity of 10 minutes.
constexpr runtime::duration BlockLifetime = std::chrono::seconds(60);
constexpr runtime::duration RequestTimeout = std::chrono::milliseconds(500);

} // namespace

id_pool::id_pool(runtime::executor &Executor, peer_network &Peers, model::membership &Membership,
                 model::job_table &Jobs, schema::incarnation Self, std::string Domain)
    : Executor(Executor), Peers(Peers), Membership(Membership), Jobs(Jobs), Self(std::move(Self)),
      Domain(std::move(Domain)) {}

void id_pool::take(std::uint32_t Count, ids_function OnDone) {
  auto Dispatcher = Membership.dispatcher(Domain);
  if (!Dispatcher || model::sameIncarnation(*Dispatcher, Self)) {
    OnDone(takeOwn(Count));
    return;
  }
  if (blockUsable(*Dispatcher, Count)) {
    OnDone(takeFromBlock(Count));
    return;
  }
  request(*Dispatcher, Count, std::move(OnDone));
}

void id_pool::onRequest(const schema::incarnation &From, const schema::id_block_request &Request) {
  schema::envelope Message;
  schema::id_block &Reply = *Message.mutable_id_block();
  Reply.set_exchange(Request.exchange());
  *Reply.mutable_authority() = Self;
  Reply.set_domain(Domain);
  Reply.set_first(Jobs.issue(Request.count()));
  Reply.set_count(Request.count());
  Peers.send(From.vm(), std::move(Message));
}

void id_pool::request(const schema::incarnation &Dispatcher, std::uint32_t Count, ids_function OnDone) {
  auto Shared = std::make_shared<ids_function>(std::move(OnDone));
  auto Exchange = Peers.Exchanges.open(
      Dispatcher, RequestTimeout,
      [this, Shared, Count](const schema::envelope &Message) {
        const schema::id_block &Reply = Message.id_block();
        Block = {Reply.authority(), Reply.domain(), Reply.first(), Reply.first() + Reply.count(),
                 Executor.clock().now()};
        (*Shared)(takeFromBlock(Count));
      },
      // This VM can be the authority as well; the dispatcher's ids only save a forward.
      [this, Shared, Count](exchange_failure) { (*Shared)(takeOwn(Count)); });
  schema::envelope Message;
  Message.mutable_id_block_request()->set_exchange(Exchange);
  Message.mutable_id_block_request()->set_count(std::max(Count, BlockSize));
  Peers.send(Dispatcher.vm(), std::move(Message));
}

std::vector<std::string> id_pool::takeOwn(std::uint32_t Count) {
  std::uint64_t First = Jobs.issue(Count);
  std::vector<std::string> Ids;
  for (std::uint64_t Sequence = First; Sequence < First + Count; ++Sequence)
    Ids.push_back(model::issuedId(Domain, Self, Sequence));
  return Ids;
}

std::vector<std::string> id_pool::takeFromBlock(std::uint32_t Count) {
  std::vector<std::string> Ids;
  while (Ids.size() < Count && Block.Next < Block.End)
    Ids.push_back(model::issuedId(Block.Domain, Block.Authority, Block.Next++));
  return Ids;
}

bool id_pool::blockUsable(const schema::incarnation &Dispatcher, std::uint32_t Count) const {
  return model::sameIncarnation(Block.Authority, Dispatcher) && Block.End - Block.Next >= Count &&
         Executor.clock().now() - Block.Received < BlockLifetime;
}

} // namespace yuccaplank::node
