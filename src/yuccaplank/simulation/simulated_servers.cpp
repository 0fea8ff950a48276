#include "simulated_servers.hpp"

namespace yuccaplank::simulation {

using dispatch::hold_reply;
using dispatch::order_outcome;
using dispatch::order_reply;
using runtime::duration;

namespace {

// Time that a VM waits for a reply, in addition to the waiting time of a hold.
constexpr auto ReplyTimeout = std::chrono::milliseconds(250);
// Time until a VM learns that nothing listens at an address.
constexpr auto RefusalDelay = std::chrono::milliseconds(2);
constexpr double MinLateDelayMs = 2000;
constexpr double MaxLateDelayMs = 12000;
// Time that a task takes to crash its server, and the server takes to restart.
constexpr auto CrashDelay = std::chrono::milliseconds(10);
constexpr auto CrashRestartDelay = std::chrono::milliseconds(3300);
// Time after which a smaller capacity binds: the platform's contact timeout and a heartbeat of the server.
constexpr auto CapacityNotice = std::chrono::milliseconds(4500);
// Three heartbeats of a server without one that reaches the platform, and the time to the next heartbeat.
constexpr auto UnlistDelay = std::chrono::milliseconds(4500);
constexpr auto ListDelay = std::chrono::milliseconds(750);
// Run time of a task on a server that hangs; it has to exceed the simulated day.
constexpr auto HangDuration = std::chrono::hours(1);

// Returns a number from 0 to 1 that is the same for each run of the task. Salt distinguishes uses.
double taskShare(const dispatch::task_key &Task, std::uint64_t Salt) {
  std::uint64_t Value = (Task.Job.digits() ^ Salt) + Task.Index * 0x9E3779B97F4A7C15ULL;
  Value = (Value ^ (Value >> 31U)) * 0xBF58476D1CE4E5B9ULL;
  return static_cast<double>((Value ^ (Value >> 29U)) >> 11U) * 0x1.0p-53;
}
constexpr std::uint64_t LongTaskSalt = 1;
constexpr std::uint64_t FailingJobSalt = 2;

} // namespace

standin::run_work simulated_servers::makeWork(const simulated_server &Server,
                                              const dispatch::start_order &Order) {
  standin::run_work Work = standin::decodeWork(Order.Specification);
  double Factor = Server.Slowness * Server.Slowdown;
  if (!Work.Rack.empty() && Work.Rack != Server.Entry.Rack)
    Factor *= Options.RemoteFactor;
  if (taskShare(Order.Run.Task, LongTaskSalt) < Options.LongTaskShare)
    Factor *= Options.LongTaskFactor;
  Work.Duration = runtime::fromMs(runtime::toMs(Work.Duration) * Factor);
  Work.Fails = taskShare({Order.Run.Task.Job, 0}, FailingJobSalt) < FailingJobShare ||
               happens(Server.FailingShare) || happens(Options.FailedRunShare);
  if (happens(Server.HangingShare))
    Work.Duration = HangDuration;
  return Work;
}

// Sends the orders of one VM to the servers.
class simulated_servers::orders final : public dispatch::server_orders {
public:
  orders(simulated_servers &Servers, std::string Vm, vm_executor &VmExecutor)
      : AllServers(Servers), Vm(std::move(Vm)), VmExecutor(VmExecutor) {}

  void start(const dispatch::server_target &Target, dispatch::start_order Order,
             std::function<void(order_reply)> OnDone) override {
    if (AllServers.OnStartOrder)
      AllServers.OnStartOrder(Vm, Target.Id);
    call<order_reply>(Target.Id, {}, std::move(OnDone), [this, Order](const std::string &Name, auto Reply) {
      simulated_server &Server = AllServers.Servers.at(Name);
      runtime::time_point Now = AllServers.Executor.clock().now();
      bool AlreadyRunning = isRunning(Server, Order.Run);
      standin::run_work Work = AllServers.makeWork(Server, Order);
      auto Outcome = Server.State->start(Now, Order, Work);
      if (Outcome == order_outcome::Accepted && !AlreadyRunning) {
        AllServers.OnStart(Name, Order.Run);
        AllServers.crashIfTaskDoes(Name, Order.Run, Work);
      }
      AllServers.scheduleAdvance(Name);
      Reply({Outcome, Server.State->clockMs(Now)});
    });
  }

  void stop(const dispatch::server_target &Target, const dispatch::run_key &Run, std::uint64_t FencingToken,
            std::function<void(order_reply)> OnDone) override {
    bool AlwaysLate = AllServers.HasLateStops && AllServers.HasLateStops(Run.Task);
    call<order_reply>(
        Target.Id, {}, std::move(OnDone),
        [this, Run, FencingToken](const std::string &Name, auto Reply) {
          simulated_server &Server = AllServers.Servers.at(Name);
          runtime::time_point Now = AllServers.Executor.clock().now();
          auto Outcome = Server.State->stop(Now, Run, FencingToken);
          AllServers.scheduleAdvance(Name);
          Reply({Outcome, Server.State->clockMs(Now)});
        },
        AlwaysLate);
  }

  void hold(const dispatch::server_target &Target, const dispatch::hold_order &Order,
            std::function<void(hold_reply)> OnDone) override {
    call<hold_reply>(Target.Id, Order.Wait, std::move(OnDone),
                     [this, Order](const std::string &Name, auto Reply) {
                       AllServers.serveHold(Name, Order, std::move(Reply));
                     });
  }

private:
  static bool isRunning(const simulated_server &Server, const dispatch::run_key &Run) {
    for (const dispatch::run_key &Running : Server.State->running())
      if (Running == Run)
        return true;
    return false;
  }

  [[nodiscard]] bool isCutOff(const simulated_server &Server) const {
    return Server.Cut != server_cut::None || resetsConnections(Server) ||
           AllServers.Network.isCut(Vm, Server.Entry.Domain) ||
           AllServers.Network.isCut(Server.Entry.Domain, Vm);
  }
  [[nodiscard]] bool resetsConnections(const simulated_server &Server) const {
    return Server.Cut == server_cut::Resets || Server.ResetPaths.contains(Vm);
  }
  [[nodiscard]] bool reachable(const std::string &Name) const {
    const simulated_server &Server = AllServers.Servers.at(Name);
    return Server.State && !isCutOff(Server);
  }
  // The machine of a crashed server refuses connections unless it is down, too.
  [[nodiscard]] bool refusesConnections(const std::string &Name) const {
    auto Server = AllServers.Servers.find(Name);
    if (Server == AllServers.Servers.end())
      return false;
    return resetsConnections(Server->second) ||
           (!Server->second.State && !Server->second.MachineDown && !isCutOff(Server->second));
  }

  template <typename Reply>
  void call(const std::string &Name, duration Wait, std::function<void(Reply)> OnDone,
            std::function<void(const std::string &, std::function<void(Reply)>)> Serve,
            bool AlwaysLate = false) {
    auto Done = std::make_shared<bool>(false);
    auto Finish = [Done, OnDone](const Reply &Value) {
      if (!std::exchange(*Done, true))
        OnDone(Value);
    };
    if (!AllServers.Servers.contains(Name) || !reachable(Name)) {
      bool Refused = refusesConnections(Name);
      Reply Undelivered;
      Undelivered.Outcome = Refused ? order_outcome::ConnectionRefused : order_outcome::NotSent;
      VmExecutor.after(Refused ? RefusalDelay : ReplyTimeout, [Finish, Undelivered] { Finish(Undelivered); });
      return;
    }
    VmExecutor.after(Wait + ReplyTimeout, [Finish] { Finish(Reply{}); });
    std::uint64_t Incarnation = AllServers.Servers.at(Name).Incarnation;
    bool IsLate = AllServers.Random.uniform() < AllServers.Options.LateOrderShare || AlwaysLate;
    bool IsLost = AllServers.Random.uniform() < AllServers.Options.LostAnswerShare;
    duration Delay = AllServers.Network.sampleDelay();
    if (IsLate)
      Delay +=
          runtime::fromMs(MinLateDelayMs + AllServers.Random.uniform() * (MaxLateDelayMs - MinLateDelayMs));
    auto Arrive = [Servers = &AllServers, VmName = Vm, Name, Incarnation, Serve, Finish, IsLate, IsLost,
                   Executor = &VmExecutor] {
      simulated_server &Server = Servers->Servers.at(Name);
      // An order reaches only the incarnation of the server to which it was sent.
      if (!Server.State || Server.Incarnation != Incarnation)
        return;
      bool Reachable = IsLate || (Server.Cut == server_cut::None && !Server.ResetPaths.contains(VmName) &&
                                  !Servers->Network.isCut(VmName, Server.Entry.Domain));
      if (!Reachable)
        return;
      Serve(Name, [Servers, Finish, IsLate, IsLost, Executor, VmName,
                   Domain = Server.Entry.Domain](const Reply &Value) {
        if (IsLate || IsLost || Servers->Network.isCut(Domain, VmName))
          return;
        // The VM's executor drops the reply when the VM has ended meanwhile.
        Executor->after(Servers->Network.sampleDelay(), [Finish, Value] { Finish(Value); });
      });
    };
    VmExecutor.sendOut([this, Delay, Arrive] { AllServers.Executor.after(Delay, Arrive); });
  }

  simulated_servers &AllServers;
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
    if (Server.Listed)
      Result.push_back(Server.Entry);
  return Result;
}

std::unique_ptr<dispatch::server_orders> simulated_servers::makeOrders(const std::string &Vm,
                                                                       vm_executor &VmExecutor) {
  return std::make_unique<orders>(*this, Vm, VmExecutor);
}

void simulated_servers::crash(const std::string &Name, bool MachineDown) {
  simulated_server &Server = Servers.at(Name);
  if (OnCrash && Server.State) {
    Server.State->advance(Executor.clock().now());
    OnCrash({Server.State->running(), Server.State->unobservedEnds()});
  }
  Server.MachineDown = MachineDown;
  Server.State.reset();
  Server.Holds.clear();
  ++Server.Incarnation;
  scheduleListing(Name);
}

void simulated_servers::setCut(const std::string &Name, server_cut Cut) {
  Servers.at(Name).Cut = Cut;
  scheduleListing(Name);
}

void simulated_servers::scheduleListing(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  bool Reaches = Server.State && Server.Cut == server_cut::None;
  if (Reaches == Server.ReachesPlatform)
    return;
  Server.ReachesPlatform = Reaches;
  std::uint64_t Change = ++Server.PlatformChanges;
  Executor.after(Reaches ? ListDelay : UnlistDelay, [this, Name, Reaches, Change] {
    if (Servers.at(Name).PlatformChanges == Change)
      setListed(Name, Reaches);
  });
}

void simulated_servers::setListed(const std::string &Name, bool Listed) {
  bool &Current = Servers.at(Name).Listed;
  if (Current == Listed)
    return;
  Current = Listed;
  ++Version;
  if (OnListingChanged)
    OnListingChanged();
}

void simulated_servers::crashIfTaskDoes(const std::string &Name, const dispatch::run_key &Run,
                                        const standin::run_work &Work) {
  if (Work.CrashingTask != Run.Task.Index)
    return;
  std::uint64_t Incarnation = Servers.at(Name).Incarnation;
  Executor.after(CrashDelay, [this, Name, Incarnation] {
    if (Servers.at(Name).Incarnation != Incarnation)
      return;
    crash(Name);
    Executor.after(CrashRestartDelay, [this, Name] { start(Name); });
  });
}

void simulated_servers::start(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  if (Server.State)
    return;
  standin::task_server_options StateOptions;
  StateOptions.ClockRate = Server.ClockRate;
  StateOptions.OnLapsed = [this](const dispatch::run_key &Run) {
    if (OnLapsed)
      OnLapsed(Run);
  };
  auto IncarnationStartMs =
      static_cast<std::int64_t>(runtime::toMs(Executor.clock().now().time_since_epoch())) + 1;
  Server.State = std::make_unique<standin::task_server>(IncarnationStartMs, StateOptions);
  Server.Entry.IncarnationStartMs = IncarnationStartMs;
  Server.FormerCapacities.clear();
  scheduleListing(Name);
  ++Version;
  if (OnListingChanged)
    OnListingChanged();
}

void simulated_servers::setCapacity(const std::string &Name, std::uint32_t Cpu) {
  simulated_server &Server = Servers.at(Name);
  Server.FormerCapacities.emplace_back(Executor.clock().now(), Server.Entry.Capacity.cpu());
  Server.Entry.Capacity.set_cpu(Cpu);
  ++Version;
}

std::uint32_t simulated_servers::bindingCapacityCpu(const std::string &Name) const {
  const simulated_server &Server = Servers.at(Name);
  std::uint32_t Cpu = Server.Entry.Capacity.cpu();
  for (const auto &[Until, Former] : Server.FormerCapacities)
    if (Executor.clock().now() - Until < CapacityNotice)
      Cpu = std::max(Cpu, Former);
  return Cpu;
}

void simulated_servers::setPathReset(const std::string &Name, const std::string &Vm, bool IsCut) {
  if (IsCut)
    Servers.at(Name).ResetPaths.insert(Vm);
  else
    Servers.at(Name).ResetPaths.erase(Vm);
}

void simulated_servers::serveHold(const std::string &Name, const dispatch::hold_order &Order,
                                  std::function<void(hold_reply)> Reply) {
  simulated_server &Server = Servers.at(Name);
  hold_reply Immediate = Server.State->hold(Executor.clock().now(), Order);
  scheduleAdvance(Name);
  bool Waits = Immediate.Outcome == order_outcome::Accepted && Immediate.Ended.empty() &&
               Order.Wait > duration::zero();
  if (!Waits) {
    Reply(Immediate);
    return;
  }
  std::uint64_t Id = ++LastHold;
  Server.Holds.push_back({Id, Order, std::move(Reply)});
  Executor.after(Order.Wait, [this, Name, Id] {
    simulated_server &HoldingServer = Servers.at(Name);
    for (auto Hold = HoldingServer.Holds.begin(); Hold != HoldingServer.Holds.end(); ++Hold)
      if (Hold->Id == Id) {
        pending_hold Due = std::move(*Hold);
        HoldingServer.Holds.erase(Hold);
        dispatch::hold_order OrderWithoutLease = Due.Order;
        OrderWithoutLease.LeaseEndMs.reset();
        Due.Reply(HoldingServer.State->hold(Executor.clock().now(), OrderWithoutLease));
        return;
      }
  });
}

void simulated_servers::answerHolds(const std::string &Name) {
  simulated_server &Server = Servers.at(Name);
  if (!Server.State || !Server.State->hasUnobservedEnds())
    return;
  std::vector<pending_hold> Due;
  Due.swap(Server.Holds);
  for (pending_hold &Hold : Due) {
    Hold.Order.LeaseEndMs.reset();
    Hold.Reply(Server.State->hold(Executor.clock().now(), Hold.Order));
  }
}

// Advances the server's state to the current time when its next event is due.
void simulated_servers::scheduleAdvance(const std::string &Name) {
  auto Due = Servers.at(Name).State->nextEventTime();
  if (!Due)
    return;
  std::uint64_t Incarnation = Servers.at(Name).Incarnation;
  duration Delay = std::max(duration::zero(), *Due - Executor.clock().now());
  Executor.after(Delay, [this, Name, Incarnation] {
    simulated_server &Server = Servers.at(Name);
    if (!Server.State || Server.Incarnation != Incarnation)
      return;
    Server.State->advance(Executor.clock().now());
    answerHolds(Name);
  });
}

std::vector<std::string> simulated_servers::serversRunning(const dispatch::task_key &Task) {
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
