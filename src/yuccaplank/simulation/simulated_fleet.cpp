#include "simulated_fleet.hpp"

#include <fmt/format.h>

#include <array>
#include <set>

namespace yuccaplank::simulation {
namespace {

// A VM gives up its roles after a longer pause, as the daemon does.
constexpr auto PauseLimit = std::chrono::milliseconds(450);
constexpr std::uint32_t EqualStrength = 1000;
constexpr auto UnequalStrengths = std::to_array<std::uint32_t>({90, 250, 500});

network_endpoint makeEndpoint(simulated_vm &Process, std::string Incarnation) {
  network_endpoint Endpoint;
  Endpoint.Incarnation = std::move(Incarnation);
  Endpoint.OnMessage = [&Process](const std::string &From, const std::string &Sender,
                                  const schema::dispatch_message &Message) {
    Process.Executor.guard(
        [&Process, From, Sender, Message] { Process.Vm->onMessage(From, Sender, Message); })();
  };
  Endpoint.OnClosed = [&Process](const std::string &Vm) {
    Process.Executor.guard([&Process, Vm] { Process.Vm->onClosed(Vm); })();
  };
  Endpoint.OnConnectFailed = [&Process](const std::string &Address) {
    Process.Executor.guard([&Process, Address] { Process.Vm->onConnectFailed(Address); })();
  };
  return Endpoint;
}

// Time until the VMs have read the entry of a restarted server.
constexpr runtime::duration RestartReadDelay = std::chrono::milliseconds(500);

std::uint32_t parseVmIndex(const std::string &VmName) {
  return static_cast<std::uint32_t>(std::stoul(VmName.substr(2)));
}

} // namespace

simulated_vm::simulated_vm(runtime::executor &Executor, network &Network, simulated_servers &Servers,
                           std::string Name, answer_function OnAnswer)
    : Executor(Executor), Network(Network), Name(std::move(Name)),
      Orders(Servers.makeOrders(this->Name, this->Executor)), OnAnswer(std::move(OnAnswer)),
      Servers(Servers) {}

void simulated_vm::start(dispatch::entry_vm_options Options) {
  Vm = dispatch::makeEntryVm(Executor, *this, std::move(Options));
}

void simulated_vm::send(const std::string &, const std::string &Address, schema::dispatch_message Message) {
  Executor.sendOut([this, Address, Message = std::move(Message)] { Network.send(Name, Address, Message); });
}

void simulated_vm::readServers() const {
  if (!ServersNeeded)
    return;
  if (!StoreRefused)
    Vm->setServers(Servers.entries(), Servers.version());
  Vm->onServersRead(StoreRefused ? std::nullopt : std::optional(Servers.version()),
                    Executor.clock().sinceBoot());
}

void simulated_vm::onServersNeeded(bool Needed) {
  ServersNeeded = Needed;
  if (!Needed)
    Vm->forgetServers();
  else if (!StoreRefused)
    Vm->setServers(Servers.entries(), Servers.version());
}

// The document of a simulated configuration consists of its version only.
void simulated_vm::onConfigurationOffered(const schema::configuration_copy &Copy) {
  dispatch::configuration Configuration = *Vm->currentConfiguration();
  Configuration.Version = Copy.version();
  Vm->setConfiguration(Configuration, Copy.document());
}

simulated_fleet::simulated_fleet(runtime::executor &Executor, runtime::random &Random, fleet_layout LayoutIn,
                                 simulated_servers::options ServerOptions, start_function OnStart,
                                 answer_function OnAnswer)
    : Executor(Executor), Random(Random), Layout(std::move(LayoutIn)), Net(Executor, Random),
      Servers(Executor, Net, Random, ServerOptions, std::move(OnStart)), OnAnswer(std::move(OnAnswer)) {
  Servers.observeListing([this] { publishServers([] { return RestartReadDelay; }); });
}

std::string simulated_fleet::vmName(std::uint32_t Index) { return fmt::format("vm{}", Index); }

std::uint32_t simulated_fleet::strengthOf(std::uint32_t Index) const {
  return Layout.EqualVms ? EqualStrength
                         : UnequalStrengths.at(Index / Layout.Domains % UnequalStrengths.size());
}

std::string simulated_fleet::domainOf(std::uint32_t Index) const {
  return fmt::format("d{}", Index % Layout.Domains);
}

std::vector<std::string> simulated_fleet::domains() const {
  std::vector<std::string> Result;
  for (std::uint32_t Index = 0; Index < Layout.Domains; ++Index)
    Result.push_back(domainOf(Index));
  return Result;
}

void simulated_fleet::start() {
  addServers();
  for (std::uint32_t Index = 0; Index < Layout.Vms; ++Index)
    startVm(vmName(Index));
}

void simulated_fleet::addServers() {
  for (std::uint32_t Index = 0; Index < Layout.Servers; ++Index) {
    dispatch::server_entry Entry;
    Entry.Target = {fmt::format("s{}", Index), fmt::format("s{}", Index)};
    Entry.Pool = PoolName;
    Entry.Domain = domainOf(Index);
    Entry.Rack = fmt::format("r{}", Index / 2);
    Entry.Capacity.set_cpu(Random.uniform() < 0.3 ? 96000 : 64000);
    Entry.Capacity.set_memory_mb(100000);
    constexpr auto Speeds = std::to_array({0.6, 1.0, 1.6});
    Servers.add(Entry, 1 - 0.02 * Random.uniform(), Speeds[Index % Speeds.size()]);
  }
}

void simulated_fleet::startVm(const std::string &Name) {
  auto &Slot = Vms[Name];
  if (Slot)
    Ended.push_back(std::move(Slot));
  Slot = std::make_unique<simulated_vm>(
      Executor, Net, Servers, Name, [this, Name](dispatch::job_id Job, const dispatch::job_answer &Answer) {
        OnAnswer(Name, Job, Answer);
      });
  simulated_vm &Process = *Slot;
  Process.StoreRefused = RefusedVms.contains(Name);
  Process.Executor.observeEndlessInstant([this, Name] {
    if (OnEndlessInstant)
      OnEndlessInstant(Name);
  });
  dispatch::entry_vm_options VmOptions;
  VmOptions.Vm = Name;
  VmOptions.Address = Name;
  // The clock origin differs from that of the former process, as in the daemon.
  VmOptions.View.ClockOrigin = static_cast<std::uint32_t>((LastRegistration + 1) * 1'000'003);
  VmOptions.Domain = domainOf(parseVmIndex(Name));
  VmOptions.Strength = strengthOf(parseVmIndex(Name));
  VmOptions.Dispatching.PerDomain = Layout.DispatchersPerDomain;
  VmOptions.Coordinator.RemoteFactor = Layout.RemoteFactor;
  Process.start(VmOptions);
  Net.attach(Name, makeEndpoint(Process, fmt::format("{}", ++LastRegistration)));
  registerVm(Process, LastRegistration);
}

void simulated_fleet::configure(simulated_vm &Process, std::uint64_t Version) const {
  dispatch::configuration Configuration;
  Configuration.Version = Version;
  Configuration.Queues.push_back(makeQueue(QueueName, 0));
  for (const dispatch::queue_settings &Queue : Layout.Queues)
    Configuration.Queues.push_back(Queue);
  Process.Vm->setConfiguration(Configuration, fmt::format("{}", Version));
}

void simulated_fleet::registerVm(simulated_vm &Process, std::uint64_t Registration) const {
  Process.Vm->setEvacuations(Evacuations);
  configure(Process, 1);
  dispatch::registered_vms Others;
  for (std::uint32_t Index = 0; Index < Layout.Vms; ++Index)
    if (vmName(Index) != Process.Name)
      Others[vmName(Index)] = {vmName(Index), domainOf(Index), strengthOf(Index), 0,
                               dispatch::CurrentProtocolVersion};
  Process.Vm->setRegisteredVms(Others);
  Process.Vm->setRegistration(Registration, true);
}

void simulated_fleet::endVm(const std::string &Name, bool PowerLoss) {
  Vms.at(Name)->Executor.end();
  Net.detach(Name, PowerLoss);
}

void simulated_fleet::setEvacuated(
    const std::string &Domain, bool IsEvacuated,
    const std::function<std::optional<runtime::duration>(const std::string &Vm)> &ReadDelay) {
  std::set<std::string> Domains(Evacuations.domains().begin(), Evacuations.domains().end());
  if (IsEvacuated)
    Domains.insert(Domain);
  else
    Domains.erase(Domain);
  Evacuations.set_version(Evacuations.version() + 1);
  Evacuations.clear_domains();
  for (const std::string &Evacuated : Domains)
    Evacuations.add_domains(Evacuated);
  for (auto &[Name, Process] : Vms)
    if (auto Delay = ReadDelay(Name))
      Executor.after(*Delay, Process->Executor.guard([Vm = Process.get(), State = Evacuations] {
        Vm->Vm->setEvacuations(State);
      }));
}

void simulated_fleet::setStoreRefused(const std::string &Name, bool IsRefused) {
  if (IsRefused)
    RefusedVms.insert(Name);
  else
    RefusedVms.erase(Name);
  vm(Name).StoreRefused = IsRefused;
}

void simulated_fleet::publishServers(const std::function<runtime::duration()> &ReadDelay) {
  for (auto &[Name, Process] : Vms)
    Executor.after(ReadDelay(), Process->Executor.guard([Vm = Process.get()] {
      if (Vm->ServersNeeded && !Vm->StoreRefused)
        Vm->Vm->setServers(Vm->Servers.entries(), Vm->Servers.version());
    }));
}

void simulated_fleet::setExtraDelay(const std::string &From, const std::string &To, runtime::duration Delay) {
  Net.setExtraDelay(From, To, Delay);
}

void simulated_fleet::pauseVm(const std::string &Name) {
  simulated_vm &Process = vm(Name);
  Process.Paused = true;
  Process.Executor.pause();
}

void simulated_fleet::resumeVm(const std::string &Name) {
  simulated_vm &Process = vm(Name);
  Process.Paused = false;
  Process.Executor.resume([&Process](runtime::duration Pause) {
    if (Pause > PauseLimit)
      Process.Vm->onPause();
  });
}

void simulated_fleet::setCut(const std::string &From, const std::string &To, bool IsCut) {
  Net.setCut(From, To, IsCut);
}

void simulated_fleet::forEachLink(
    const std::string &Domain,
    const std::function<void(const std::string &From, const std::string &To)> &Cut) const {
  auto BothWays = [&](const std::string &One, const std::string &Other) {
    Cut(One, Other);
    Cut(Other, One);
  };
  for (std::uint32_t One = 0; One < Layout.Vms; ++One) {
    if (domainOf(One) != Domain) {
      BothWays(vmName(One), Domain);
      continue;
    }
    for (std::uint32_t Other = 0; Other < Layout.Vms; ++Other)
      if (domainOf(Other) != Domain)
        BothWays(vmName(One), vmName(Other));
    for (const std::string &Other : domains())
      if (Other != Domain)
        BothWays(vmName(One), Other);
  }
}

void simulated_fleet::resetConnection(const std::string &One, const std::string &Other) {
  Net.disconnect(One, Other);
  simulated_vm &Process = vm(One);
  Executor.after(runtime::fromMs(1),
                 Process.Executor.guard([&Process, Other] { Process.Vm->onClosed(Other); }));
}

dispatch::queue_settings makeQueue(const std::string &Name, std::uint32_t Priority) {
  dispatch::queue_settings Queue;
  Queue.Name = Name;
  Queue.PathPrefix = Name;
  Queue.Pool = PoolName;
  Queue.Priority = Priority;
  Queue.MaxAttempts = 3;
  Queue.Stretch = 1.6;
  Queue.LatencyMs = 60;
  return Queue;
}

} // namespace yuccaplank::simulation
