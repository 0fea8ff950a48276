#include "network.hpp"

#include <algorithm>

namespace yuccaplank::simulation {

using runtime::duration;

namespace {

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr double MinDelayMs = 0.4;
constexpr double MaxDelayMs = 1.2;
constexpr double SlowMessageShare = 0.02;
constexpr double MaxSlowDelayMs = 40;

} // namespace

duration network::sampleDelay() {
  double Ms = MinDelayMs + Random.uniform() * (MaxDelayMs - MinDelayMs);
  if (Random.uniform() < SlowMessageShare)
    Ms += Random.uniform() * MaxSlowDelayMs;
  return runtime::fromMs(Ms);
}

network::connection *network::find(const std::string &One, const std::string &Other) {
  auto Found = Connections.find(connectionKey(One, Other));
  return Found == Connections.end() ? nullptr : &Found->second;
}

void network::countMessage(const std::string &From, const schema::dispatch_message &Message) {
  const auto *Body = schema::dispatch_message::descriptor()->FindFieldByNumber(Message.body_case());
  std::uint64_t Bytes = Message.ByteSizeLong();
  for (message_count *Count : {&Counts->BySender[From], &Counts->ByKind[Body->name()]}) {
    ++Count->Messages;
    Count->Bytes += Bytes;
  }
}

void network::send(const std::string &From, const std::string &To, const schema::dispatch_message &Message) {
  if (Counts)
    countMessage(From, Message);
  if (!find(From, To)) {
    bool Refused = !Endpoints.contains(To) && !PoweredOff.contains(To);
    bool Unreachable = isCut(From, To) || isCut(To, From) || !Endpoints.contains(To);
    if (Unreachable) {
      Executor.after(Refused && !isCut(From, To) ? duration(sampleDelay() * 2) : duration(ConnectTimeout),
                     [this, From, To] {
                       auto Endpoint = Endpoints.find(From);
                       if (Endpoint != Endpoints.end() && !find(From, To))
                         Endpoint->second.OnConnectFailed(To);
                     });
      return;
    }
    Connections[connectionKey(From, To)].Id = ++LastConnectionId;
  }
  std::string Incarnation = Endpoints.at(From).Incarnation;
  scheduleDelivery(From, To, [this, From, To, Message, Incarnation] {
    auto Endpoint = Endpoints.find(To);
    if (Endpoint != Endpoints.end())
      Endpoint->second.OnMessage(From, Incarnation, Message);
  });
}

void network::scheduleDelivery(const std::string &From, const std::string &To,
                               std::function<void()> Function) {
  connection &Connection = *find(From, To);
  auto &Last = Connection.LastDelivery[{From, To}];
  auto Extra = ExtraDelays.find({From, To});
  Last = std::max(Last, Executor.clock().now() + sampleDelay() +
                            (Extra == ExtraDelays.end() ? duration::zero() : Extra->second));
  Executor.after(Last - Executor.clock().now(),
                 [this, From, To, Id = Connection.Id, Function = std::move(Function)] {
                   onArrival(From, To, Id, Function);
                 });
}

void network::onArrival(const std::string &From, const std::string &To, std::uint64_t ConnectionId,
                        const std::function<void()> &Function) {
  connection *Connection = find(From, To);
  if (!Connection || Connection->Id != ConnectionId)
    return;
  auto &Stalled = Connection->Stalled[{From, To}];
  if (isCut(From, To) || !Stalled.empty())
    Stalled.push_back(Function);
  else
    Function();
}

void network::setExtraDelay(const std::string &From, const std::string &To, duration Delay) {
  ExtraDelays[{From, To}] = Delay;
}

void network::disconnect(const std::string &From, const std::string &To) {
  connection *Connection = find(From, To);
  if (!Connection)
    return;
  std::uint64_t Id = Connection->Id;
  Connections.erase(connectionKey(From, To));
  notifyClosed(To, From, Id);
}

// Notifies a VM that its peer has closed the connection, as soon as the direction from the peer is not cut.
void network::notifyClosed(const std::string &Vm, const std::string &Other, std::uint64_t ConnectionId) {
  Executor.after(sampleDelay(), [this, Vm, Other, ConnectionId] {
    auto Endpoint = Endpoints.find(Vm);
    if (Endpoint == Endpoints.end())
      return;
    if (isCut(Other, Vm)) {
      notifyClosed(Vm, Other, ConnectionId);
      return;
    }
    connection *NewerConnection = find(Vm, Other);
    if (!NewerConnection)
      Endpoint->second.OnClosed(Other);
  });
}

void network::attach(const std::string &Vm, network_endpoint Endpoint) {
  detach(Vm, false);
  Endpoints[Vm] = std::move(Endpoint);
}

void network::detach(const std::string &Vm, bool PowerLoss) {
  Endpoints.erase(Vm);
  if (PowerLoss)
    PoweredOff.insert(Vm);
  else
    PoweredOff.erase(Vm);
  std::vector<direction> Affected;
  for (const auto &[Pair, Connection] : Connections)
    if (Pair.first == Vm || Pair.second == Vm)
      Affected.push_back(Pair);
  for (const direction &Pair : Affected) {
    std::uint64_t Id = Connections.at(Pair).Id;
    const std::string &Other = Pair.first == Vm ? Pair.second : Pair.first;
    if (PowerLoss)
      continue;
    Connections.erase(Pair);
    notifyClosed(Other, Vm, Id);
  }
}

void network::setCut(const std::string &From, const std::string &To, bool IsCut) {
  if (IsCut) {
    Cuts.insert({From, To});
    return;
  }
  Cuts.erase({From, To});
  connection *Connection = find(From, To);
  if (!Connection)
    return;
  std::vector<std::function<void()>> Batch;
  Batch.swap(Connection->Stalled[{From, To}]);
  for (const auto &Function : Batch)
    Function();
}

} // namespace yuccaplank::simulation
