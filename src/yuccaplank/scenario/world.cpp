#include "world.hpp"
#include "yuccaplank/model/job_id.hpp"

#include <fmt/format.h>

#include <unordered_map>

namespace yuccaplank::scenario {
namespace {

using runtime::errc;
using wire::attempt_verdict;

std::string domainOfVm(const std::string &Name) { return Name.substr(0, Name.rfind('-')); }
std::string addressOfVm(const std::string &Name) { return Name + ":1"; }

} // namespace

struct world::vm {
  vm(runtime::executor &Executor, std::string GivenName)
      : Name(std::move(GivenName)), Domain(domainOfVm(Name)), Executor(Executor) {}
  std::string Name;
  std::string Domain;
  schema::incarnation Self;
  vm_executor Executor;
  std::unique_ptr<storage::table> Table;
  std::unique_ptr<node::ports> Ports;
  std::unique_ptr<node::entry_node> Node;
};

class world::vm_ports final : public node::ports {
public:
  vm_ports(world &World, vm &Vm) : World(World), Vm(Vm) {}

  void sendToPeer(const std::string &Name, const std::string &Address, schema::envelope Message) override {
    World.deliver(Vm, Name, Address, std::move(Message));
  }
  void disconnectPeer(const std::string &) override {}

  void startTask(node::task_order Order, std::function<void(node::task_report)> OnDone) override {
    auto Reply = [this, OnDone = std::move(OnDone)](const node::task_report &Report) {
      World.Executor->after(latency(), Vm.Executor.guard([OnDone, Report] { OnDone(Report); }));
    };
    bool Connected = World.connected(Vm.Domain, World.Servers.domainOf(Order.Server));
    if (!Connected) {
      Reply({{attempt_verdict::NotStarted, errc::ConnectFailed, false}, {}});
      return;
    }
    World.Executor->after(latency(), [this, Order = std::move(Order), Reply] {
      World.Servers.start(Order, [this, Reply, Server = Order.Server](node::task_report Report) {
        bool Lost = !World.connected(Vm.Domain, World.Servers.domainOf(Server));
        Reply(Lost ? node::task_report{{attempt_verdict::StartedAndFailed, errc::ConnectionLost, false}, {}}
                   : std::move(Report));
      });
    });
  }

  void stopTask(const std::string &TaskId, const std::string &) override {
    World.Executor->after(latency(), [this, TaskId] { World.Servers.stop(TaskId); });
  }

  void checkServer(const std::string &Address, std::function<void(bool)> OnDone) override {
    bool Reachable = World.connected(Vm.Domain, World.Servers.domainOf(Address.substr(0, Address.find(':'))));
    World.Executor->after(latency(),
                          Vm.Executor.guard([OnDone = std::move(OnDone), Reachable] { OnDone(Reachable); }));
  }

private:
  [[nodiscard]] runtime::duration latency() const { return runtime::fromMs(World.Options.LatencyMs); }
  world &World;
  vm &Vm;
};

template <typename Reply> using callback = std::function<void(runtime::result<Reply>)>;

// Client of the platform whose callbacks obey the state of the VM.
class guarded_table final : public storage::table {
public:
  guarded_table(vm_executor &Executor, std::unique_ptr<storage::table> Table)
      : Executor(Executor), Table(std::move(Table)) {}
  void commit(storage::table_transaction Transaction, callback<storage::transaction_reply> OnDone) override {
    Table->commit(std::move(Transaction), guard(std::move(OnDone)));
  }
  void read(std::string Key, callback<storage::table_row> OnDone) override {
    Table->read(std::move(Key), guard(std::move(OnDone)));
  }
  void rows(std::string Prefix, callback<std::vector<storage::table_row>> OnDone) override {
    Table->rows(std::move(Prefix), guard(std::move(OnDone)));
  }
  void changes(std::string Prefix, std::uint64_t After, callback<storage::table_changes> OnDone) override {
    Table->changes(std::move(Prefix), After, guard(std::move(OnDone)));
  }
  void vms(callback<schema::vm_list> OnDone) override { Table->vms(guard(std::move(OnDone))); }
  [[nodiscard]] counters totals() const override { return Table->totals(); }

private:
  template <typename Reply> callback<Reply> guard(callback<Reply> OnDone) {
    return [this, OnDone = std::move(OnDone)](runtime::result<Reply> Result) {
      Executor.guard([OnDone, Result = std::move(Result)] { OnDone(Result); })();
    };
  }
  vm_executor &Executor;
  std::unique_ptr<storage::table> Table;
};

world::world(const world_options &Options)
    : Options(Options), Platform(storage::makeFakePlatform(*Executor, {.Seed = Options.Seed})) {
  int Number = 0;
  for (const std::string &Domain : Options.Domains) {
    for (int Index = 1; Index <= Options.ServersPerDomain; ++Index) {
      schema::backend_entry Entry;
      Entry.set_id(fmt::format("{}-s{}", Domain, Index));
      Entry.set_domain(Domain);
      Entry.set_address(Entry.id() + ":1");
      Entry.set_pool("default");
      Entry.set_slots(static_cast<std::uint32_t>(Options.Slots));
      Entry.set_connections(60);
      Entry.set_cores(64);
      Entry.set_memory_mb(131072);
      Servers.add(Entry, Options.Speeds[static_cast<std::size_t>(Number++) % Options.Speeds.size()]);
    }
    for (int Index = 1; Index <= Options.VmsPerDomain; ++Index)
      Listed.insert(fmt::format("{}-{}", Domain, Index));
  }
  updateVmList();
  for (const std::string &Name : std::set<std::string>(Listed))
    startVm(Name);
}

world::~world() = default;

void world::restore() {
  if (auto Copy = storage::readBackup(Backup))
    Platform->state() = Copy.value();
}

void world::run(double Milliseconds) { Executor->advance(runtime::fromMs(Milliseconds)); }

double world::nowMs() const { return runtime::toMs(Executor->clock().now().time_since_epoch()); }

void world::startVm(const std::string &Name) {
  // Start times differ, so that the oldest incarnation is known.
  run(1);
  auto Vm = std::make_unique<vm>(*Executor, Name);
  Vm->Self.set_vm(Name);
  Vm->Self.set_started_ms(Executor->clock().unixMs());
  Vm->Self.set_nonce(++LastNonce);
  Vm->Ports = std::make_unique<vm_ports>(*this, *Vm);
  auto Blocked = [this, Domain = Vm->Domain] { return CutFromPlatform.contains(Domain); };
  Vm->Table = std::make_unique<guarded_table>(Vm->Executor, Platform->makeClient(Blocked));
  node::entry_node_options NodeOptions;
  NodeOptions.Self = Vm->Self;
  NodeOptions.Domain = Vm->Domain;
  NodeOptions.PeerAddress = addressOfVm(Name);
  if (Options.OneDispatcher)
    NodeOptions.DispatchGroup = Options.Domains;
  NodeOptions.Seed = Options.Seed * 1000 + LastNonce;
  for (const std::string &Other : Listed)
    if (Other != Name)
      NodeOptions.SeedPeers.push_back(addressOfVm(Other));
  Vm->Node = node::makeEntryNode(Vm->Executor, *Vm->Ports, *Vm->Table, NodeOptions);
  vm &Started = *Vm;
  if (Vms.contains(Name))
    Ended.push_back(std::move(Vms[Name]));
  Vms[Name] = std::move(Vm);
  Started.Node->start();
}

void world::killVm(const std::string &Name, bool Silent) {
  vm &Victim = *Vms.at(Name);
  Victim.Executor.end();
  for (submission_record &Record : Submissions)
    if (Record.Vm == Name && !Record.Answered)
      Record.ConnectionLost = true;
  if (Silent)
    return;
  // The operating system closes the connections of an ended process.
  for (auto &[Other, Vm] : Vms)
    if (Other != Name && connected(Vm->Domain, Victim.Domain))
      Executor->after(
          runtime::fromMs(Options.LatencyMs),
          Vm->Executor.guard([Node = Vm->Node.get(), Self = Victim.Self] { Node->onPeerClosed(Self); }));
}

void world::pauseVm(const std::string &Name) { Vms.at(Name)->Executor.pause(); }

void world::resumeVm(const std::string &Name) {
  vm &Vm = *Vms.at(Name);
  Vm.Executor.resume([&](runtime::duration Pause) {
    // The daemon reports only pauses of 1.3 s or longer.
    if (Pause >= std::chrono::milliseconds(1300))
      Vm.Node->onPause(Pause);
  });
}

void world::drainVm(const std::string &Name) {
  Vms.at(Name)->Node->drain([this, Name] {
    Drained.insert(Name);
    killVm(Name, false);
  });
}

void world::listVm(const std::string &Name, bool IsListed) {
  if (IsListed)
    Listed.insert(Name);
  else
    Listed.erase(Name);
  updateVmList();
}

void world::separate(const std::string &Domain, bool FromPlatform) {
  Separated.insert(Domain);
  if (FromPlatform)
    CutFromPlatform.insert(Domain);
}

void world::heal() {
  Separated.clear();
  CutFromPlatform.clear();
}

node::entry_node &world::node(const std::string &Vm) { return *Vms.at(Vm)->Node; }

std::vector<std::string> world::issueIds(const std::string &Vm, int Count) {
  std::vector<std::string> Issued;
  node(Vm).issueIds(static_cast<std::uint32_t>(Count),
                    [&Issued](runtime::result<std::vector<std::string>> Ids) {
                      if (Ids)
                        Issued = std::move(Ids.value());
                    });
  // A request to the dispatcher is answered within 500 ms or given up.
  for (int Step = 0; Step < 60 && Issued.empty(); ++Step)
    run(10);
  return Issued;
}

std::size_t world::record(const std::string &Vm, const std::string &Id, const schema::job &Job) {
  submission_record Record;
  Record.Id = Id;
  Record.Vm = Vm;
  Record.Job = Job;
  Record.ConnectionLost = !Vms.at(Vm)->Executor.alive();
  Submissions.push_back(std::move(Record));
  return Submissions.size() - 1;
}

node::answer_function world::recorder(std::size_t Index) {
  double Started = nowMs();
  return [this, Index, Started](const schema::job_answer &Answer) {
    submission_record &Record = Submissions[Index];
    Record.Answered = true;
    Record.Answer = Answer;
    Record.TookMs = nowMs() - Started;
    if (Record.Id.empty())
      Record.Id = Answer.id();
  };
}

std::size_t world::submit(const std::string &Vm, const std::string &Id, const schema::job &Job) {
  std::size_t Index = record(Vm, Id, Job);
  if (!Submissions[Index].ConnectionLost)
    node(Vm).submit({Id, Job, false}, recorder(Index));
  return Index;
}

void world::cancel(const std::string &Vm, const std::string &Id) {
  node(Vm).cancel(Id, [](const schema::job_answer &) {});
}

std::size_t world::query(const std::string &Vm, const std::string &Id) {
  std::size_t Index = record(Vm, {}, {});
  node(Vm).query(Id, 0, recorder(Index));
  return Index;
}

std::size_t world::apply(const std::string &Vm, const schema::service_document &Document,
                         std::uint64_t Expected, const std::string &ChangeId) {
  Applies.emplace_back();
  std::size_t Index = Applies.size() - 1;
  storage::apply_request Request{Document, Expected, ChangeId, 0};
  node(Vm).apply(std::move(Request), [this, Index](runtime::result<storage::apply_reply> Reply) {
    apply_record &Record = Applies[Index];
    Record.Answered = true;
    if (!Reply) {
      Record.Outcome = "open";
      return;
    }
    Record.Outcome = Reply.value().Committed ? "committed" : "conflict";
    Record.Revision = Reply.value().Current.revision();
  });
  return Index;
}

std::vector<std::string> world::breaches() const {
  std::vector<std::string> Found;
  for (const auto &[Task, Count] : Servers.Starts)
    if (Count > 1)
      Found.push_back(fmt::format("task {} started {} times", Task, Count));
  // Ids of which every submission was refused.
  std::unordered_map<std::string, bool> OnlyRefused;
  for (const submission_record &Record : Submissions) {
    bool Refused = Record.Answered && Record.Answer.outcome() == schema::OUTCOME_REFUSED;
    auto [Position, Inserted] = OnlyRefused.emplace(Record.Id, Refused);
    Position->second = Position->second && Refused;
    if (!Record.Answered && !Record.ConnectionLost)
      Found.push_back(fmt::format("submission of {} at {} has no answer", Record.Id, Record.Vm));
    if (!Record.Answered || Record.Answer.outcome() != schema::OUTCOME_DONE || Record.Job.tasks_size() == 0)
      continue;
    if (Record.Answer.results_size() != Record.Job.tasks_size()) {
      Found.push_back(fmt::format("answer of {} is partial", Record.Id));
      continue;
    }
    for (int Index = 0; Index < Record.Job.tasks_size(); ++Index) {
      const schema::task &Task = Record.Job.tasks(Index);
      if (Record.Answer.results(Index).payload() != taskResult(Record.Id + "/" + Task.name(), Task.payload()))
        Found.push_back(fmt::format("answer of {} holds a wrong result for {}", Record.Id, Task.name()));
    }
  }
  for (const auto &[Task, Count] : Servers.Starts) {
    auto Position = OnlyRefused.find(Task.substr(0, Task.rfind('/')));
    if (Position != OnlyRefused.end() && Position->second)
      Found.push_back(fmt::format("job of task {} was refused but has run", Task));
  }
  return Found;
}

bool world::connected(const std::string &DomainA, const std::string &DomainB) const {
  return DomainA == DomainB || (!Separated.contains(DomainA) && !Separated.contains(DomainB));
}

world::vm *world::findVm(const std::string &Vm, const std::string &Address) {
  for (auto &[Name, Candidate] : Vms)
    if (Name == Vm || addressOfVm(Name) == Address)
      return Candidate.get();
  return nullptr;
}

void world::deliver(vm &From, const std::string &Vm, const std::string &Address, schema::envelope Message) {
  auto Latency = runtime::fromMs(Options.LatencyMs);
  vm *To = findVm(Vm, Address);
  if (To == nullptr || !To->Executor.alive()) {
    Executor->after(Latency, From.Executor.guard(
                                 [Node = From.Node.get(), Address] { Node->onPeerConnectFailed(Address); }));
    return;
  }
  if (!connected(From.Domain, To->Domain))
    return;
  Executor->after(Latency, To->Executor.guard([this, &From, To, Message = std::move(Message)] {
    if (connected(From.Domain, To->Domain))
      To->Node->onPeerMessage(From.Self, From.Domain, Message);
  }));
}

void world::updateVmList() {
  schema::vm_list List;
  for (const std::string &Name : Listed) {
    schema::entry_vm &Entry = *List.add_entry_vms();
    Entry.set_id(Name);
    Entry.set_domain(domainOfVm(Name));
    Entry.set_peer_address(addressOfVm(Name));
  }
  for (const schema::backend_entry &Entry : Servers.entries())
    *List.add_backends() = Entry;
  Platform->vmList().publish(List, Executor->clock().now());
}

} // namespace yuccaplank::scenario
