#include "yuccaplank/dispatch/server_owner.hpp"
#include "order_window.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "server_evidence.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace yuccaplank::dispatch {
namespace {

// Run ends that are kept for coordinators whose session broke before they received them.
constexpr std::size_t MaxRecentEnds = 512;

struct owned_server {
  server_entry Entry;
  std::unique_ptr<server_ledger> Ledger;
};

class server_owner_impl final : public server_owner, ledger_ports {
public:
  server_owner_impl(runtime::executor &Executor, owner_ports &Ports, ledger_options Options)
      : Executor(Executor), Ports(Ports), Options(Options),
        ReplyTimeout(Options.MinReplyTimeout, Options.InitialReplyTimeout, Options.MaxReplyTimeout) {}
  server_owner_impl(const server_owner_impl &) = delete;
  server_owner_impl &operator=(const server_owner_impl &) = delete;
  ~server_owner_impl() override = default;

  void setServers(const std::vector<server_entry> &Listed) override {
    std::set<std::string> Names;
    for (const server_entry &Entry : Listed) {
      Names.insert(Entry.Target.Id);
      owned_server &Server = Servers[Entry.Target.Id];
      Server.Entry = Entry;
      if (Server.Ledger)
        Server.Ledger->update(Entry);
      else
        Server.Ledger = makeServerLedger(Executor, *this, Entry, Options, Fleet);
      Server.Ledger->setEvacuated(EvacuatedDomains.contains(Entry.Domain));
      Server.Ledger->suspendStarts(StartsSuspended);
    }
    for (auto &[Id, Server] : Servers)
      if (!Names.contains(Id))
        Server.Ledger->delist();
    removeFinishedServers();
    claimAssignedServers();
  }

  void setEvacuatedDomains(const std::set<std::string> &Domains) override {
    EvacuatedDomains = Domains;
    for (auto &[Id, Server] : Servers)
      Server.Ledger->setEvacuated(EvacuatedDomains.contains(Server.Entry.Domain));
  }

  void suspendStarts(bool Suspend) override {
    StartsSuspended = Suspend;
    for (auto &[Id, Server] : Servers)
      Server.Ledger->suspendStarts(Suspend);
  }

  void claimAssignedServers() override {
    for (auto &[Id, Server] : Servers)
      if (Server.Ledger->unowned() && Ports.shouldOwn(Server.Entry.Rack, Server.Entry.Domain))
        Server.Ledger->claim();
  }

  void onStart(const std::string &Coordinator, const schema::start_task &Request) override {
    auto Session = Sessions.find(Coordinator);
    if (Session != Sessions.end() && Request.session() < Session->second)
      return;
    HandledGrants[Request.placer()][Request.server()].push_back(Request.grant());
    onCapacityChanged(Request.server());
    auto Found = Servers.find(Request.server());
    if (Found == Servers.end() || !Ports.reachable(Coordinator)) {
      refuse(Coordinator, Request);
      return;
    }
    Found->second.Ledger->start(Coordinator, Request);
  }

  void onStop(const std::string &Coordinator, const schema::stop_task &Request) override {
    auto Found = Servers.find(Request.server());
    if (Found != Servers.end())
      Found->second.Ledger->stop(Coordinator, toRunKey(Request.task()));
  }

  void onSubscribe(const std::string &Placer, const schema::subscribe_servers &Request) override {
    if (Request.end()) {
      Subscribers.erase(Placer);
      return;
    }
    Subscribers.insert(Placer);
    for (auto &[Id, Server] : Servers)
      if (!Server.Ledger->unowned())
        onCapacityChanged(Id);
  }

  void onAdopted(const std::string &Coordinator, const schema::adopt_reply &Reply) override {
    auto Found = Servers.find(Reply.server());
    if (Found != Servers.end())
      Found->second.Ledger->adopt(Coordinator, Reply);
  }

  void onClaimedElsewhere(const std::string &NewOwner, const std::string &Server,
                          std::uint64_t Token) override {
    auto Found = Servers.find(Server);
    if (Found == Servers.end())
      return;
    server_ledger &Ledger = *Found->second.Ledger;
    bool WasUnowned = Ledger.unowned();
    Ledger.onClaimedElsewhere(Token);
    if (!WasUnowned && Ledger.unowned())
      runtime::log(runtime::log_level::Info, "server_taken_over", {{"server", Server}, {"owner", NewOwner}});
  }

  // Servers with runs send their lists continuously, so only idle ones need a request.
  void onOwnerFound() override {
    for (auto &[Id, Server] : Servers)
      if (Server.Ledger->owned() && Server.Ledger->idle())
        Server.Ledger->requestRunList();
  }

  void announceOwnedServers(const std::string &Vm) override {
    schema::dispatch_message Message;
    for (const auto &[Id, Server] : Servers)
      if (!Server.Ledger->unowned()) {
        schema::owned_server &Owned = *Message.mutable_owned()->add_servers();
        Owned.set_server(Id);
        Owned.set_token(Server.Ledger->highestToken());
      }
    if (Message.has_owned())
      Ports.send(Vm, std::move(Message));
  }

  void onPause() override {
    for (auto &[Id, Server] : Servers)
      Server.Ledger->release();
  }

  void onResume(const std::string &Coordinator, const schema::resume_session &Session) override {
    Sessions[Coordinator] = Session.session();
    for (auto &[Id, Server] : Servers)
      Server.Ledger->resume(Coordinator, Session);
    for (const schema::counted_run &Run : Session.runs())
      answerExpectedRun(Coordinator, Run);
  }

  void onVmLost(const std::string &Vm) override {
    Subscribers.erase(Vm);
    HandledGrants.erase(Vm);
    for (auto &[Id, Server] : Servers)
      Server.Ledger->stopRunsOf(Vm);
  }

  void tick() override {
    for (auto &[Id, Server] : Servers)
      Server.Ledger->tick();
    removeFinishedServers();
  }

  [[nodiscard]] owner_counts counts() const override {
    owner_counts Counts;
    Counts.Listed = Servers.size();
    for (const auto &[Id, Server] : Servers) {
      schema::server_state State = Server.Ledger->state();
      Counts.Owned += Server.Ledger->owned() ? 1 : 0;
      Counts.Usable += State.usable() ? 1 : 0;
      Counts.Runs += State.tasks();
    }
    return Counts;
  }
  [[nodiscard]] std::vector<schema::server_state> states() const override {
    std::vector<schema::server_state> States;
    for (const auto &[Id, Server] : Servers)
      if (Server.Ledger->owned())
        States.push_back(Server.Ledger->state());
    return States;
  }
  [[nodiscard]] const ledger_counters &counters() const override { return Counters; }

private:
  server_orders &orders() override { return Orders; }
  void broadcast(const schema::dispatch_message &Message) override { Ports.broadcast(Message); }
  void announceLoss(schema::lost_server Lost) override { Ports.announceLoss(std::move(Lost)); }
  void onServerReplied(const std::string &Server, std::int64_t IncarnationStartMs,
                       std::int64_t ClockMs) override {
    Ports.onServerReplied(Server, IncarnationStartMs, ClockMs);
  }
  std::uint64_t fencingToken(std::uint64_t Above) override { return Ports.fencingToken(Above); }
  [[nodiscard]] bool anyOwnerOutOfContact() const override { return Ports.anyOwnerOutOfContact(); }
  [[nodiscard]] std::optional<runtime::time_point>
  lastAnsweredHeartbeat(const std::string &Vm) const override {
    return Ports.lastAnsweredHeartbeat(Vm);
  }
  ledger_counters &counters() override { return Counters; }
  reply_timeout &replyTimeout() override { return ReplyTimeout; }

  void send(const std::string &Vm, schema::dispatch_message Message) override {
    if (Message.has_event())
      recordEnd(Message.event());
    Ports.send(Vm, std::move(Message));
  }

  // Collects the changes of one executor turn, so that each server's state is sent once.
  void onCapacityChanged(const std::string &Server) override {
    ChangedServers.insert(Server);
    if (ChangedServers.size() == 1)
      Executor.post(Lifetime.guard([this] { sendStates(); }));
  }

  void sendStates() {
    std::set<std::string> Names;
    Names.swap(ChangedServers);
    for (const std::string &Name : Names) {
      auto Found = Servers.find(Name);
      schema::server_state State;
      State.set_server(Name);
      State.set_removed(true);
      if (Found != Servers.end())
        State = Found->second.Ledger->state();
      limitTasks(State);
      for (const std::string &Placer : Subscribers)
        sendState(Placer, State);
    }
    HandledGrants.clear();
  }

  // A server with too many start orders in progress gets no task beyond those that it has.
  void limitTasks(schema::server_state &State) const {
    if (State.task_limit() == 0 && Orders.isFull(State.server()))
      State.set_task_limit(std::max<std::uint32_t>(State.tasks(), 1));
  }

  void onStartsFreed(const std::string &Server) {
    if (!Server.empty())
      return onCapacityChanged(Server);
    for (const auto &[Id, Owned] : Servers)
      if (!Owned.Ledger->unowned())
        onCapacityChanged(Id);
  }

  void sendState(const std::string &Placer, const schema::server_state &State) {
    schema::dispatch_message Message;
    *Message.mutable_server() = State;
    for (std::uint64_t Grant : HandledGrants[Placer][State.server()])
      Message.mutable_server()->add_handled(Grant);
    Ports.send(Placer, std::move(Message));
  }

  void refuse(const std::string &Coordinator, const schema::start_task &Request) {
    Ports.send(Coordinator, makeTaskEvent(toRunKey(Request.task()), schema::RUN_NOT_STARTED, Request.server(),
                                          "server_not_owned"));
  }

  void answerExpectedRun(const std::string &Coordinator, const schema::counted_run &ExpectedRun) {
    run_key Run = toRunKey(ExpectedRun.task());
    auto Found = Servers.find(ExpectedRun.server());
    server_ledger *Ledger = Found == Servers.end() ? nullptr : Found->second.Ledger.get();
    if (Ledger && (Ledger->containsRun(Run) || Ledger->resendAdoption(Coordinator)))
      return;
    schema::dispatch_message Message;
    auto Ended = std::ranges::find_if(RecentEnds, [&](const auto &End) {
      return toRunKey(End.task()) == Run && End.server() == ExpectedRun.server();
    });
    if (Ended != RecentEnds.end()) {
      *Message.mutable_event() = *Ended;
    } else if (Ledger && Ledger->owned()) {
      // The run neither exists nor ended here, so the start order never arrived.
      Message = makeTaskEvent(Run, schema::RUN_GONE, ExpectedRun.server(), "not_received");
    } else {
      // This VM does not control runs that were ordered under an earlier claim until it claims the server
      // again.
      Message = makeYield(ExpectedRun.server(), 0);
      *Message.mutable_yield()->mutable_run() = ExpectedRun.task();
    }
    Ports.send(Coordinator, std::move(Message));
  }

  void recordEnd(const schema::task_event &Event) {
    RecentEnds.push_back(Event);
    if (RecentEnds.size() > MaxRecentEnds)
      RecentEnds.pop_front();
  }

  void removeFinishedServers() {
    std::erase_if(Servers, [this](const auto &Entry) {
      bool Finished = Entry.second.Ledger->mayBeRemoved();
      if (Finished && !Entry.second.Ledger->unowned())
        onCapacityChanged(Entry.first);
      return Finished;
    });
  }

  runtime::executor &Executor;
  owner_ports &Ports;
  ledger_options Options;
  reply_timeout ReplyTimeout;
  ledger_counters Counters;
  std::shared_ptr<fleet_shares> Fleet = std::make_shared<fleet_shares>();
  std::map<std::string, owned_server> Servers;
  std::set<std::string> EvacuatedDomains;
  bool StartsSuspended = false;
  std::set<std::string> Subscribers;
  std::set<std::string> ChangedServers;
  // Grants whose result is included in the next state of their server, by placer and server.
  std::map<std::string, std::map<std::string, std::vector<std::uint64_t>>> HandledGrants;
  std::map<std::string, std::uint32_t> Sessions;
  order_window Orders{[this]() -> server_orders & { return Ports.orders(); },
                      [this](const std::string &Server) { onStartsFreed(Server); }};
  std::deque<schema::task_event> RecentEnds;
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<server_owner> makeServerOwner(runtime::executor &Executor, owner_ports &Ports,
                                              ledger_options Options) {
  return std::make_unique<server_owner_impl>(Executor, Ports, Options);
}

} // namespace yuccaplank::dispatch
