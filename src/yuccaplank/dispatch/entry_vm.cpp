#include "yuccaplank/dispatch/entry_vm.hpp"
#include "cancel_exchanges.hpp"
#include "fleet_reports.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

using runtime::log;
using runtime::log_level;
using runtime::time_point;

constexpr auto TickInterval = std::chrono::milliseconds(50);
// Lists of the VMs heard from grow with their number and change rarely.
constexpr std::uint64_t HeartbeatsToPeerList = 10;
constexpr std::size_t ManyWaitingJobs = 100;
constexpr auto BusyScheduleDelay = std::chrono::milliseconds(2);
// Queued jobs are looked at this often even when nothing else happens, so that refusals are not late.
constexpr auto ScheduleInterval = std::chrono::milliseconds(10);

class entry_vm_impl final : public entry_vm, coordinator_ports, owner_ports {
public:
  entry_vm_impl(runtime::executor &Executor, entry_vm_ports &Ports, entry_vm_options OptionsIn)
      : Executor(Executor), Ports(Ports), Options(std::move(OptionsIn)),
        View(makeFleetView(Executor.clock(), Options.View)),
        Queue(makePlacementQueue(
            Executor.clock(),
            [this](const std::string &Vm, schema::dispatch_message Message) { send(Vm, std::move(Message)); },
            Options.Placement)),
        Jobs(makeJobCoordinator(Executor, *this, Options.Coordinator)),
        Owner(makeServerOwner(Executor, *this, Options.Ledger)),
        Cancels(
            Executor,
            [this](const std::string &Vm, schema::dispatch_message Message) { send(Vm, std::move(Message)); },
            Options.CancelTimeout) {
    Self.set_vm(Options.Vm);
    Self.set_address(Options.Address);
    Self.set_domain(Options.Domain);
    Self.set_strength(Options.Strength);
    View->setSelf(Self);
    every(Options.HeartbeatInterval, [this] { sendHeartbeats(); });
    every(Options.RetryInterval, [this] { tryOthers(); });
    every(TickInterval, [this] { tick(); });
    every(ScheduleInterval, [this] { schedule(); });
  }
  entry_vm_impl(const entry_vm_impl &) = delete;
  entry_vm_impl &operator=(const entry_vm_impl &) = delete;
  ~entry_vm_impl() override = default;

  void setRegistration(std::uint64_t Version) override {
    Self.set_registration(Version);
    statusChanged();
  }

  void noteTerm(std::uint32_t Term) override {
    if (Term <= View->highestTerm())
      return;
    Self.set_term(Term);
    View->setSelf(Self);
  }

  bool setConfiguration(configuration Configuration, std::string Document) override {
    if (Current && Configuration.Version <= Current->Version)
      return false;
    log(log_level::Info, "configuration_in_force",
        {{"version", static_cast<std::int64_t>(Configuration.Version)},
         {"former", static_cast<std::int64_t>(Current ? Current->Version : 0)},
         {"queues", static_cast<std::int64_t>(Configuration.Queues.size())}});
    Current = std::make_unique<configuration>(std::move(Configuration));
    Self.set_configuration_version(Current->Version);
    Copy.set_version(Current->Version);
    Copy.set_document(std::move(Document));
    statusChanged();
    return true;
  }

  void setServers(const std::vector<server_entry> &Servers) override { Owner->setServers(Servers); }

  void setRegisteredVms(const std::map<std::string, std::string> &Addresses) override {
    for (const auto &[Vm, Address] : Addresses)
      View->learn(Vm, Address);
    std::vector<std::string> Removed;
    for (const auto &[Vm, Known] : View->others())
      if (!Addresses.contains(Vm) && Registered.contains(Vm))
        Removed.push_back(Vm);
    for (const std::string &Vm : Removed)
      View->forget(Vm);
    Registered = Addresses;
    tryOthers();
  }

  void addSeeds(const std::vector<std::string> &Addresses) override {
    Seeds = Addresses;
    tryOthers();
  }

  void onMessage(const std::string &Vm, const std::string &Incarnation,
                 const schema::dispatch_message &Message) override {
    std::string &Known = Incarnations[Vm];
    if (!Known.empty() && Known != Incarnation) {
      log(log_level::Warning, "vm_restarted", {{"vm", Vm}});
      if (!View->lost(Vm).empty())
        forgetSessions(Vm);
    }
    Known = Incarnation;
    handle(Vm, Message);
  }

  void onClosed(const std::string &Vm) override {
    View->broken(Vm);
    auto Found = View->others().find(Vm);
    if (Found != View->others().end() && Found->second.Alive)
      sendStatus(Vm, Found->second.Address);
  }

  void onConnectFailed(const std::string &Address) override {
    View->unreachable(Address);
    std::vector<std::string> Unreachable;
    for (const auto &[Vm, Known] : View->others())
      if (Known.Address == Address && Known.Alive && Known.Broken)
        Unreachable.push_back(Vm);
    for (const std::string &Vm : Unreachable)
      apply(View->lost(Vm));
  }

  [[nodiscard]] const configuration *current() const override { return Current.get(); }
  [[nodiscard]] bool ready() const override { return Current && !Self.draining() && !View->placer().empty(); }
  job_coordinator &coordinator() override { return *Jobs; }

  void cancel(std::uint64_t Job, std::function<void(bool)> OnDone) override {
    if (Jobs->cancel(Job, end_reason::Cancelled)) {
      OnDone(true);
      return;
    }
    std::vector<std::string> Vms;
    for (const auto &[Vm, Known] : View->others())
      if (Known.Alive)
        Vms.push_back(Vm);
    Cancels.ask(Job, Vms, std::move(OnDone));
  }

  [[nodiscard]] std::uint32_t waiting(const std::string &QueueName) const override {
    std::uint32_t Sum = 0;
    auto Own = Jobs->waiting();
    if (auto Found = Own.find(QueueName); Found != Own.end())
      Sum += Found->second;
    for (const auto &[Vm, Known] : View->others())
      for (const schema::queue_length &Length : Known.Status.queues())
        if (Known.Alive && Length.queue() == QueueName)
          Sum += Length.waiting();
    return Sum;
  }

  void onPause() override {
    // Before anybody counts as lost: a VM that believes itself alone would claim everything.
    View->introduceAgain();
    Self.set_pauses(Self.pauses() + 1);
    View->setSelf(Self);
    for (const auto &[Vm, Known] : View->others())
      apply(View->lost(Vm));
    Owner->onPause();
    tryOthers();
    reviewRoles();
  }

  void drain() override {
    Self.set_draining(true);
    statusChanged();
  }

  [[nodiscard]] entry_vm_state state() const override {
    entry_vm_state State{
        Jobs->counters(), Owner->counters(), Queue->counters(), Owner->counts(), Jobs->size(), 0, Placing};
    State.VmsInContact = static_cast<std::size_t>(
        std::ranges::count_if(View->others(), [](const auto &Entry) { return Entry.second.Alive; }));
    return State;
  }

  [[nodiscard]] schema::fleet_report report() const override {
    schema::fleet_report Report;
    Report.set_vm(Options.Vm);
    *Report.add_vms() = makeVmReport(Self, Options.Address, true, Placer);
    for (const auto &[Vm, Known] : View->others()) {
      schema::vm_report &Other = *Report.add_vms();
      Other = makeVmReport(Known.Status, Known.Address, Known.Alive, Placer);
      // Nothing may have been heard from it yet.
      Other.set_vm(Vm);
    }
    for (const schema::server_state &State : Owner->states())
      *Report.add_servers() = makeServerReport(State, Options.Vm);
    fillQueues(*Report.mutable_queues());
    return Report;
  }

private:
  // Ports of the roles.

  void send(const std::string &Vm, schema::dispatch_message Message) override {
    if (Vm == Options.Vm) {
      Executor.post(Lifetime.guard([this, Message = std::move(Message)] { handle(Options.Vm, Message); }));
      return;
    }
    auto Found = View->others().find(Vm);
    if (Found != View->others().end() && Found->second.Alive)
      Ports.send(Vm, Found->second.Address, std::move(Message));
  }

  void broadcast(const schema::dispatch_message &Message) override {
    send(Options.Vm, Message);
    for (const auto &[Vm, Known] : View->others())
      send(Vm, Message);
  }

  [[nodiscard]] std::string placer() const override { return Placer; }
  [[nodiscard]] bool reachable(const std::string &Vm) const override { return View->alive(Vm); }
  [[nodiscard]] std::uint32_t session(const std::string &Vm) const override {
    auto Found = Sessions.find(Vm);
    return Found == Sessions.end() ? 0 : Found->second;
  }
  void answer(std::uint64_t Job, const job_answer &Answer) override { Ports.answer(Job, Answer); }
  server_orders &orders() override { return Ports.orders(); }
  [[nodiscard]] bool shouldOwn(const std::string &Rack, const std::string &Domain) const override {
    if (!View->introduced())
      return false;
    // The answer depends on all VMs and is asked for each server all the time.
    if (std::exchange(OwnRacksVersion, View->version()) != View->version())
      OwnRacks.clear();
    auto [Known, IsNew] = OwnRacks.try_emplace({Rack, Domain}, false);
    if (IsNew)
      Known->second = View->ownerOf(Rack, Domain) == Options.Vm;
    return Known->second;
  }

  // The term is the high part, so that a VM of an older registration can take over without the store.
  std::uint64_t fencingToken(std::uint64_t Above) override {
    auto TokenOf = [&](std::uint32_t Term) {
      return (std::uint64_t{Term} << TermShift) | Self.registration();
    };
    std::uint32_t Term = View->highestTerm();
    if (TokenOf(Term) <= Above)
      Term = std::max(Term, static_cast<std::uint32_t>(Above >> TermShift)) + 1;
    if (Term != Self.term()) {
      Self.set_term(Term);
      statusChanged();
      Ports.termRaised(Term);
    }
    return TokenOf(Term);
  }

  // Messages.

  void handle(const std::string &From, const schema::dispatch_message &Message) {
    switch (Message.body_case()) {
    case schema::dispatch_message::kStatus:
      onStatus(Message.status());
      break;
    case schema::dispatch_message::kPlace:
      setPlacing(true);
      Queue->place(From, Message.place());
      scheduleSoon();
      break;
    case schema::dispatch_message::kWithdraw:
      Queue->withdraw(From, Message.withdraw());
      break;
    case schema::dispatch_message::kDecline:
      Queue->decline(From, Message.decline());
      scheduleSoon();
      break;
    case schema::dispatch_message::kServer:
      // What a VM has sent before it was lost must not bring its servers back.
      if (View->alive(From))
        Queue->updateServer(From, Message.server());
      scheduleSoon();
      break;
    case schema::dispatch_message::kGrant:
      Jobs->onGrant(From, Message.grant());
      break;
    case schema::dispatch_message::kReject:
      Jobs->onReject(Message.reject());
      break;
    case schema::dispatch_message::kEvent:
      Jobs->onEvent(From, Message.event());
      break;
    case schema::dispatch_message::kYield:
      Jobs->onYield(From, Message.yield());
      break;
    case schema::dispatch_message::kAdopt:
      if (From != Options.Vm)
        Owner->onClaimedElsewhere(From, Message.adopt().server(), Message.adopt().token());
      Jobs->onAdopt(From, Message.adopt());
      break;
    case schema::dispatch_message::kStart:
      Owner->onStart(From, Message.start());
      break;
    case schema::dispatch_message::kStop:
      Owner->onStop(From, Message.stop());
      break;
    case schema::dispatch_message::kSubscribe:
      Owner->onSubscribe(From, Message.subscribe());
      break;
    case schema::dispatch_message::kAdopted:
      Owner->onAdopted(From, Message.adopted());
      break;
    case schema::dispatch_message::kResume:
      onResume(From, Message.resume());
      break;
    case schema::dispatch_message::kCancel:
      onCancel(From, Message.cancel());
      break;
    case schema::dispatch_message::kCancelled:
      Cancels.onReply(From, Message.cancelled());
      break;
    case schema::dispatch_message::kConfiguration:
      if (!Current || Message.configuration().version() > Current->Version)
        Ports.configurationOffered(Message.configuration());
      break;
    case schema::dispatch_message::kOwned:
      for (const schema::owned_server &Owned : Message.owned().servers())
        Owner->onClaimedElsewhere(From, Owned.server(), Owned.token());
      break;
    case schema::dispatch_message::BODY_NOT_SET:
      break;
    }
  }

  void onStatus(const schema::vm_status &Status) {
    apply(View->heard(Status));
    for (const schema::vm_address &Peer : Status.peers())
      if (!View->others().contains(Peer.vm()))
        View->learn(Peer.vm(), Peer.address());
    offerConfiguration(Status);
    if (View->version() != ReviewedVersion)
      reviewRoles();
  }

  void offerConfiguration(const schema::vm_status &Status) {
    if (!Current || Status.configuration_version() >= Current->Version)
      return;
    std::uint64_t &Offered = OfferedVersions[Status.vm()];
    if (Offered == Current->Version)
      return;
    Offered = Current->Version;
    schema::dispatch_message Message;
    *Message.mutable_configuration() = Copy;
    send(Status.vm(), std::move(Message));
  }

  void onResume(const std::string &From, const schema::resume_session &Session) {
    Owner->onResume(From, Session);
    // The other end has noticed a break that this end may have missed.
    if (Session.answer() || From == Options.Vm)
      return;
    resume(From, true);
    tellPlacing(From);
  }

  void onCancel(const std::string &From, const schema::cancel_submitted &Request) {
    schema::dispatch_message Message;
    Message.mutable_cancelled()->set_exchange(Request.exchange());
    Message.mutable_cancelled()->set_found(Jobs->cancel(Request.job(), end_reason::Cancelled));
    send(From, std::move(Message));
  }

  // Contact with other VMs.

  void apply(const std::vector<view_change> &Changes) {
    for (const view_change &Change : Changes) {
      switch (Change.Kind) {
      case view_change::kind::Found:
        log(log_level::Info, "vm_found", {{"vm", Change.Vm}});
        begin(Change.Vm);
        break;
      case view_change::kind::Resumed:
        log(log_level::Info, "vm_resumed", {{"vm", Change.Vm}});
        begin(Change.Vm);
        break;
      case view_change::kind::Lost:
        onVmLost(Change.Vm);
        break;
      }
    }
    if (!Changes.empty())
      reviewRoles();
  }

  void begin(const std::string &Vm) {
    resume(Vm, false);
    Owner->tellOwned(Vm);
    OfferedVersions.erase(Vm);
    tellPlacing(Vm);
  }

  void resume(const std::string &Vm, bool Answer) {
    ++Sessions[Vm];
    Jobs->onVmResumed(Vm, Answer);
  }

  // What placer and coordinators have told before may be lost.
  void tellPlacing(const std::string &Vm) {
    if (Placing)
      send(Vm, subscription(false));
    if (Vm == Placer)
      Jobs->onPlacerChanged();
  }

  void onVmLost(const std::string &Vm) {
    log(log_level::Warning, "vm_lost", {{"vm", Vm}});
    Ports.disconnect(Vm);
    forgetSessions(Vm);
  }

  void forgetSessions(const std::string &Vm) {
    Queue->dropVm(Vm);
    Owner->onVmLost(Vm);
    Jobs->onVmLost(Vm);
  }

  void sendHeartbeats() { sendStatusWhere(true, ++Heartbeats % HeartbeatsToPeerList == 0); }

  void tryOthers() {
    sendStatusWhere(false, true);
    if (std::ranges::any_of(View->others(), [](const auto &Entry) { return Entry.second.Alive; }))
      return;
    for (const std::string &Seed : Seeds)
      if (Seed != Options.Address)
        sendStatus("", Seed);
  }

  // To all VMs that are in contact, or to all that are not.
  void sendStatusWhere(bool IsAlive, bool WithPeers) {
    schema::dispatch_message Message = makeStatus(WithPeers);
    for (const auto &[Vm, Known] : View->others())
      if (Known.Alive == IsAlive)
        Ports.send(Vm, Known.Address, Message);
  }

  void sendStatus(const std::string &Vm, const std::string &Address) {
    Ports.send(Vm, Address, makeStatus(true));
  }

  [[nodiscard]] schema::dispatch_message makeStatus(bool WithPeers) const {
    schema::dispatch_message Message;
    schema::vm_status &Status = *Message.mutable_status();
    Status = Self;
    for (const auto &[Name, Known] : View->others())
      if (WithPeers && Known.Alive) {
        schema::vm_address &Peer = *Status.add_peers();
        Peer.set_vm(Name);
        Peer.set_address(Known.Address);
      }
    fillQueues(*Status.mutable_queues());
    return Message;
  }

  // Jobs of this VM's callers that wait, by queue.
  void fillQueues(google::protobuf::RepeatedPtrField<schema::queue_length> &Queues) const {
    for (const auto &[Name, Count] : Jobs->waiting()) {
      schema::queue_length &Length = *Queues.Add();
      Length.set_queue(Name);
      Length.set_waiting(Count);
    }
  }

  void statusChanged() {
    Self.set_serving(Current != nullptr);
    View->setSelf(Self);
    sendHeartbeats();
    reviewRoles();
  }

  // Roles.

  void reviewRoles() {
    ReviewedVersion = View->version();
    std::string Now = View->introduced() ? View->placer() : std::string();
    if (Now != Placer) {
      log(log_level::Info, "placer_changed", {{"placer", Now}, {"former", Placer}});
      Placer = Now;
      setPlacing(Placer == Options.Vm);
      Jobs->onPlacerChanged();
    }
    Owner->reviewOwnership();
  }

  void setPlacing(bool Now) {
    if (std::exchange(Placing, Now) != Now)
      broadcast(subscription(!Now));
  }

  static schema::dispatch_message subscription(bool End) {
    schema::dispatch_message Message;
    Message.mutable_subscribe()->set_end(End);
    return Message;
  }

  // With many jobs waiting, a look at all of them is not due for each message.
  void scheduleSoon() {
    if (std::exchange(SchedulePosted, true))
      return;
    auto Schedule = Lifetime.guard([this] {
      SchedulePosted = false;
      Queue->schedule();
    });
    if (Queue->waitingJobs() > ManyWaitingJobs)
      Executor.after(BusyScheduleDelay, Schedule);
    else
      Executor.post(Schedule);
  }

  void schedule() {
    if (Placing)
      Queue->schedule();
  }

  void tick() {
    apply(View->tick());
    reviewRoles();
    Owner->tick();
  }

  void every(runtime::duration Interval, std::function<void()> Function) {
    Executor.after(Interval, Lifetime.guard([this, Interval, Function = std::move(Function)] {
      Function();
      every(Interval, Function);
    }));
  }

  runtime::executor &Executor;
  entry_vm_ports &Ports;
  entry_vm_options Options;
  schema::vm_status Self;
  std::unique_ptr<fleet_view> View;
  std::unique_ptr<placement_queue> Queue;
  std::unique_ptr<job_coordinator> Jobs;
  std::unique_ptr<server_owner> Owner;
  cancel_exchanges Cancels;
  std::unique_ptr<configuration> Current;
  schema::configuration_copy Copy;
  std::map<std::string, std::string> Registered;
  std::vector<std::string> Seeds;
  std::map<std::string, std::string> Incarnations;
  std::map<std::string, std::uint32_t> Sessions;
  std::map<std::string, std::uint64_t> OfferedVersions;
  std::uint64_t Heartbeats = 0;
  // Version of the view for which the roles were last looked at.
  std::uint64_t ReviewedVersion = 0;
  // Whether racks, with their domains, are this VM's, under a version of the view.
  mutable std::map<std::pair<std::string, std::string>, bool> OwnRacks;
  mutable std::uint64_t OwnRacksVersion = 0;
  std::string Placer;
  bool Placing = false;
  bool SchedulePosted = false;
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<entry_vm> makeEntryVm(runtime::executor &Executor, entry_vm_ports &Ports,
                                      entry_vm_options Options) {
  return std::make_unique<entry_vm_impl>(Executor, Ports, std::move(Options));
}

} // namespace yuccaplank::dispatch
