#include "peer_network.hpp"

namespace yuccaplank::node {
namespace {

constexpr runtime::duration CollectTimeout = std::chrono::seconds(1);

} // namespace

peer_network::peer_network(runtime::executor &Executor, ports &Ports, model::membership &Membership,
                           schema::incarnation Self, node_counters &Counters)
    : Exchanges(Executor), Ports(Ports), Membership(Membership), Self(std::move(Self)), Counters(Counters) {}

void peer_network::send(const std::string &Vm, schema::envelope Message) {
  sendTo(Vm, Membership.addressOf(Vm), std::move(Message));
}

void peer_network::sendTo(const std::string &Vm, const std::string &Address, schema::envelope Message) {
  ++Counters.PeerMessagesSent;
  Ports.sendToPeer(Vm, Address, std::move(Message));
}

void peer_network::broadcast(const schema::envelope &Message) {
  for (const schema::incarnation &Peer : others())
    send(Peer.vm(), Message);
}

std::vector<schema::incarnation> peer_network::others() const {
  std::vector<schema::incarnation> Others;
  for (const model::member_view &Member : Membership.members())
    if (Member.Entry.self().vm() != Self.vm() && Membership.reachable(Member.Entry.self()))
      Others.push_back(Member.Entry.self());
  return Others;
}

void peer_network::collect(const std::function<schema::envelope(std::uint64_t)> &MakeRequest,
                           std::function<void(const schema::envelope &)> OnReply,
                           std::function<void(std::vector<std::string>)> OnDone) {
  struct collection {
    std::size_t Open = 0;
    std::vector<std::string> Silent;
    std::function<void(const schema::envelope &)> OnReply;
    std::function<void(std::vector<std::string>)> OnDone;
    void close() {
      if (--Open == 0)
        OnDone(std::move(Silent));
    }
  };
  auto State = std::make_shared<collection>();
  State->OnReply = std::move(OnReply);
  State->OnDone = std::move(OnDone);
  // Held open until all requests are sent.
  State->Open = 1;
  for (const schema::incarnation &Peer : others()) {
    ++State->Open;
    auto Exchange = Exchanges.open(
        Peer, CollectTimeout,
        [State](const schema::envelope &Message) {
          State->OnReply(Message);
          State->close();
        },
        [State, Vm = Peer.vm()](exchange_failure) {
          State->Silent.push_back(Vm);
          State->close();
        });
    send(Peer.vm(), MakeRequest(Exchange));
  }
  State->close();
}

} // namespace yuccaplank::node
