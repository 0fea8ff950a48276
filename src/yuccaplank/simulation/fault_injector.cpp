#include "fault_injector.hpp"

#include <fmt/format.h>

#include <array>

namespace yuccaplank::simulation {
namespace {

using runtime::duration;
using runtime::fromMs;

class fault_injector_impl final : public fault_injector {
public:
  fault_injector_impl(const simulation_context &Context, std::function<void(const std::string &Vm)> OnVmEnded)
      : Context(Context), OnVmEnded(std::move(OnVmEnded)) {}

  void start(runtime::time_point End) override {
    Until = End;
    scheduleNext();
  }
  [[nodiscard]] std::uint64_t count() const override { return Count; }

private:
  void scheduleNext() {
    Context.Executor.after(fromMs(2000 / Context.Options.FaultsPerSecond * Context.Random.uniform()), [this] {
      if (Context.now() >= Until)
        return;
      ++Count;
      std::size_t FaultKindCount = Context.Options.EnableLags ? Faults.size() : Faults.size() - LagFaultCount;
      (this->*Faults[Context.Random.next() % FaultKindCount])();
      scheduleNext();
    });
  }

  // Short durations are more likely, so that most faults end before the callers give up.
  duration randomFaultDuration() {
    return fromMs(100 + 2500 * Context.Random.uniform() * Context.Random.uniform());
  }

  void endRandomVm(bool PowerLoss) {
    std::string Name = Context.randomVm();
    simulated_vm &Process = Context.Fleet.vm(Name);
    if (Process.Executor.alive() && !Process.Paused)
      endVm(Name, PowerLoss);
  }
  void endVm(const std::string &Name, bool PowerLoss) {
    Context.trace(fmt::format("{} {}", Name, PowerLoss ? "loses power" : "is killed"));
    Context.Fleet.endVm(Name, PowerLoss);
    OnVmEnded(Name);
    Context.Executor.after(randomFaultDuration(), [this, Name] {
      Context.trace(fmt::format("{} restarts", Name));
      Context.Fleet.startVm(Name);
    });
  }
  void killVm() { endRandomVm(false); }
  void powerOff() { endRandomVm(true); }

  void pauseVm() {
    std::string Name = Context.randomVm();
    simulated_vm *Process = &Context.Fleet.vm(Name);
    if (!Process->Executor.alive() || Process->Paused)
      return;
    Context.trace(fmt::format("{} is paused", Name));
    Context.Fleet.pauseVm(Name);
    Context.Executor.after(randomFaultDuration(), [this, Name, Process] {
      if (!Process->Executor.alive())
        return;
      Context.trace(fmt::format("{} resumes", Name));
      Context.Fleet.resumeVm(Name);
    });
  }

  void cutLink(const std::string &From, const std::string &To, duration Duration) {
    if (From == To || Context.Fleet.net().isCut(From, To))
      return;
    Context.trace(fmt::format("{} to {} is cut for {} ms", From, To, runtime::toMs(Duration)));
    Context.Fleet.setCut(From, To, true);
    Context.Executor.after(Duration, [this, From, To] {
      Context.trace(fmt::format("{} to {} is restored", From, To));
      Context.Fleet.setCut(From, To, false);
    });
  }
  void cutOneWay() { cutLink(Context.randomVm(), Context.randomVm(), randomFaultDuration()); }
  void cutPair() {
    std::string One = Context.randomVm();
    std::string Other = Context.randomVm();
    duration Duration = randomFaultDuration();
    cutLink(One, Other, Duration);
    cutLink(Other, One, Duration);
  }
  void cutDomain() {
    std::string Domain =
        Context.Fleet.domainOf(static_cast<std::uint32_t>(Context.Random.next() % Context.Options.Domains));
    duration Duration = randomFaultDuration();
    Context.Fleet.forEachLink(Domain, [this, Duration](const std::string &From, const std::string &To) {
      cutLink(From, To, Duration);
    });
  }
  void resetConnection() {
    std::string One = Context.randomVm();
    std::string Other = Context.randomVm();
    Context.trace(fmt::format("connection of {} and {} is reset", One, Other));
    Context.Fleet.resetConnection(One, Other);
  }
  void cutServer() {
    std::string Name = Context.randomServer();
    Context.trace(fmt::format("{} is cut off", Name));
    Context.Fleet.servers().setCut(Name, server_cut::Silent);
    Context.Executor.after(randomFaultDuration(),
                           [this, Name] { Context.Fleet.servers().setCut(Name, server_cut::None); });
  }
  void crashServer() {
    std::string Name = Context.randomServer();
    bool MachineDown = Count % 2 == 0;
    Context.trace(fmt::format("{} crashes{}", Name, MachineDown ? " with its machine" : ""));
    Context.Fleet.servers().crash(Name, MachineDown);
    Context.Executor.after(randomFaultDuration(), [this, Name] {
      Context.trace(fmt::format("{} restarts", Name));
      Context.Fleet.servers().start(Name);
    });
  }
  void failServer() {
    std::string Name = Context.randomServer();
    Context.Fleet.servers().setFailing(Name, 1);
    Context.Executor.after(randomFaultDuration(),
                           [this, Name] { Context.Fleet.servers().setFailing(Name, 0); });
  }
  void hangServer() {
    std::string Name = Context.randomServer();
    Context.Fleet.servers().setHanging(Name, 1);
    Context.Executor.after(randomFaultDuration(),
                           [this, Name] { Context.Fleet.servers().setHanging(Name, 0); });
  }

  duration randomLag() { return fromMs(200 + 2800 * Context.Random.uniform() * Context.Random.uniform()); }
  void lagVm() {
    std::string Name = Context.randomVm();
    simulated_vm *Process = &Context.Fleet.vm(Name);
    if (!Process->Executor.alive())
      return;
    vm_lag Lag;
    std::uint64_t Kind = Context.Random.next() % 4;
    if (Kind != 0)
      Lag.ArrivalDelay = randomLag();
    Lag.DelayTimers = Kind == 2;
    if (Kind != 1)
      Lag.SendDelay = randomLag();
    Context.trace(fmt::format("{} lags: arrivals {} ms{}, sends {} ms", Name, runtime::toMs(Lag.ArrivalDelay),
                              Lag.DelayTimers ? " and timers" : "", runtime::toMs(Lag.SendDelay)));
    Process->Executor.setLag(Lag);
    Context.Executor.after(randomFaultDuration(), [this, Name, Process] {
      Context.trace(fmt::format("{} no longer lags", Name));
      Process->Executor.setLag({});
    });
  }
  void lagLink() {
    std::string From = Context.randomVm();
    std::string To = Context.randomVm();
    duration Lag = randomLag();
    Context.trace(fmt::format("{} to {} is delayed by {} ms", From, To, runtime::toMs(Lag)));
    Context.Fleet.setExtraDelay(From, To, Lag);
    Context.Executor.after(randomFaultDuration(),
                           [this, From, To] { Context.Fleet.setExtraDelay(From, To, {}); });
  }
  // Drains, ends and restarts half of the VMs, one after the other.
  void restartVmsInTurn() {
    auto First = static_cast<std::uint32_t>(Context.Random.next());
    for (std::uint32_t Index = 0; Index < (Context.Options.Vms + 1) / 2; ++Index)
      Context.Executor.after(fromMs(RestartIntervalMs * Index),
                             [this, Name = simulated_fleet::vmName((First + Index) % Context.Options.Vms)] {
                               drainAndRestartVm(Name);
                             });
  }
  void drainAndRestartVm(const std::string &Name) {
    simulated_vm *Process = &Context.Fleet.vm(Name);
    if (!Process->Executor.alive())
      return;
    Context.trace(fmt::format("{} drains", Name));
    Process->Executor.guard([Process] { Process->Vm->drain(); })();
    Context.Executor.after(fromMs(DrainDurationMs), [this, Name, Process] {
      if (Process->Executor.alive())
        endVm(Name, false);
    });
  }

  static constexpr double RestartIntervalMs = 400;
  static constexpr double DrainDurationMs = 800;
  static constexpr auto Faults = std::to_array<void (fault_injector_impl::*)()>(
      {&fault_injector_impl::killVm, &fault_injector_impl::powerOff, &fault_injector_impl::pauseVm,
       &fault_injector_impl::cutOneWay, &fault_injector_impl::cutPair, &fault_injector_impl::cutDomain,
       &fault_injector_impl::resetConnection, &fault_injector_impl::cutServer,
       &fault_injector_impl::crashServer, &fault_injector_impl::failServer, &fault_injector_impl::hangServer,
       &fault_injector_impl::lagVm, &fault_injector_impl::lagVm, &fault_injector_impl::lagLink,
       &fault_injector_impl::restartVmsInTurn});
  // Number of the last entries of Faults that need EnableLags.
  static constexpr std::size_t LagFaultCount = 4;

  simulation_context Context;
  std::function<void(const std::string &Vm)> OnVmEnded;
  runtime::time_point Until{};
  std::uint64_t Count = 0;
};

} // namespace

std::unique_ptr<fault_injector> makeFaultInjector(const simulation_context &Context,
                                                  std::function<void(const std::string &Vm)> OnVmEnded) {
  return std::make_unique<fault_injector_impl>(Context, std::move(OnVmEnded));
}

} // namespace yuccaplank::simulation
