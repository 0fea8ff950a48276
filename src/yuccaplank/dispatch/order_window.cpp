#include "order_window.hpp"

namespace yuccaplank::dispatch {

void order_window::start(const server_target &Server, start_order Order,
                         std::function<void(order_reply)> OnDone) {
  server_window &Window = Servers[Server.Id];
  if (++Window.Starts >= MaxStartsPerServer)
    Window.IsFull = true;
  if (++Starts >= MaxStarts)
    AllAreFull = true;
  auto Count = Lifetime.guard([this, Id = Server.Id] { onStartReply(Id); });
  Next().start(Server, std::move(Order),
               [Count = std::move(Count), OnDone = std::move(OnDone)](const order_reply &Reply) mutable {
                 Count();
                 OnDone(Reply);
               });
}

void order_window::stop(const server_target &Server, const run_key &Run, std::uint64_t FencingToken,
                        std::function<void(order_reply)> OnDone) {
  server_window &Window = Servers[Server.Id];
  auto [Entry, IsNew] = Window.WaitingStops.try_emplace(Run);
  stop_order &Order = Entry->second;
  Order.Server = Server;
  Order.FencingToken = FencingToken;
  Order.OnDone.push_back(std::move(OnDone));
  if (Window.Stops < MaxStopsPerServer) {
    stop_order Ready = std::move(Order);
    Window.WaitingStops.erase(Entry);
    sendStop(Run, std::move(Ready));
  } else if (IsNew) {
    Window.StopQueue.push_back(Run);
  }
}

void order_window::hold(const server_target &Server, const hold_order &Order,
                        std::function<void(hold_reply)> OnDone) {
  Next().hold(Server, Order, std::move(OnDone));
}

bool order_window::isFull(const std::string &Server) const {
  auto Found = Servers.find(Server);
  return AllAreFull || (Found != Servers.end() && Found->second.IsFull);
}

void order_window::sendStop(const run_key &Run, stop_order Order) {
  ++Servers[Order.Server.Id].Stops;
  auto Count = Lifetime.guard([this, Id = Order.Server.Id] { onStopReply(Id); });
  Next().stop(Order.Server, Run, Order.FencingToken,
              [Count = std::move(Count), OnDone = std::move(Order.OnDone)](const order_reply &Reply) mutable {
                Count();
                for (auto &Done : OnDone)
                  Done(Reply);
              });
}

void order_window::onStartReply(const std::string &Server) {
  server_window &Window = Servers[Server];
  --Window.Starts;
  --Starts;
  bool IsFreed = Window.IsFull && Window.Starts <= MaxStartsPerServer / 2;
  if (IsFreed)
    Window.IsFull = false;
  bool AllAreFreed = AllAreFull && Starts <= MaxStarts / 2;
  if (AllAreFreed)
    AllAreFull = false;
  forgetIfIdle(Server);
  if (IsFreed)
    OnFreed(Server);
  if (AllAreFreed)
    OnFreed({});
}

void order_window::onStopReply(const std::string &Server) {
  server_window &Window = Servers[Server];
  --Window.Stops;
  if (Window.StopQueue.empty()) {
    forgetIfIdle(Server);
    return;
  }
  run_key Run = Window.StopQueue.front();
  Window.StopQueue.pop_front();
  stop_order Order = std::move(Window.WaitingStops.at(Run));
  Window.WaitingStops.erase(Run);
  sendStop(Run, std::move(Order));
}

void order_window::forgetIfIdle(const std::string &Server) {
  auto Found = Servers.find(Server);
  if (Found->second.Starts == 0 && Found->second.Stops == 0)
    Servers.erase(Found);
}

} // namespace yuccaplank::dispatch
