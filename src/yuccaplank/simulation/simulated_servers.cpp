#include "simulated_servers.hpp"

namespace yuccaplank::simulation {

using dispatch::hold_reply;
using dispatch::order_outcome;
using dispatch::order_reply;
using runtime::duration;

namespace {

constexpr auto ReplyTimeout = std::chrono::milliseconds(250);
constexpr double MinLateMs = 2000;
constexpr double MaxLateMs = 12000;
constexpr auto Hanging = std::chrono::hours(1);

} // namespace

standin::run_work simulated_servers::workOf(const simulated_server &Server,
                                            const std::string &Specification) {
  standin::run_work Work = standin::decodeWork(Specification);
  Work.Duration = runtime::fromMs(runtime::toMs(Work.Duration) * Server.Slowness * Server.Slowdown);
  Work.Fails = Server.Failing;
  if (Server.Hanging)
    Work.Duration = Hanging;
  return Work;
}

// One VM's calls to the servers.
class simulated_servers::orders final : public dispatch::server_orders {
public:
  orders(simulated_servers &Servers, std::string Vm, vm_executor &VmExecutor)
      : All(Servers), Vm(std::move(Vm)), VmExecutor(VmExecutor) {}

  void start(const dispatch::server_target &Target, dispatch::start_order Order,
             std::function<void(order_reply)> OnDone) override {
    call<order_reply>(Target.Id, {}, std::move(OnDone), [this, Order](const std::string &Name, auto Reply) {
      simulated_server &Server = All.Servers.at(Name);
      runtime::time_point Now = All.Executor.clock().now();
      bool Present = isRunning(Server, Order.Run);
      auto Outcome = Server.State->start(Now, Order, All.workOf(Server, Order.Specification));
      if (Outcome == order_outcome::Accepted && !Present)
        All.OnStart(Name, Order.Run);
      All.watch(Name);
      Reply({Outcome, Server.State->clockMs(Now)});
    });
  }

  void stop(const dispatch::server_target &Target, const dispatch::run_key &Run, std::uint64_t FencingToken,
            std::function<void(order_reply)> OnDone) override {
    call<order_reply>(Target.Id, {}, std::move(OnDone),
                      [this, Run, FencingToken](const std::string &Name, auto Reply) {
                        simulated_server &Server = All.Servers.at(Name);
                        runtime::time_point Now = All.Executor.clock().now();
                        auto Outcome = Server.State->stop(Now, Run, FencingToken);
                        All.watch(Name);
                        Reply({Outcome, Server.State->clockMs(Now)});
                      });
  }

  void hold(const dispatch::server_target &Target, const dispatch::hold_order &Order,
            std::function<void(hold_reply)> OnDone) override {
    call<hold_reply>(
        Target.Id, Order.Wait, std::move(OnDone),
        [this, Order](const std::string &Name, auto Reply) { All.serveHold(Name, Order, std::move(Reply)); });
  }

private:
  static bool isRunning(const simulated_server &Server, const dispatch::run_key &Run) {
    for (const dispatch::run_key &Each : Server.State->running())
      if (Each == Run)
        return true;
    return false;
  }

  [[nodiscard]] bool open(const std::string &Name) const {
    const simulated_server &Server = All.Servers.at(Name);
    return Server.State && !Server.Cut && !All.Network.cut(Vm, Server.Entry.Domain) &&
           !All.Network.cut(Server.Entry.Domain, Vm);
  }

  template <typename Reply>
  void call(const std::string &Name, duration Wait, std::function<void(Reply)> OnDone,
            std::function<void(const std::string &, std::function<void(Reply)>)> Serve) {
    auto Done = std::make_shared<bool>(false);
    auto Finish = [Done, OnDone](const Reply &Value) {
      if (!std::exchange(*Done, true))
        OnDone(Value);
    };
    if (!All.Servers.contains(Name) || !open(Name)) {
      Reply NotSent;
      NotSent.Outcome = order_outcome::NotSent;
      VmExecutor.after(ReplyTimeout, [Finish, NotSent] { Finish(NotSent); });
      return;
    }
    VmExecutor.after(Wait + ReplyTimeout, [Finish] { Finish(Reply{}); });
    std::uint64_t Life = All.Servers.at(Name).Life;
    bool IsLate = All.Random.uniform() < All.Options.LateOrders;
    bool IsLost = All.Random.uniform() < All.Options.LostAnswers;
    duration Delay = All.Network.delay();
    if (IsLate)
      Delay += runtime::fromMs(MinLateMs + All.Random.uniform() * (MaxLateMs - MinLateMs));
    auto Arrive = [Servers = &All, VmName = Vm, Name, Life, Serve, Finish, IsLate, IsLost,
                   Executor = &VmExecutor] {
      simulated_server &Server = Servers->Servers.at(Name);
      // What a cut holds up arrives after it at the same life only.
      if (!Server.State || Server.Life != Life)
        return;
      bool Reachable = IsLate || (!Server.Cut && !Servers->Network.cut(VmName, Server.Entry.Domain));
      if (!Reachable)
        return;
      Serve(Name, [Servers, Finish, IsLate, IsLost, Executor, VmName,
                   Domain = Server.Entry.Domain](const Reply &Value) {
        if (IsLate || IsLost || Servers->Network.cut(Domain, VmName))
          return;
        // The VM may have ended meanwhile; its executor then drops the reply.
        Executor->after(Servers->Network.delay(), [Finish, Value] { Finish(Value); });
      });
    };
    VmExecutor.sendOut([this, Delay, Arrive] { All.Executor.after(Delay, Arrive); });
  }

  simulated_servers &All;
  std::string Vm;
  vm_executor &VmExecutor;
};

void simulated_servers::add(const dispatch::server_entry &Entry, double ClockRate, double Slowness) {
  simulated_server &Server = Servers[Entry.Target.Id];
  Server.Entry = Entry;
  Server.ClockRate = ClockRate;
  Server.Slowness = Slowness;
  start(Entry.Target.Id);
}

std::vector<dispatch::server_entry> simulated_servers::entries() const {
  std::vector<dispatch::server_entry> Result;
  for (const auto &[Name, Server] : Servers)
    Result.push_back(Server.Entry);
  return Result;
}

std::unique_ptr<dispatch::server_orders> simulated_servers::ordersOf(const std::string &Vm,
                                                                     vm_executor &VmExecutor) {
  return std::make_unique<orders>(*this, Vm, VmExecutor);
}

void simulated_servers::crash(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  Server.State.reset();
  Server.Holds.clear();
  ++Server.Life;
}

void simulated_servers::start(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  if (Server.State)
    return;
  standin::task_server_options StateOptions;
  StateOptions.ClockRate = Server.ClockRate;
  auto IncarnationStartMs =
      static_cast<std::int64_t>(runtime::toMs(Executor.clock().now().time_since_epoch())) + 1;
  Server.State = std::make_unique<standin::task_server>(IncarnationStartMs, StateOptions);
}

void simulated_servers::setCut(const std::string &Name, bool IsCut) { Servers.at(Name).Cut = IsCut; }

void simulated_servers::serveHold(const std::string &Name, const dispatch::hold_order &Order,
                                  std::function<void(hold_reply)> Reply) {
  simulated_server &Server = Servers.at(Name);
  hold_reply Now = Server.State->hold(Executor.clock().now(), Order);
  watch(Name);
  bool Waits = Now.Outcome == order_outcome::Accepted && Now.Ended.empty() && Order.Wait > duration::zero();
  if (!Waits) {
    Reply(Now);
    return;
  }
  std::uint64_t Id = ++LastHold;
  Server.Holds.push_back({Id, Order, std::move(Reply)});
  Executor.after(Order.Wait, [this, Name, Id] {
    simulated_server &Later = Servers.at(Name);
    for (auto Hold = Later.Holds.begin(); Hold != Later.Holds.end(); ++Hold)
      if (Hold->Id == Id) {
        waiting_hold Due = std::move(*Hold);
        Later.Holds.erase(Hold);
        dispatch::hold_order Look = Due.Order;
        Look.LeaseEndMs.reset();
        Due.Reply(Later.State->hold(Executor.clock().now(), Look));
        return;
      }
  });
}

void simulated_servers::answerHolds(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  if (!Server.State || !Server.State->hasUnobservedEnds())
    return;
  std::vector<waiting_hold> Due;
  Due.swap(Server.Holds);
  for (waiting_hold &Hold : Due) {
    Hold.Order.LeaseEndMs.reset();
    Hold.Reply(Server.State->hold(Executor.clock().now(), Hold.Order));
  }
}

// Lets the server's time pass when something is due there.
void simulated_servers::watch(const std::string &Name) {
  auto Due = Servers.at(Name).State->nextEventTime();
  if (!Due)
    return;
  std::uint64_t Life = Servers.at(Name).Life;
  duration Delay = std::max(duration::zero(), *Due - Executor.clock().now());
  Executor.after(Delay, [this, Name, Life] {
    simulated_server &Server = Servers.at(Name);
    if (!Server.State || Server.Life != Life)
      return;
    Server.State->advance(Executor.clock().now());
    answerHolds(Name);
  });
}

std::vector<std::string> simulated_servers::running(const dispatch::task_key &Task) {
  std::vector<std::string> Result;
  for (auto &[Name, Server] : Servers) {
    if (!Server.State)
      continue;
    Server.State->advance(Executor.clock().now());
    for (const dispatch::run_key &Run : Server.State->running())
      if (Run.Task == Task)
        Result.push_back(Name);
  }
  return Result;
}

std::uint32_t simulated_servers::usedCpu(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  return Server.State ? Server.State->usedCpu() : 0;
}

std::vector<std::string> simulated_servers::names() const {
  std::vector<std::string> Result;
  for (const auto &[Name, Server] : Servers)
    Result.push_back(Name);
  return Result;
}

} // namespace yuccaplank::simulation
