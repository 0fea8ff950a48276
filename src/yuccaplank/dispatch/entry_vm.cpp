#include "yuccaplank/dispatch/entry_vm.hpp"
#include "configuration_exchange.hpp"
#include "contact_sessions.hpp"
#include "job_router.hpp"
#include "message_router.hpp"
#include "rack_assignment.hpp"
#include "server_entry_exchange.hpp"
#include "shedding_job_service.hpp"
#include "vm_components.hpp"
#include "vm_reports.hpp"
#include "vm_roles.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace yuccaplank::dispatch {
namespace {

using runtime::log;
using runtime::log_level;
using runtime::time_point;

constexpr auto TickInterval = std::chrono::milliseconds(50);
constexpr auto LossUpdateInterval = std::chrono::seconds(1);
// The queue is processed this often even without messages, so that rejections are not late.
constexpr auto ScheduleInterval = std::chrono::milliseconds(10);

class entry_vm_impl final : public entry_vm, coordinator_ports, owner_ports, contact_ports {
public:
  entry_vm_impl(runtime::executor &Executor, entry_vm_ports &Ports, entry_vm_options Options)
      : RelayAdapter(*this), EntryAdapter(*this), Vm(Executor, Ports, std::move(Options), rolePorts()),
        Configurations(Vm), ServerEntries(makeServerEntryExchange(Vm.Executor.clock(), Vm.Options.Vm,
                                                                  EntryAdapter, Vm.Options.ServerEntries)),
        Roles(Vm), Sessions(Vm, Roles, Configurations),
        Messages(Vm, Roles, Sessions, Configurations, *ServerEntries), Racks(*Vm.View, Vm.Options.Vm),
        Router(*Vm.Jobs, Vm.Waiters, *Vm.Relay, [this] { return Roles.relaysNewJobs(); }),
        Shedder(Vm.Executor.clock(), Vm.Backlogs),
        Shedding(Vm.Executor, Router, Shedder,
                 [this](job_id Job, const job_answer &Answer) { Vm.Ports.answer(Job, Answer); }) {
    runEvery(Vm.Options.HeartbeatInterval, [this] {
      // Expired contacts end first, so that the other VMs receive the consequences before a heartbeat that
      // extends contact.
      Sessions.endExpiredContacts();
      addBacklogs();
      Vm.Contacts.sendHeartbeats();
      // Other messages with the status would tell the backlogs with an age that is too low.
      Vm.Self.clear_backlogs();
    });
    runEvery(Vm.Options.RetryInterval, [this] {
      Vm.Contacts.contactOthers();
      Roles.reportStaleVms();
    });
    runEvery(TickInterval, [this] { tick(); });
    runEvery(LossUpdateInterval, [this] {
      if (Vm.Losses.forgetExpired())
        Vm.Jobs->onLossesChanged();
    });
    runEvery(ScheduleInterval, [this] { schedule(); });
  }
  entry_vm_impl(const entry_vm_impl &) = delete;
  entry_vm_impl &operator=(const entry_vm_impl &) = delete;
  ~entry_vm_impl() override = default;

  void setRegistration(std::uint64_t Version, bool Returning) override {
    Roles.setRegistration(Version, Returning);
  }

  void observeTerm(std::uint32_t Term) override {
    if (Term <= Vm.View->highestTerm() || Term > MaxTerm)
      return;
    Vm.Self.set_term(Term);
    Vm.View->setSelf(Vm.Self);
  }

  bool setConfiguration(configuration Configuration, std::string Document) override {
    if (!Configurations.setConfiguration(std::move(Configuration), std::move(Document)))
      return false;
    Roles.onOwnStatusChanged();
    return true;
  }

  void setEvacuations(const schema::evacuation_state &State) override {
    Configurations.setEvacuations(State);
  }
  void setServers(const std::vector<server_entry> &Servers, std::uint64_t Version) override {
    ServerEntries->setEntries(Servers, Version);
  }
  void onServersRead(std::optional<std::uint64_t> Version, time_point SentAt) override {
    ServerEntries->onRead(Version, SentAt);
  }
  void forgetServers() override {
    ServerEntries->clear();
    Vm.Owner->setServers({});
  }
  void setRegisteredVms(const registered_vms &Vms) override { Roles.setRegisteredVms(Vms); }
  void setRollCall(std::uint64_t Version) override { Roles.setRollCall(Version); }

  void addSeeds(const std::vector<std::string> &Addresses) override {
    Vm.Contacts.setSeeds(Addresses);
    Vm.Contacts.contactOthers();
  }

  void onMessage(const std::string &From, const std::string &Incarnation,
                 const schema::dispatch_message &Message) override {
    Sessions.setIncarnation(From, Incarnation);
    Messages.handle(From, Message);
  }
  void onClosed(const std::string &Other) override { Sessions.onClosed(Other); }
  void onConnectFailed(const std::string &Address) override { Sessions.onConnectFailed(Address); }

  [[nodiscard]] const configuration *currentConfiguration() const override {
    return Configurations.current();
  }
  [[nodiscard]] bool ready() const override {
    return Configurations.current() && !Vm.Self.draining() && !Vm.View->placer().empty();
  }
  job_service &jobs() override { return Shedding; }
  [[nodiscard]] bool understoodByAll(job_id Job) const override { return Messages.understoodByAll(Job); }
  void cancel(job_id Job, std::function<void(bool)> OnDone) override {
    Messages.cancel(Job, std::move(OnDone));
  }

  [[nodiscard]] std::uint32_t waitingJobs(const std::string &QueueName) const override {
    auto Lengths = Vm.Contacts.fleetQueueLengths();
    auto Found = Lengths.find(QueueName);
    return Found == Lengths.end() ? 0 : Found->second;
  }

  void onPause() override {
    // Discovery restarts before contacts end. Otherwise this VM would assume that it is alone and claim all
    // servers.
    Vm.View->restartDiscovery();
    Vm.Self.set_pauses(Vm.Self.pauses() + 1);
    Vm.View->setSelf(Vm.Self);
    Sessions.endAllContacts();
    Vm.Owner->onPause();
    ServerEntries->onPause();
    Vm.Backlogs.clear();
    Vm.Contacts.contactOthers();
    Roles.updatePlacerAndOwnership();
  }

  void drain() override {
    Vm.Self.set_draining(true);
    Roles.onOwnStatusChanged();
  }

  [[nodiscard]] entry_vm_state state() const override {
    entry_vm_state State = makeVmState(Vm, Roles, Configurations, Messages.declinedJobs());
    State.ShedJobs = Shedder.shedJobs();
    State.ServerEntries = ServerEntries->counters();
    return State;
  }
  [[nodiscard]] schema::fleet_report report() const override {
    return makeFleetReport(Vm, Roles, Configurations);
  }

private:
  // The services that the relay uses.
  struct relay_adapter final : relay_ports {
    explicit relay_adapter(entry_vm_impl &Impl) : Impl(Impl) {}
    void send(const std::string &To, schema::dispatch_message Message) override {
      Impl.send(To, std::move(Message));
    }
    [[nodiscard]] std::string dispatcherFor(job_id Job) const override {
      return Impl.Vm.View->dispatcherFor(Job, Impl.Vm.Options.Domain);
    }
    [[nodiscard]] std::uint32_t session(const std::string &Other) const override {
      return Impl.session(Other);
    }
    void answer(job_id Job, const job_answer &Answer) override { Impl.answerCaller(Job, Answer); }
    entry_vm_impl &Impl;
  };

  // The services that the exchange of server entries uses.
  struct entry_adapter final : server_entry_ports {
    explicit entry_adapter(entry_vm_impl &Impl) : Impl(Impl) {}
    void send(const std::string &To, schema::dispatch_message Message) override {
      Impl.send(To, std::move(Message));
    }
    [[nodiscard]] std::vector<std::string> sources() const override {
      return Impl.Vm.Contacts.serverEntrySources();
    }
    void onEntriesChanged(const std::vector<server_entry> &Entries) override {
      Impl.Vm.Owner->setServers(Entries);
    }
    void onReadingChanged(bool Reads) override {
      Impl.Vm.Self.set_servers_unread(!Reads);
      Impl.Vm.View->setSelf(Impl.Vm.Self);
    }
    void onStartsSuspended(bool Suspended) override { Impl.Vm.Owner->suspendStarts(Suspended); }
    entry_vm_impl &Impl;
  };

  role_ports rolePorts() {
    return {*this,
            *this,
            *this,
            RelayAdapter,
            [this](const std::string &To, schema::dispatch_message Message) { send(To, std::move(Message)); },
            [this](job_id Job, const job_answer &Answer) { answerCaller(Job, Answer); }};
  }

  // Services that the roles use.

  void send(const std::string &To, schema::dispatch_message Message) override {
    if (To == Vm.Options.Vm) {
      Vm.Executor.post(
          Lifetime.guard([this, Message = std::move(Message)] { Messages.handle(Vm.Options.Vm, Message); }));
      return;
    }
    auto Found = Vm.View->others().find(To);
    if (Found != Vm.View->others().end() && Found->second.InContact)
      Vm.Ports.send(To, Found->second.Address, std::move(Message));
  }

  void broadcast(const schema::dispatch_message &Message) override { Vm.broadcast(Message); }
  void announceLoss(schema::lost_server Lost) override {
    schema::dispatch_message Message;
    Lost.set_observer(Vm.Options.Vm);
    *Message.mutable_lost_servers()->add_servers() = std::move(Lost);
    Vm.broadcast(Message);
  }
  void onServerReplied(const std::string &Server, std::int64_t IncarnationStartMs,
                       std::int64_t ClockMs) override {
    std::optional<schema::lost_server> Settled = Vm.Losses.settle(Server, IncarnationStartMs, ClockMs);
    if (!Settled)
      return;
    log(log_level::Info, "loss_settled",
        {{"server", Server},
         {"lost_born", Settled->incarnation_start_ms()},
         {"born", IncarnationStartMs},
         {"clock_ms", ClockMs}});
    announceLoss(*std::move(Settled));
  }
  void sendTo(const std::string &To, const std::string &Address, schema::dispatch_message Message) override {
    Vm.Ports.send(To, Address, std::move(Message));
  }
  [[nodiscard]] queue_lengths localQueueLengths() const override { return Vm.Jobs->queueLengths(); }
  [[nodiscard]] std::set<std::string> jobCoordinators() const override { return Vm.Relay->dispatchers(); }
  [[nodiscard]] std::string placer() const override { return Roles.placer(); }
  [[nodiscard]] bool reachable(const std::string &Other) const override { return Vm.View->inContact(Other); }
  [[nodiscard]] std::optional<time_point> lastAnsweredHeartbeat(const std::string &Other) const override {
    if (Other == Vm.Options.Vm)
      return time_point::max();
    auto Found = Vm.View->others().find(Other);
    if (Found == Vm.View->others().end() || !Found->second.InContact)
      return std::nullopt;
    return Found->second.LastAnsweredHeartbeat;
  }
  [[nodiscard]] std::uint32_t session(const std::string &Other) const override {
    return Sessions.session(Other);
  }
  [[nodiscard]] loss_verdict verdict(const task_key &Task) const override { return Vm.Losses.verdict(Task); }
  [[nodiscard]] loss_verdict verdict(job_id Job) const override { return Vm.Losses.verdict(Job); }
  [[nodiscard]] std::string describeLosses(job_id Job) const override { return Vm.Losses.describe(Job); }
  void answer(job_id Job, const job_answer &Answer) override { Vm.Waiters.onAnswer(Job, Answer); }
  server_orders &orders() override { return Vm.Ports.orders(); }
  [[nodiscard]] bool shouldOwn(const std::string &Rack, const std::string &Domain) const override {
    if (!Vm.View->discoveryComplete() || (Domain != Vm.Options.Domain && Sessions.recentlyLostAll()))
      return false;
    return Racks.isOwn(Rack, Domain);
  }
  [[nodiscard]] bool anyOwnerOutOfContact() const override { return Vm.Contacts.anyOwnerOutOfContact(); }

  // The term is the high part of the token, so that a VM with an older registration can take over without the
  // store.
  std::uint64_t fencingToken(std::uint64_t Above) override {
    auto TokenOf = [&](std::uint32_t Term) {
      return (std::uint64_t{Term} << TermShift) | Vm.Self.registration();
    };
    std::uint32_t Term = Vm.View->highestTerm();
    if (TokenOf(Term) <= Above)
      Term = std::max(Term, static_cast<std::uint32_t>(Above >> TermShift)) + 1;
    if (Term != Vm.Self.term()) {
      Vm.Self.set_term(Term);
      Roles.onOwnStatusChanged();
      Vm.Ports.onTermRaised(Term);
    }
    return TokenOf(Term);
  }

  // Heartbeats tell the other VMs what this one predicts as the placer, or knows from the placer.
  void addBacklogs() {
    if (Roles.placing())
      Vm.Queue->predictBacklogs(Vm.Backlogs);
    if (!Vm.Contacts.isRelay())
      Vm.Backlogs.addTo(Vm.Executor.clock().now(), *Vm.Self.mutable_backlogs());
  }

  void answerCaller(job_id Job, const job_answer &Answer) {
    Shedder.onAnswer(Answer);
    Vm.Ports.answer(Job, Answer);
  }

  // Timers.

  void schedule() {
    Sessions.endExpiredContacts();
    if (Roles.placing())
      Vm.Queue->schedule();
  }

  void tick() {
    Sessions.endExpiredContacts();
    Roles.tick();
    ServerEntries->update();
    Vm.Owner->tick();
  }

  void runEvery(runtime::duration Interval, std::function<void()> Function) {
    Vm.Executor.after(Interval, Lifetime.guard([this, Interval, Function = std::move(Function)] {
      Function();
      runEvery(Interval, Function);
    }));
  }

  relay_adapter RelayAdapter;
  entry_adapter EntryAdapter;
  vm_components Vm;
  configuration_exchange Configurations;
  std::unique_ptr<server_entry_exchange> ServerEntries;
  vm_roles Roles;
  contact_sessions Sessions;
  message_router Messages;
  mutable rack_assignment Racks;
  job_router Router;
  admission::load_shedder Shedder;
  shedding_job_service Shedding;
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<entry_vm> makeEntryVm(runtime::executor &Executor, entry_vm_ports &Ports,
                                      entry_vm_options Options) {
  return std::make_unique<entry_vm_impl>(Executor, Ports, std::move(Options));
}

} // namespace yuccaplank::dispatch
