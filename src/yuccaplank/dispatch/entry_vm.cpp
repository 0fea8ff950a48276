#include "yuccaplank/dispatch/entry_vm.hpp"
#include "cancel_exchanges.hpp"
#include "fleet_reports.hpp"
#include "job_relay.hpp"
#include "job_router.hpp"
#include "job_waiters.hpp"
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
// A VM that has not been in contact for this time is taken as removed for good.
constexpr auto StaleTime = std::chrono::seconds(15);
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
        Owner(makeServerOwner(Executor, *this, Options.Ledger)), RelaySide(*this),
        Relay(makeJobRelay(Executor, RelaySide, Options.Relay)),
        Waiters(
            *Jobs,
            [this](const std::string &Vm, schema::dispatch_message Message) { send(Vm, std::move(Message)); },
            [this](std::uint64_t Job, const job_answer &Answer) { this->Ports.answer(Job, Answer); }),
        Router(*Jobs, Waiters, *Relay, [this] { return relaysNewJobs(); }),
        Cancels(Executor, [this](const std::string &Vm,
                                 schema::dispatch_message Message) { send(Vm, std::move(Message)); }),
        Decision(Options.Dispatching) {
    Self.set_role(schema::VM_RELAYS);
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

  void setRegistration(std::uint64_t Version, bool Returning) override {
    Self.set_registration(Version);
    Decision.onRegistered(Executor.clock().now(), Returning);
    chooseAgain();
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

  void setRegisteredVms(const registered_vms &Vms) override {
    Registered = Vms;
    chooseAgain();
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
    // Who does not want contact would be met again and again.
    bool Wanted = Registered.empty() || contacts().contains(Vm);
    if (Wanted && Found != View->others().end() && Found->second.Alive)
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
  job_desk &jobs() override { return Router; }

  void cancel(std::uint64_t Job, std::function<void(bool)> OnDone) override {
    if (Relay->cancel(Job, end_reason::Cancelled) || Jobs->cancel(Job, end_reason::Cancelled)) {
      OnDone(true);
      return;
    }
    if (!relays()) {
      Cancels.ask(Job, coordinatingVms(), Options.CancelTimeout, std::move(OnDone));
      return;
    }
    // The dispatching VM asks the others in turn.
    std::string Dispatcher = View->dispatcherFor(Job, Options.Domain);
    std::vector<std::string> Asked;
    if (!Dispatcher.empty())
      Asked.push_back(Dispatcher);
    Cancels.ask(Job, Asked, 2 * Options.CancelTimeout, std::move(OnDone));
  }

  [[nodiscard]] std::uint32_t waiting(const std::string &QueueName) const override {
    if (!relays()) {
      auto Lengths = fleetWaiting();
      auto Found = Lengths.find(QueueName);
      return Found == Lengths.end() ? 0 : Found->second;
    }
    std::uint32_t Most = 0;
    for (const auto &[Vm, Known] : View->others())
      for (const schema::queue_length &Length : Known.Status.fleet_queues())
        if (Known.Alive && Length.queue() == QueueName)
          Most = std::max(Most, Length.waiting());
    return Most;
  }

  void onPause() override {
    // Before anybody counts as lost: a VM that believes itself alone would claim everything.
    View->introduceAgain();
    Self.set_pauses(Self.pauses() + 1);
    View->setSelf(Self);
    std::vector<std::string> Names;
    for (const auto &[Vm, Known] : View->others())
      Names.push_back(Vm);
    for (const std::string &Vm : Names)
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
    entry_vm_state State{Jobs->counters(), Owner->counters(), Queue->counters(), Owner->counts()};
    State.Jobs = Jobs->size();
    State.RelayedJobs = Relay->size();
    State.Dispatching = Self.role() == schema::VM_DISPATCHES;
    State.Placing = Placing;
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
    fillQueues(Jobs->waiting(), *Report.mutable_queues());
    return Report;
  }

private:
  // What the relay needs of this VM.
  struct relay_side final : relay_ports {
    explicit relay_side(entry_vm_impl &Vm) : Vm(Vm) {}
    void send(const std::string &To, schema::dispatch_message Message) override {
      Vm.send(To, std::move(Message));
    }
    [[nodiscard]] std::string dispatcherFor(std::uint64_t Job) const override {
      return Vm.View->dispatcherFor(Job, Vm.Options.Domain);
    }
    [[nodiscard]] std::uint32_t session(const std::string &Other) const override { return Vm.session(Other); }
    void answer(std::uint64_t Job, const job_answer &Answer) override { Vm.Ports.answer(Job, Answer); }
    entry_vm_impl &Vm;
  };

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
    for (const std::string &Vm : coordinatingVms())
      send(Vm, Message);
  }

  [[nodiscard]] std::string placer() const override { return Placer; }
  [[nodiscard]] bool reachable(const std::string &Vm) const override { return View->alive(Vm); }
  [[nodiscard]] std::uint32_t session(const std::string &Vm) const override {
    auto Found = Sessions.find(Vm);
    return Found == Sessions.end() ? 0 : Found->second;
  }
  void answer(std::uint64_t Job, const job_answer &Answer) override { Waiters.onAnswer(Job, Answer); }
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
    case schema::dispatch_message::kRelay:
      // A VM that has been lost counts its jobs as given up.
      if (View->alive(From))
        Waiters.onRelayed(From, Message.relay());
      break;
    case schema::dispatch_message::kRelayed:
      Relay->onAnswer(From, Message.relayed());
      break;
    case schema::dispatch_message::kWithdrawRelayed:
      Waiters.onWithdrawn(From, Message.withdraw_relayed());
      break;
    case schema::dispatch_message::BODY_NOT_SET:
      break;
    }
  }

  void onStatus(const schema::vm_status &Status) {
    apply(View->heard(Status));
    // Without entries from the store, contact spreads from the VMs that answer.
    for (const schema::vm_address &Peer : Status.peers())
      if (Registered.empty() && !View->others().contains(Peer.vm()))
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
    Waiters.onResume(From, Session);
    // The other end has noticed a break that this end may have missed.
    if (Session.answer() || From == Options.Vm)
      return;
    resume(From, true);
    tellPlacing(From);
  }

  void onCancel(const std::string &From, const schema::cancel_submitted &Request) {
    auto Answer = [this, From, Exchange = Request.exchange()](bool Found) {
      schema::dispatch_message Message;
      Message.mutable_cancelled()->set_exchange(Exchange);
      Message.mutable_cancelled()->set_found(Found);
      send(From, std::move(Message));
    };
    bool Found = Jobs->cancel(Request.job(), end_reason::Cancelled);
    auto Asking = View->others().find(From);
    bool AsksForAll = Asking != View->others().end() && Asking->second.Status.role() == schema::VM_RELAYS;
    if (Found || !AsksForAll)
      Answer(Found);
    else
      Cancels.ask(Request.job(), coordinatingVms(), Options.CancelTimeout, Answer);
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
    OfferedVersions.erase(Vm);
    if (coordinates(Vm))
      Owner->tellOwned(Vm);
    tellPlacing(Vm);
  }

  void resume(const std::string &Vm, bool Answer) {
    schema::resume_session Session;
    Session.set_session(++Sessions[Vm]);
    Session.set_answer(Answer);
    Relay->resume(Vm, Session);
    Jobs->onVmResumed(Vm, std::move(Session));
  }

  // Whether the VM may coordinate jobs, so that it has to know who owns which servers.
  [[nodiscard]] bool coordinates(const std::string &Vm) const {
    auto Found = View->others().find(Vm);
    return Found != View->others().end() && Found->second.Alive &&
           Found->second.Status.role() != schema::VM_RELAYS;
  }

  [[nodiscard]] std::vector<std::string> coordinatingVms() const {
    std::vector<std::string> Vms;
    for (const auto &[Vm, Known] : View->others())
      if (coordinates(Vm))
        Vms.push_back(Vm);
    return Vms;
  }

  // What placer and coordinators have told before may be lost.
  void tellPlacing(const std::string &Vm) {
    if (Placing && coordinates(Vm))
      send(Vm, subscription(false));
    if (Vm == Placer)
      Jobs->onPlacerChanged();
  }

  void onVmLost(const std::string &Vm) {
    log(log_level::Warning, "vm_lost", {{"vm", Vm}});
    Ports.disconnect(Vm);
    forgetSessions(Vm);
    if (!Registered.empty() && !contacts().contains(Vm))
      View->forget(Vm);
  }

  void forgetSessions(const std::string &Vm) {
    Queue->dropVm(Vm);
    Owner->onVmLost(Vm);
    Jobs->onVmLost(Vm);
    Waiters.onVmLost(Vm);
    Relay->onVmLost(Vm);
  }

  [[nodiscard]] bool relays() const { return Self.role() == schema::VM_RELAYS; }

  // A VM that dispatches and does not know the placer yet relays while it can.
  [[nodiscard]] bool relaysNewJobs() const {
    if (Self.role() != schema::VM_DISPATCHES)
      return true;
    return Placer.empty() && !View->dispatcherFor(0, Options.Domain).empty();
  }

  // VMs that this one keeps in contact with; others may contact it.
  [[nodiscard]] std::set<std::string> contacts() const {
    std::set<std::string> Names = Dispatchers;
    if (relays()) {
      Names = contactsOfRelay(Registered, Dispatchers, Options.Domain,
                              [this](const std::string &Vm) { return View->alive(Vm); });
      Names.merge(Relay->dispatchers());
    }
    Names.erase(Options.Vm);
    return Names;
  }

  void sendHeartbeats() {
    bool WithPeers = ++Heartbeats % HeartbeatsToPeerList == 0;
    schema::dispatch_message ToDispatchers = makeStatus(WithPeers, false);
    schema::dispatch_message ToRelays = makeStatus(WithPeers, true);
    std::set<std::string> Contacts = contacts();
    for (const auto &[Vm, Known] : View->others()) {
      bool IsRelay = Known.Status.role() == schema::VM_RELAYS;
      if (Known.Alive && (!relays() || Registered.empty() || Contacts.contains(Vm)))
        Ports.send(Vm, Known.Address, IsRelay ? ToRelays : ToDispatchers);
    }
  }

  void tryOthers() {
    for (const std::string &Vm : contacts())
      if (auto Found = Registered.find(Vm); Found != Registered.end())
        View->learn(Vm, Found->second.Address);
    forgetStrangers();
    schema::dispatch_message Message = makeStatus(true, false);
    bool AnyAlive = false;
    for (const auto &[Vm, Known] : View->others()) {
      AnyAlive |= Known.Alive;
      if (!Known.Alive)
        Ports.send(Vm, Known.Address, Message);
    }
    for (const std::string &Seed : Seeds)
      if (!AnyAlive && Seed != Options.Address)
        sendStatus("", Seed);
    reportStaleVms();
  }

  // VMs out of contact with which no contact is wanted any more.
  void forgetStrangers() {
    if (Registered.empty())
      return;
    std::set<std::string> Contacts = contacts();
    std::vector<std::string> Strangers;
    for (const auto &[Vm, Known] : View->others())
      if (!Known.Alive && !Contacts.contains(Vm))
        Strangers.push_back(Vm);
    for (const std::string &Vm : Strangers)
      View->forget(Vm);
  }

  // Entries of VMs that were removed without a signal stay in the store and take the place of others.
  void reportStaleVms() {
    if (!Placing)
      return;
    time_point Now = Executor.clock().now();
    for (const auto &[Vm, Known] : View->others())
      if (Dispatchers.contains(Vm) && !Known.Alive &&
          Now - std::max(Known.LastHeard, PlacingSince) > StaleTime)
        Ports.registrationStale(Vm);
  }

  void sendStatus(const std::string &Vm, const std::string &Address) {
    Ports.send(Vm, Address, makeStatus(true, false));
  }

  [[nodiscard]] schema::dispatch_message makeStatus(bool WithPeers, bool ForRelay) const {
    schema::dispatch_message Message;
    schema::vm_status &Status = *Message.mutable_status();
    Status = Self;
    for (const auto &[Name, Known] : View->others())
      if (WithPeers && coordinates(Name)) {
        schema::vm_address &Peer = *Status.add_peers();
        Peer.set_vm(Name);
        Peer.set_address(Known.Address);
      }
    if (ForRelay)
      fillQueues(fleetWaiting(), *Status.mutable_fleet_queues());
    else
      fillQueues(Jobs->waiting(), *Status.mutable_queues());
    return Message;
  }

  using queue_lengths = std::map<std::string, std::uint32_t>;

  // Jobs that wait on any VM in contact.
  [[nodiscard]] queue_lengths fleetWaiting() const {
    queue_lengths Lengths = Jobs->waiting();
    for (const auto &[Vm, Known] : View->others())
      for (const schema::queue_length &Length : Known.Status.queues())
        if (Known.Alive)
          Lengths[Length.queue()] += Length.waiting();
    return Lengths;
  }

  static void fillQueues(const queue_lengths &Lengths,
                         google::protobuf::RepeatedPtrField<schema::queue_length> &Queues) {
    for (const auto &[Name, Count] : Lengths) {
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

  void chooseAgain() {
    registered_vms Vms = Registered;
    if (Self.registration() > 0)
      Vms[Options.Vm] = {Options.Address, Options.Domain, Options.Strength};
    Dispatchers = chooseDispatchers(Vms, Options.Dispatching.PerDomain);
    reviewDispatching();
  }

  void reviewDispatching() {
    bool Dispatches = Decision.update(Executor.clock().now(), Dispatchers.contains(Options.Vm));
    schema::vm_role Role = Self.role();
    if (Dispatches)
      Role = schema::VM_DISPATCHES;
    else if (Role == schema::VM_DISPATCHES)
      Role = schema::VM_RETIRES;
    else if (Role == schema::VM_RETIRES && Jobs->size() == 0 && Owner->counts().Owned == 0)
      Role = schema::VM_RELAYS;
    if (Role != Self.role())
      changeRole(Role);
  }

  void changeRole(schema::vm_role Role) {
    log(log_level::Info, "role_changed",
        {{"role", schema::vm_role_Name(Role)},
         {"former", schema::vm_role_Name(Self.role())},
         {"dispatchers", static_cast<std::int64_t>(Dispatchers.size())}});
    bool WasRelay = relays();
    Self.set_role(Role);
    View->setSelf(Self);
    if (WasRelay)
      View->introduceAgain();
    if (WasRelay != relays())
      Ports.serversNeeded(!relays());
    tryOthers();
    statusChanged();
  }

  void reviewRoles() {
    ReviewedVersion = View->version();
    Relay->onDispatcherFound();
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
    if (std::exchange(Placing, Now) == Now)
      return;
    PlacingSince = Executor.clock().now();
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
    reviewDispatching();
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
  relay_side RelaySide;
  std::unique_ptr<job_relay> Relay;
  job_waiters Waiters;
  job_router Router;
  cancel_exchanges Cancels;
  dispatching_decision Decision;
  std::unique_ptr<configuration> Current;
  schema::configuration_copy Copy;
  registered_vms Registered;
  // By the entries in the store, this VM included.
  std::set<std::string> Dispatchers;
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
  time_point PlacingSince{};
  bool SchedulePosted = false;
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<entry_vm> makeEntryVm(runtime::executor &Executor, entry_vm_ports &Ports,
                                      entry_vm_options Options) {
  return std::make_unique<entry_vm_impl>(Executor, Ports, std::move(Options));
}

} // namespace yuccaplank::dispatch
