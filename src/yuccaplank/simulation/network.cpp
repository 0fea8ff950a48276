#include "network.hpp"

#include <algorithm>

namespace yuccaplank::simulation {

using runtime::duration;

namespace {

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
// TCP gives up a stalled connection much later than the product's own limits; a closing end is heard at once
// when the path is open.
constexpr double MinDelayMs = 0.4;
constexpr double MaxDelayMs = 1.2;
constexpr double SlowShare = 0.02;
constexpr double SlowDelayMs = 40;

} // namespace

duration network::delay() {
  double Ms = MinDelayMs + Random.uniform() * (MaxDelayMs - MinDelayMs);
  if (Random.uniform() < SlowShare)
    Ms += Random.uniform() * SlowDelayMs;
  return runtime::fromMs(Ms);
}

network::connection *network::find(const std::string &One, const std::string &Other) {
  auto Found = Connections.find(pairOf(One, Other));
  return Found == Connections.end() ? nullptr : &Found->second;
}

void network::count(const std::string &From, const schema::dispatch_message &Message) {
  const auto *Body = schema::dispatch_message::descriptor()->FindFieldByNumber(Message.body_case());
  std::uint64_t Bytes = Message.ByteSizeLong();
  for (message_count *Count : {&Counts->BySender[From], &Counts->ByKind[Body->name()]}) {
    ++Count->Messages;
    Count->Bytes += Bytes;
  }
}

void network::send(const std::string &From, const std::string &To, const schema::dispatch_message &Message) {
  if (Counts)
    count(From, Message);
  if (!find(From, To)) {
    bool Refused = !Ends.contains(To) && !Dark.contains(To);
    bool Unreachable = cut(From, To) || cut(To, From) || !Ends.contains(To);
    if (Unreachable) {
      Executor.after(Refused && !cut(From, To) ? duration(delay() * 2) : duration(ConnectTimeout),
                     [this, From, To] {
                       auto End = Ends.find(From);
                       if (End != Ends.end() && !find(From, To))
                         End->second.OnConnectFailed(To);
                     });
      return;
    }
    Connections[pairOf(From, To)].Id = ++LastConnection;
  }
  std::string Incarnation = Ends.at(From).Incarnation;
  deliver(From, To, [this, From, To, Message, Incarnation] {
    auto End = Ends.find(To);
    if (End != Ends.end())
      End->second.OnMessage(From, Incarnation, Message);
  });
}

void network::deliver(const std::string &From, const std::string &To, std::function<void()> Function) {
  connection &Connection = *find(From, To);
  auto &Last = Connection.LastDelivery[{From, To}];
  auto Extra = ExtraDelays.find({From, To});
  Last = std::max(Last, Executor.clock().now() + delay() +
                            (Extra == ExtraDelays.end() ? duration::zero() : Extra->second));
  Executor.after(Last - Executor.clock().now(),
                 [this, From, To, Id = Connection.Id, Function = std::move(Function)] {
                   arrive(From, To, Id, Function);
                 });
}

void network::arrive(const std::string &From, const std::string &To, std::uint64_t ConnectionId,
                     const std::function<void()> &Function) {
  connection *Connection = find(From, To);
  if (!Connection || Connection->Id != ConnectionId)
    return;
  auto &Stalled = Connection->Stalled[{From, To}];
  if (cut(From, To) || !Stalled.empty())
    Stalled.push_back(Function);
  else
    Function();
}

void network::setExtraDelay(const std::string &From, const std::string &To, duration Time) {
  ExtraDelays[{From, To}] = Time;
}

void network::disconnect(const std::string &From, const std::string &To) {
  connection *Connection = find(From, To);
  if (!Connection)
    return;
  std::uint64_t Id = Connection->Id;
  Connections.erase(pairOf(From, To));
  tellClosed(To, From, Id);
}

// The end hears of the close when the path to it is open.
void network::tellClosed(const std::string &Vm, const std::string &Other, std::uint64_t ConnectionId) {
  Executor.after(delay(), [this, Vm, Other, ConnectionId] {
    auto End = Ends.find(Vm);
    if (End == Ends.end())
      return;
    if (cut(Other, Vm)) {
      tellClosed(Vm, Other, ConnectionId);
      return;
    }
    connection *Newer = find(Vm, Other);
    if (!Newer)
      End->second.OnClosed(Other);
  });
}

void network::attach(const std::string &Vm, network_end End) {
  detach(Vm, false);
  Ends[Vm] = std::move(End);
}

void network::detach(const std::string &Vm, bool Silent) {
  Ends.erase(Vm);
  if (Silent)
    Dark.insert(Vm);
  else
    Dark.erase(Vm);
  std::vector<direction> Affected;
  for (const auto &[Pair, Connection] : Connections)
    if (Pair.first == Vm || Pair.second == Vm)
      Affected.push_back(Pair);
  for (const direction &Pair : Affected) {
    std::uint64_t Id = Connections.at(Pair).Id;
    const std::string &Other = Pair.first == Vm ? Pair.second : Pair.first;
    if (Silent)
      continue;
    Connections.erase(Pair);
    tellClosed(Other, Vm, Id);
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
