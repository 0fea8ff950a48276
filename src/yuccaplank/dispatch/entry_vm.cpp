#include "yuccaplank/dispatch/entry_vm.hpp"
#include "cancel_exchanges.hpp"
#include "fleet_contacts.hpp"
#include "fleet_reports.hpp"
#include "job_relay.hpp"
#include "job_router.hpp"
#include "job_waiters.hpp"
#include "loss_history.hpp"
#include "relay_messages.hpp"
#include "roll_call.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::log;
using runtime::log_level;
using runtime::time_point;

constexpr auto TickInterval = std::chrono::milliseconds(50);
constexpr std::size_t BusyQueueThreshold = 100;
constexpr auto BusyScheduleDelay = std::chrono::milliseconds(2);
// A VM that has been out of contact for this time is treated as permanently removed.
constexpr auto StaleRegistrationTimeout = std::chrono::seconds(15);
// Entries of VMs that did not answer a roll call are removed at this rate, so that the store is not
// overloaded.
constexpr std::size_t MaxRemovalsPerInterval = 10;
// The queue is processed this often even without messages, so that rejections are not late.
constexpr auto ScheduleInterval = std::chrono::milliseconds(10);

class entry_vm_impl final : public entry_vm, coordinator_ports, owner_ports, contact_ports {
public:
  entry_vm_impl(runtime::executor &Executor, entry_vm_ports &Ports, entry_vm_options OptionsIn)
      : Executor(Executor), Ports(Ports), Options(std::move(OptionsIn)),
        View(makeFleetView(Executor.clock(), Options.View)),
        Contacts(*View, *this, Self, Options.Dispatching),
        Queue(makePlacementQueue(Executor.clock(), makeSender(), Options.Placement)),
        Jobs(makeJobCoordinator(Executor, *this, Options.Coordinator)),
        Owner(makeServerOwner(Executor, *this, Options.Ledger)), RelayAdapter(*this),
        Relay(makeJobRelay(Executor, RelayAdapter, Options.Relay)),
        Waiters(*Jobs, makeSender(),
                [this](std::uint64_t Job, const job_answer &Answer) { this->Ports.answer(Job, Answer); }),
        Router(*Jobs, Waiters, *Relay, [this] { return relaysNewJobs(); }), Cancels(Executor, makeSender()),
        Decision(Options.Dispatching), Roll(Options.Vm, {}), Evacuations(Executor.clock()),
        Losses(Executor.clock()) {
    Self.set_role(schema::VM_RELAYS);
    Self.set_vm(Options.Vm);
    Self.set_address(Options.Address);
    Self.set_domain(Options.Domain);
    Self.set_strength(Options.Strength);
    View->setSelf(Self);
    runEvery(Options.HeartbeatInterval, [this] {
      // Expired contacts end first, so that the other VMs receive the consequences before a heartbeat that
      // extends contact.
      endExpiredContacts();
      Contacts.sendHeartbeats();
    });
    runEvery(Options.RetryInterval, [this] {
      Contacts.contactOthers();
      reportStaleVms();
    });
    runEvery(TickInterval, [this] { tick(); });
    runEvery(ScheduleInterval, [this] { schedule(); });
  }
  entry_vm_impl(const entry_vm_impl &) = delete;
  entry_vm_impl &operator=(const entry_vm_impl &) = delete;
  ~entry_vm_impl() override = default;

  void setRegistration(std::uint64_t Version, bool Returning) override {
    Self.set_registration(Version);
    Decision.onRegistered(Executor.clock().now(), Returning);
    updateDispatchers();
    onOwnStatusChanged();
  }

  void observeTerm(std::uint32_t Term) override {
    if (Term <= View->highestTerm() || Term > MaxTerm)
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
    CurrentCopy.set_version(Current->Version);
    CurrentCopy.set_document(std::move(Document));
    onOwnStatusChanged();
    return true;
  }

  void setEvacuations(const schema::evacuation_state &State) override {
    // Other VMs repeat their state with each heartbeat.
    if (Evacuations.knows(State))
      return;
    if (Evacuations.apply(State))
      Owner->setEvacuatedDomains(Evacuations.domains());
    Self.clear_evacuations();
    for (schema::evacuation_state &Known : Evacuations.states())
      *Self.add_evacuations() = std::move(Known);
  }

  void setServers(const std::vector<server_entry> &Servers) override { Owner->setServers(Servers); }

  void setRegisteredVms(const registered_vms &Vms) override {
    Registered = Vms;
    updateDispatchers();
    Contacts.contactOthers();
  }

  void setRollCall(std::uint64_t Version) override { Roll.setVersion(Version, Executor.clock().now()); }

  void addSeeds(const std::vector<std::string> &Addresses) override {
    Contacts.setSeeds(Addresses);
    Contacts.contactOthers();
  }

  void onMessage(const std::string &Vm, const std::string &Incarnation,
                 const schema::dispatch_message &Message) override {
    std::string &LastIncarnation = Incarnations[Vm];
    if (!LastIncarnation.empty() && LastIncarnation != Incarnation) {
      log(log_level::Warning, "vm_restarted", {{"vm", Vm}});
      if (!View->endContact(Vm).empty())
        dropSessions(Vm);
    }
    LastIncarnation = Incarnation;
    handle(Vm, Message);
  }

  void onClosed(const std::string &Vm) override {
    View->onConnectionBroken(Vm);
    auto Found = View->others().find(Vm);
    // A VM that this one needs no contact with is not reconnected, since that would repeat without end.
    if (Found != View->others().end() && Found->second.InContact && Contacts.needsContact(Vm))
      Contacts.sendGreeting(Vm, Found->second.Address);
  }

  void onConnectFailed(const std::string &Address) override {
    View->onAddressUnreachable(Address);
    std::vector<std::string> Unreachable;
    for (const auto &[Vm, OtherVm] : View->others())
      if (OtherVm.Address == Address && OtherVm.InContact && OtherVm.ConnectionBroken)
        Unreachable.push_back(Vm);
    for (const std::string &Vm : Unreachable)
      applyChanges(View->endContact(Vm));
  }

  [[nodiscard]] const configuration *currentConfiguration() const override { return Current.get(); }
  [[nodiscard]] bool ready() const override { return Current && !Self.draining() && !View->placer().empty(); }
  job_service &jobs() override { return Router; }

  void cancel(std::uint64_t Job, std::function<void(bool)> OnDone) override {
    if (Relay->cancel(Job, end_reason::Cancelled) || Jobs->cancel(Job, end_reason::Cancelled)) {
      OnDone(true);
      return;
    }
    if (!Contacts.isRelay()) {
      Cancels.sendCancel(Job, Contacts.coordinatingVms(), Options.CancelTimeout, std::move(OnDone));
      return;
    }
    // The dispatching VM forwards the request to the others.
    std::string Dispatcher = View->dispatcherFor(Job, Options.Domain);
    std::vector<std::string> Recipients;
    if (!Dispatcher.empty())
      Recipients.push_back(Dispatcher);
    Cancels.sendCancel(Job, Recipients, 2 * Options.CancelTimeout, std::move(OnDone));
  }

  [[nodiscard]] std::uint32_t waitingJobs(const std::string &QueueName) const override {
    auto Lengths = Contacts.fleetQueueLengths();
    auto Found = Lengths.find(QueueName);
    return Found == Lengths.end() ? 0 : Found->second;
  }

  void onPause() override {
    // Discovery restarts before contacts end. Otherwise this VM would assume that it is alone and claim all
    // servers.
    View->restartDiscovery();
    Self.set_pauses(Self.pauses() + 1);
    View->setSelf(Self);
    std::vector<std::string> Names;
    for (const auto &[Vm, OtherVm] : View->others())
      Names.push_back(Vm);
    for (const std::string &Vm : Names)
      applyChanges(View->endContact(Vm));
    Owner->onPause();
    Contacts.contactOthers();
    updatePlacerAndOwnership();
  }

  void drain() override {
    Self.set_draining(true);
    onOwnStatusChanged();
  }

  [[nodiscard]] entry_vm_state state() const override {
    entry_vm_state State{Jobs->counters(), Owner->counters(), Queue->counters(), Owner->counts()};
    State.Jobs = Jobs->size();
    State.RelayedJobs = Relay->size();
    State.Dispatching = Self.role() == schema::VM_DISPATCHES;
    State.Placing = Placing;
    State.VmsInContact = vmsInContact();
    for (const auto &[Vm, OtherVm] : View->others())
      if (OtherVm.InContact)
        State.OldestAnswer = std::max(State.OldestAnswer,
                                      duration(Executor.clock().sinceBoot() - OtherVm.LastAnsweredHeartbeat));
    State.IgnoredEchoes = View->ignoredEchoes();
    State.DeclinedJobs = DeclinedJobs;
    State.RunsInEvacuatedDomains = runsInEvacuatedDomains(Owner->states());
    return State;
  }

  [[nodiscard]] schema::fleet_report report() const override {
    schema::fleet_report Report;
    Report.set_vm(Options.Vm);
    *Report.add_vms() = makeVmReport(Self, Options.Address, true, Placer);
    for (const auto &[Vm, OtherVm] : View->others()) {
      schema::vm_report &Other = *Report.add_vms();
      Other = makeVmReport(OtherVm.Status, OtherVm.Address, OtherVm.InContact, Placer);
      // The status is empty until the VM has sent one.
      Other.set_vm(Vm);
    }
    std::vector<schema::server_state> States = Owner->states();
    for (const schema::server_state &State : States)
      *Report.add_servers() = makeServerReport(State, Options.Vm);
    fillQueues(Jobs->queueLengths(), *Report.mutable_queues());
    auto Runs = runsInEvacuatedDomains(States);
    for (const evacuation &Evacuation : Evacuations.list())
      *Report.add_evacuations() =
          makeEvacuationReport(Evacuation, Executor.clock().now(), Runs.at(Evacuation.Domain));
    return Report;
  }

private:
  // The services that the relay uses.
  struct relay_adapter final : relay_ports {
    explicit relay_adapter(entry_vm_impl &Vm) : Vm(Vm) {}
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

  send_function makeSender() {
    return [this](const std::string &Vm, schema::dispatch_message Message) { send(Vm, std::move(Message)); };
  }

  // Services that the roles use.

  void send(const std::string &Vm, schema::dispatch_message Message) override {
    if (Vm == Options.Vm) {
      Executor.post(Lifetime.guard([this, Message = std::move(Message)] { handle(Options.Vm, Message); }));
      return;
    }
    auto Found = View->others().find(Vm);
    if (Found != View->others().end() && Found->second.InContact)
      Ports.send(Vm, Found->second.Address, std::move(Message));
  }

  void broadcast(const schema::dispatch_message &Message) override {
    send(Options.Vm, Message);
    for (const std::string &Vm : Contacts.coordinatingVms())
      send(Vm, Message);
  }

  void sendTo(const std::string &Vm, const std::string &Address, schema::dispatch_message Message) override {
    Ports.send(Vm, Address, std::move(Message));
  }
  [[nodiscard]] queue_lengths localQueueLengths() const override { return Jobs->queueLengths(); }
  [[nodiscard]] std::set<std::string> jobCoordinators() const override { return Relay->dispatchers(); }
  [[nodiscard]] std::string placer() const override { return Placer; }
  [[nodiscard]] bool reachable(const std::string &Vm) const override { return View->inContact(Vm); }
  [[nodiscard]] std::optional<time_point> lastAnsweredHeartbeat(const std::string &Vm) const override {
    if (Vm == Options.Vm)
      return time_point::max();
    auto Found = View->others().find(Vm);
    if (Found == View->others().end() || !Found->second.InContact)
      return std::nullopt;
    return Found->second.LastAnsweredHeartbeat;
  }
  [[nodiscard]] std::uint32_t session(const std::string &Vm) const override {
    auto Found = Sessions.find(Vm);
    return Found == Sessions.end() ? 0 : Found->second;
  }
  [[nodiscard]] bool isGivenUp(const task_key &Task) const override { return Losses.isGivenUp(Task); }
  [[nodiscard]] bool isSuspect(const task_key &Task) const override { return Losses.isSuspect(Task); }
  [[nodiscard]] bool isAnyTaskGivenUp(std::uint64_t Job) const override {
    return Losses.isAnyTaskGivenUp(Job);
  }
  void answer(std::uint64_t Job, const job_answer &Answer) override { Waiters.onAnswer(Job, Answer); }
  server_orders &orders() override { return Ports.orders(); }
  [[nodiscard]] bool shouldOwn(const std::string &Rack, const std::string &Domain) const override {
    if (!View->discoveryComplete() || (Domain != Options.Domain && recentlyLostAll()))
      return false;
    // Ownership is cached: it depends on all VMs and is requested very often for each server.
    if (std::exchange(RackOwnershipViewVersion, View->version()) != View->version())
      RackOwnership.clear();
    auto [Entry, IsNew] = RackOwnership.try_emplace({Rack, Domain}, false);
    if (IsNew)
      Entry->second = View->ownerOf(Rack, Domain) == Options.Vm;
    return Entry->second;
  }

  [[nodiscard]] bool anyOwnerOutOfContact() const override { return Contacts.anyOwnerOutOfContact(); }

  // The term is the high part of the token, so that a VM with an older registration can take over without the
  // store.
  std::uint64_t fencingToken(std::uint64_t Above) override {
    auto TokenOf = [&](std::uint32_t Term) {
      return (std::uint64_t{Term} << TermShift) | Self.registration();
    };
    std::uint32_t Term = View->highestTerm();
    if (TokenOf(Term) <= Above)
      Term = std::max(Term, static_cast<std::uint32_t>(Above >> TermShift)) + 1;
    if (Term != Self.term()) {
      Self.set_term(Term);
      onOwnStatusChanged();
      Ports.onTermRaised(Term);
    }
    return TokenOf(Term);
  }

  // Messages.

  void handle(const std::string &From, const schema::dispatch_message &Message) {
    // A late message must not be handled as if its sender still had contact with this VM.
    endExpiredContacts();
    switch (Message.body_case()) {
    case schema::dispatch_message::kStatus:
      onStatus(Message.status());
      break;
    case schema::dispatch_message::kPlace:
      setPlacing(true);
      Queue->enqueue(From, Message.place());
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
      // Messages that a VM sent before contact ended must not bring back its servers.
      if (View->inContact(From))
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
      learnEvacuations(Message.configuration().evacuations());
      if (!Current || Message.configuration().version() > Current->Version)
        Ports.onConfigurationOffered(Message.configuration());
      break;
    case schema::dispatch_message::kOwned:
      for (const schema::owned_server &Owned : Message.owned().servers())
        Owner->onClaimedElsewhere(From, Owned.server(), Owned.token());
      break;
    case schema::dispatch_message::kRelay:
      // A VM that lost contact assumes that this VM has given up its relayed jobs.
      if (View->inContact(From))
        Waiters.onRelayJob(From, Message.relay());
      else
        declineRelayed(From, Message.relay());
      break;
    case schema::dispatch_message::kRelayed:
      Relay->onAnswer(From, Message.relayed());
      break;
    case schema::dispatch_message::kWithdrawRelayed:
      Waiters.onWithdrawRelayed(From, Message.withdraw_relayed());
      break;
    case schema::dispatch_message::kLostServers:
      Losses.record(Message.lost_servers());
      break;
    case schema::dispatch_message::BODY_NOT_SET:
      break;
    }
  }

  void onStatus(const schema::vm_status &Status) {
    learnEvacuations(Status.evacuations());
    std::vector<view_change> Changes = View->onStatus(Status);
    // The reply precedes the messages that the start of contact causes, because the other VM accepts these
    // only when it is in contact.
    if (Status.vm() != Options.Vm)
      Contacts.answerGreeting(Status, !Changes.empty());
    applyChanges(Changes);
    Contacts.addPeers(Status);
    offerConfiguration(Status);
    if (View->version() != AppliedViewVersion)
      updatePlacerAndOwnership();
  }

  void learnEvacuations(const google::protobuf::RepeatedPtrField<schema::evacuation_state> &States) {
    for (const schema::evacuation_state &State : States)
      setEvacuations(State);
  }

  void declineRelayed(const std::string &From, const schema::relay_job &Job) {
    ++DeclinedJobs;
    log(log_level::Info, "relayed_job_declined",
        {{"job", formatJob(Job.job())}, {"vm", From}, {"reason", std::string("not_in_contact")}});
    auto Found = View->others().find(From);
    if (Found != View->others().end())
      Ports.send(From, Found->second.Address, makeNotTakenAnswer(Job));
  }

  void offerConfiguration(const schema::vm_status &Status) {
    if (!Current || Status.configuration_version() >= Current->Version)
      return;
    std::uint64_t &Offered = OfferedVersions[Status.vm()];
    if (Offered == Current->Version)
      return;
    Offered = Current->Version;
    schema::dispatch_message Message;
    *Message.mutable_configuration() = CurrentCopy;
    *Message.mutable_configuration()->mutable_evacuations() = Self.evacuations();
    send(Status.vm(), std::move(Message));
  }

  void onResume(const std::string &From, const schema::resume_session &Session) {
    Owner->onResume(From, Session);
    Waiters.onResume(From, Session);
    // The other VM has noticed a broken connection that this VM may have missed.
    if (Session.answer() || From == Options.Vm)
      return;
    sendResume(From, true);
    resyncPlacement(From);
  }

  void onCancel(const std::string &From, const schema::cancel_submitted &Request) {
    auto Reply = [this, From, Exchange = Request.exchange()](bool Found) {
      schema::dispatch_message Message;
      Message.mutable_cancelled()->set_exchange(Exchange);
      Message.mutable_cancelled()->set_found(Found);
      send(From, std::move(Message));
    };
    bool Found = Jobs->cancel(Request.job(), end_reason::Cancelled);
    auto Requester = View->others().find(From);
    bool FromRelay =
        Requester != View->others().end() && Requester->second.Status.role() == schema::VM_RELAYS;
    if (Found || !FromRelay)
      Reply(Found);
    else
      Cancels.sendCancel(Request.job(), Contacts.coordinatingVms(), Options.CancelTimeout, Reply);
  }

  // Contact with other VMs.

  void applyChanges(const std::vector<view_change> &Changes) {
    for (const view_change &Change : Changes) {
      switch (Change.Kind) {
      case view_change::kind::Found:
        log(log_level::Info, "vm_found", {{"vm", Change.Vm}});
        if (Contacts.coordinates(Change.Vm))
          Owner->onOwnerFound();
        onContactBegan(Change.Vm);
        break;
      case view_change::kind::Resumed:
        log(log_level::Info, "vm_resumed", {{"vm", Change.Vm}});
        onContactBegan(Change.Vm);
        break;
      case view_change::kind::Lost:
        onVmLost(Change.Vm);
        break;
      }
    }
    if (!Changes.empty())
      updatePlacerAndOwnership();
  }

  void onContactBegan(const std::string &Vm) {
    sendResume(Vm, false);
    OfferedVersions.erase(Vm);
    if (Contacts.coordinates(Vm)) {
      Owner->announceOwnedServers(Vm);
      sendLosses(Vm);
    }
    resyncPlacement(Vm);
  }

  // The other VM may have started or been out of contact since.
  void sendLosses(const std::string &Vm) {
    schema::dispatch_message Message;
    *Message.mutable_lost_servers() = Losses.recent();
    if (Message.lost_servers().servers_size() > 0)
      send(Vm, std::move(Message));
  }

  void sendResume(const std::string &Vm, bool Answer) {
    schema::resume_session Session;
    Session.set_session(++Sessions[Vm]);
    Session.set_answer(Answer);
    Relay->onVmResumed(Vm, Session);
    Jobs->onVmResumed(Vm, std::move(Session));
  }

  // Messages that the placer and coordinators sent to each other before may be lost.
  void resyncPlacement(const std::string &Vm) {
    if (Placing && Contacts.coordinates(Vm))
      send(Vm, makeSubscription(false));
    if (Vm == Placer)
      Jobs->onPlacerChanged();
  }

  void onVmLost(const std::string &Vm) {
    log(log_level::Warning, "vm_lost", {{"vm", Vm}});
    if (vmsInContact() == 0)
      LostAllAt = Executor.clock().now();
    Ports.disconnect(Vm);
    dropSessions(Vm);
    if (!Contacts.needsContact(Vm))
      View->removeVm(Vm);
  }

  [[nodiscard]] std::size_t vmsInContact() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(View->others(), [](const auto &Entry) { return Entry.second.InContact; }));
  }

  [[nodiscard]] bool recentlyLostAll() const {
    return LostAllAt && vmsInContact() == 0 &&
           Executor.clock().now() - *LostAllAt < Options.IsolatedClaimDelay;
  }

  void dropSessions(const std::string &Vm) {
    Queue->removeVm(Vm);
    Owner->onVmLost(Vm);
    Jobs->onVmLost(Vm);
    Waiters.onVmLost(Vm);
    Relay->onVmLost(Vm);
  }

  // A dispatching VM that does not know the placer yet relays its jobs if it can.
  [[nodiscard]] bool relaysNewJobs() const {
    if (Self.role() != schema::VM_DISPATCHES)
      return true;
    return Placer.empty() && !View->dispatcherFor(0, Options.Domain).empty();
  }

  // VMs that were removed without a signal keep their entries in the store and take the place of other VMs in
  // the choice of dispatchers.
  void reportStaleVms() {
    time_point Before = Executor.clock().now() - StaleRegistrationTimeout;
    if (!Placing || PlacingSince >= Before)
      return;
    for (const std::string &Vm : Contacts.dispatchersOutOfContactSince(Before))
      Ports.onStaleRegistration(Vm);
    std::vector<std::string> Missing = Roll.missingSince(Registered, Before);
    Missing.resize(std::min(Missing.size(), MaxRemovalsPerInterval));
    for (const std::string &Vm : Missing)
      Ports.onStaleRegistration(Vm);
  }

  // Without a VM that dispatches, nobody removes the entries of lost VMs, which keep the places of others.
  void callRollIfNeeded() {
    bool WithoutDispatcher = Self.registration() > 0 && !Contacts.knowsDispatcher();
    if (!Roll.isDue(WithoutDispatcher, Executor.clock().now()))
      return;
    log(log_level::Warning, "roll_call_needed",
        {{"registered", static_cast<std::int64_t>(Registered.size())},
         {"dispatchers", static_cast<std::int64_t>(Contacts.dispatcherCount())},
         {"contacts", static_cast<std::int64_t>(vmsInContact())}});
    Ports.onRollCallNeeded();
  }

  void endRollCall() {
    if (!Roll.hasEnded(Executor.clock().now()))
      return;
    updateDispatchers();
    log(log_level::Info, "roll_call_ended",
        {{"registered", static_cast<std::int64_t>(Registered.size())},
         {"answered", static_cast<std::int64_t>(Roll.present(Registered, Executor.clock().now()).size())},
         {"chosen", Contacts.isChosen()}});
    Decision.decideAnew();
  }

  void onOwnStatusChanged() {
    Self.set_serving(Current != nullptr);
    View->setSelf(Self);
    Contacts.sendHeartbeats();
    updatePlacerAndOwnership();
  }

  [[nodiscard]] std::map<std::string, std::uint32_t>
  runsInEvacuatedDomains(const std::vector<schema::server_state> &States) const {
    std::map<std::string, std::uint32_t> Runs;
    for (const std::string &Domain : Evacuations.domains())
      Runs[Domain] = 0;
    for (const schema::server_state &State : States)
      if (auto Found = Runs.find(State.domain()); Found != Runs.end())
        Found->second += State.tasks();
    return Runs;
  }

  // Roles.

  void updateDispatchers() {
    Contacts.setRegistered(Roll.present(Registered, Executor.clock().now()));
    Contacts.chooseDispatchers();
    updateRole();
  }

  void updateRole() {
    bool Dispatches = Decision.update(Executor.clock().now(), Contacts.isChosen());
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
         {"dispatchers", static_cast<std::int64_t>(Contacts.dispatcherCount())}});
    bool WasRelay = Contacts.isRelay();
    Self.set_role(Role);
    View->setSelf(Self);
    if (WasRelay)
      View->restartDiscovery();
    if (WasRelay != Contacts.isRelay())
      Ports.onServersNeeded(!Contacts.isRelay());
    Contacts.contactOthers();
    onOwnStatusChanged();
  }

  void updatePlacerAndOwnership() {
    AppliedViewVersion = View->version();
    Relay->onDispatcherFound();
    std::string NewPlacer = View->discoveryComplete() ? View->placer() : std::string();
    if (NewPlacer != Placer) {
      log(log_level::Info, "placer_changed", {{"placer", NewPlacer}, {"former", Placer}});
      Placer = NewPlacer;
      setPlacing(Placer == Options.Vm);
      Jobs->onPlacerChanged();
    }
    Owner->claimAssignedServers();
  }

  void setPlacing(bool IsPlacing) {
    if (std::exchange(Placing, IsPlacing) == IsPlacing)
      return;
    PlacingSince = Executor.clock().now();
    broadcast(makeSubscription(!IsPlacing));
  }

  static schema::dispatch_message makeSubscription(bool End) {
    schema::dispatch_message Message;
    Message.mutable_subscribe()->set_end(End);
    return Message;
  }

  // With many waiting jobs, scheduling after every message would be too expensive.
  void scheduleSoon() {
    if (std::exchange(SchedulePosted, true))
      return;
    auto Schedule = Lifetime.guard([this] {
      SchedulePosted = false;
      Queue->schedule();
    });
    if (Queue->waitingJobs() > BusyQueueThreshold)
      Executor.after(BusyScheduleDelay, Schedule);
    else
      Executor.post(Schedule);
  }

  void schedule() {
    endExpiredContacts();
    if (Placing)
      Queue->schedule();
  }

  void endExpiredContacts() { applyChanges(View->tick()); }

  void tick() {
    endExpiredContacts();
    callRollIfNeeded();
    endRollCall();
    updateRole();
    updatePlacerAndOwnership();
    Owner->tick();
  }

  void runEvery(runtime::duration Interval, std::function<void()> Function) {
    Executor.after(Interval, Lifetime.guard([this, Interval, Function = std::move(Function)] {
      Function();
      runEvery(Interval, Function);
    }));
  }

  runtime::executor &Executor;
  entry_vm_ports &Ports;
  entry_vm_options Options;
  schema::vm_status Self;
  std::unique_ptr<fleet_view> View;
  fleet_contacts Contacts;
  std::unique_ptr<placement_queue> Queue;
  std::unique_ptr<job_coordinator> Jobs;
  std::unique_ptr<server_owner> Owner;
  relay_adapter RelayAdapter;
  std::unique_ptr<job_relay> Relay;
  job_waiters Waiters;
  job_router Router;
  cancel_exchanges Cancels;
  dispatching_decision Decision;
  // The other VMs with an entry in the store.
  registered_vms Registered;
  roll_call Roll;
  evacuations Evacuations;
  loss_history Losses;
  std::unique_ptr<configuration> Current;
  schema::configuration_copy CurrentCopy;
  std::map<std::string, std::string> Incarnations;
  std::map<std::string, std::uint32_t> Sessions;
  std::map<std::string, std::uint64_t> OfferedVersions;
  // Version of the view that the placer and the ownership of servers were last updated for.
  std::uint64_t AppliedViewVersion = 0;
  // Whether this VM owns a rack of a failure domain, according to the version of the view below.
  mutable std::map<std::pair<std::string, std::string>, bool> RackOwnership;
  mutable std::uint64_t RackOwnershipViewVersion = 0;
  std::string Placer;
  bool Placing = false;
  time_point PlacingSince{};
  bool SchedulePosted = false;
  // When this VM lost contact with the last of the others.
  std::optional<time_point> LostAllAt;
  std::uint64_t DeclinedJobs = 0;
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<entry_vm> makeEntryVm(runtime::executor &Executor, entry_vm_ports &Ports,
                                      entry_vm_options Options) {
  return std::make_unique<entry_vm_impl>(Executor, Ports, std::move(Options));
}

} // namespace yuccaplank::dispatch
