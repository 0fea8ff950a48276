#include "yuccaplank/node/entry_node.hpp"
#include "catalog_sync.hpp"
#include "id_pool.hpp"
#include "job_runner.hpp"
#include "job_service.hpp"
#include "peer_network.hpp"
#include "server_selection.hpp"
#include "yuccaplank/model/catalog.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace yuccaplank::node {
namespace {

using namespace std::chrono_literals;
using runtime::errc;

// The balancer sees /healthz turn within this time; until then callers that it still sends get typed
// refusals.
constexpr runtime::duration DrainLinger = 1s;
constexpr runtime::duration DrainCheckPeriod = 20ms;
constexpr runtime::duration HousekeepingPeriod = 1s;

std::string eventName(model::membership_event::kind Kind) {
  constexpr auto Names = std::to_array<std::string_view>(
      {"vm_reachable", "vm_unreachable", "vm_draining", "vm_replaced", "dispatcher_changed"});
  return std::string(Names[static_cast<std::size_t>(Kind)]);
}

// Whether an answer counts against the service level: errors of the caller and quotas of its team do not.
bool countsForObjective(const schema::job_answer &Answer) {
  if (Answer.outcome() != schema::OUTCOME_REFUSED)
    return Answer.outcome() != schema::OUTCOME_PENDING;
  switch (runtime::errcFromName(Answer.reason())) {
  case errc::QueueFull:
  case errc::DeadlineUnreachable:
  case errc::RetriesExhausted:
  case errc::TaskTimeout:
  case errc::PlatformUnavailable:
  case errc::Paused:
    return true;
  default:
    return false;
  }
}

class entry_node_impl final : public entry_node {
public:
  entry_node_impl(runtime::executor &Executor, ports &Ports, storage::table &Table,
                  entry_node_options GivenOptions)
      : Executor(Executor), Ports(Ports), Options(withSelf(std::move(GivenOptions))),
        Membership(model::makeMembership(Executor.clock(), Options.Membership)),
        Catalog(model::makeCatalog()), Burn(model::makeBurnRecorder(Executor.clock())),
        Jobs(model::makeJobTable(Executor.clock(), Options.Domain, Options.Self, Options.Jobs)),
        Scheduler(model::makeScheduler(Executor.clock(), Options.Scheduler)),
        Peers(Executor, Ports, *Membership, Options.Self, Counters),
        Runner(Executor, Ports, *Scheduler, Counters), Documents(storage::makeDocuments(Executor, Table)),
        Claims(storage::makeClaims(Executor, Table, {{Options.Self, Options.Domain, false}})),
        Sync(Executor, Peers, *Membership, *Catalog, Table, *Documents, Options.SeedPeers, Options.Seed,
             [this](const schema::vm_list &List) { onVmList(List); }),
        Ids(Executor, Peers, *Membership, *Jobs, Options.Self, Options.Domain),
        Service({Executor, Peers, *Membership, *Catalog, *Jobs, *Scheduler, Runner, *Claims, Counters},
                Options.Self, Options.Domain),
        Selection(Executor, Ports, *Membership, Options.Domain, Options.DispatchGroup,
                  [this] { useSelection(); }) {}

  // Callers

  void issueIds(std::uint32_t Count,
                std::function<void(runtime::result<std::vector<std::string>>)> OnDone) override {
    if (!Catalog->ready())
      OnDone(make_error_code(errc::NoCatalog));
    else if (Draining)
      OnDone(make_error_code(errc::Draining));
    else
      Ids.take(Count, std::move(OnDone));
  }

  std::uint64_t submit(submit_request Request, answer_function OnAnswer) override {
    auto Started = Executor.clock().now();
    std::string Name = Request.Job.service();
    return Service.submit(std::move(Request), [this, Started, Name, OnAnswer = std::move(OnAnswer)](
                                                  const schema::job_answer &Answer) {
      account(Name, Answer, Executor.clock().now() - Started);
      OnAnswer(Answer);
    });
  }

  std::uint64_t query(const std::string &Id, std::uint32_t WaitMs, answer_function OnAnswer) override {
    return Service.query(Id, WaitMs, std::move(OnAnswer));
  }
  void cancel(const std::string &Id, answer_function OnAnswer) override {
    Service.cancel(Id, std::move(OnAnswer));
  }
  void callerGone(std::uint64_t Handle) override { Service.callerGone(Handle); }

  // Operators

  void apply(storage::apply_request Request,
             std::function<void(runtime::result<storage::apply_reply>)> OnDone) override {
    Sync.apply(std::move(Request), std::move(OnDone));
  }
  [[nodiscard]] std::vector<std::shared_ptr<const schema::service_revision>> services() const override {
    return Catalog->all();
  }
  void history(std::string Name,
               std::function<void(runtime::result<std::vector<schema::service_revision>>)> OnDone) override {
    Documents->history(std::move(Name), std::move(OnDone));
  }

  void rollout(const std::string &Name, std::function<void(rollout_report)> OnDone) override {
    auto Report = std::make_shared<rollout_report>();
    Report->Vms.push_back({Options.Self.vm(), revisionOf(Name)});
    auto MakeRequest = [&](std::uint64_t Exchange) {
      schema::envelope Message;
      Message.mutable_rollout_request()->set_exchange(Exchange);
      Message.mutable_rollout_request()->set_service(Name);
      return Message;
    };
    Peers.collect(
        MakeRequest,
        [Report](const schema::envelope &Message) {
          Report->Vms.push_back({Message.rollout_reply().vm(), Message.rollout_reply().revision()});
        },
        [this, Report, OnDone = std::move(OnDone)](std::vector<std::string> Silent) {
          Report->SilentVms = withUnreachable(std::move(Silent));
          OnDone(std::move(*Report));
        });
  }

  void burnReport(std::function<void(burn_report)> OnDone) override {
    auto Replies = std::make_shared<std::vector<schema::burn_reply>>();
    Replies->push_back(ownBurn(0));
    auto MakeRequest = [](std::uint64_t Exchange) {
      schema::envelope Message;
      Message.mutable_burn_request()->set_exchange(Exchange);
      return Message;
    };
    Peers.collect(
        MakeRequest, [Replies](const schema::envelope &Message) { Replies->push_back(Message.burn_reply()); },
        [this, Replies, OnDone = std::move(OnDone)](std::vector<std::string> Silent) {
          std::vector<schema::service_document> Documents;
          for (const auto &Revision : Catalog->all())
            Documents.push_back(Revision->document());
          OnDone({model::mergeBurn(*Replies, Documents), withUnreachable(std::move(Silent))});
        });
  }

  [[nodiscard]] std::vector<model::member_view> members() const override { return Membership->members(); }

  [[nodiscard]] std::vector<schema::incarnation> dispatchers() const override {
    std::set<std::string> Domains{Options.Domain};
    for (const model::member_view &Member : Membership->members())
      Domains.insert(Member.Entry.domain());
    std::vector<schema::incarnation> Dispatchers;
    for (const std::string &Domain : Domains)
      if (auto Dispatcher = Membership->dispatcher(Domain))
        Dispatchers.push_back(*Dispatcher);
    return Dispatchers;
  }

  [[nodiscard]] std::vector<backend_view> backends() const override {
    std::map<std::string, model::server_view> Views;
    for (const model::server_view &View : Scheduler->servers())
      Views[View.Id] = View;
    std::vector<backend_view> Backends;
    for (const schema::backend_entry &Entry : Sync.vmList().backends())
      Backends.push_back({Entry, Views[Entry.id()]});
    return Backends;
  }

  // Surroundings

  void onPeerMessage(const schema::incarnation &From, const std::string &Domain,
                     const schema::envelope &Message) override {
    Peers.Exchanges.connected(From.vm());
    Membership->messageFrom(From, Domain);
    dispatch(From, Message);
    membershipTurn();
  }

  void onPeerClosed(const schema::incarnation &Peer) override {
    Peers.Exchanges.disconnected(Peer.vm());
    Membership->onStreamClosed(Peer);
    // Envelopes in flight may be lost with the connection, and their answers with them.
    Service.onPeerLost(Peer);
    membershipTurn();
  }

  void onPeerConnectFailed(const std::string &Address) override {
    Membership->onConnectFailed(Address);
    for (const model::member_view &Member : Membership->members())
      if (Member.Entry.peer_address() == Address)
        Peers.Exchanges.connectFailed(Member.Entry.self().vm());
    membershipTurn();
  }

  void onPause(runtime::duration Pause) override {
    runtime::log(
        runtime::log_level::Warning, "process_paused",
        {{"pause_ms", runtime::toMs(Pause)}, {"jobs_running", static_cast<std::int64_t>(Runner.size())}});
    Runner.dropQueued(errc::Paused);
    Membership->onPause(Pause);
    membershipTurn();
  }

  // Life cycle

  void start() override {
    Sync.start();
    membershipTurn();
    housekeeping();
  }

  void drain(std::function<void()> OnDrained) override {
    if (Draining)
      return;
    Draining = true;
    Service.startDraining();
    Membership->startDraining();
    membershipTurn();
    DrainEnds = Executor.clock().now() + DrainLinger;
    checkDrained(std::move(OnDrained));
  }

  [[nodiscard]] bool serving() const override { return Catalog->ready() && !Draining; }
  [[nodiscard]] bool isDispatcher() const override { return Membership->isDispatcher(); }
  [[nodiscard]] node_counters counters() const override { return Counters; }
  [[nodiscard]] model::scheduler_load load() const override { return Scheduler->load(); }
  [[nodiscard]] model::job_table_usage jobUsage() const override { return Jobs->usage(); }
  [[nodiscard]] std::size_t jobsInProgress() const override { return Service.inProgress(); }

private:
  static entry_node_options withSelf(entry_node_options Options) {
    Options.Membership.Self = Options.Self;
    Options.Membership.Domain = Options.Domain;
    Options.Membership.PeerAddress = Options.PeerAddress;
    Options.Membership.DispatchGroup = Options.DispatchGroup;
    Options.Membership.Seed = Options.Seed;
    Options.Scheduler.Seed = Options.Seed;
    return Options;
  }

  void dispatch(const schema::incarnation &From, const schema::envelope &Message) {
    switch (Message.body_case()) {
    case schema::envelope::kHeartbeat:
      Membership->onHeartbeat(From, Message.heartbeat());
      Sync.onPeerDigest(From, Message.heartbeat().catalog_version());
      Service.onSummariesChanged();
      break;
    case schema::envelope::kProbe:
      Membership->onProbe(From, Message.probe());
      break;
    case schema::envelope::kProbeAck:
      Membership->onProbeAck(From, Message.probe_ack());
      break;
    case schema::envelope::kDraining:
      Membership->onDraining(From);
      break;
    case schema::envelope::kForwardJob:
      Service.onForward(From, Message.forward_job());
      break;
    case schema::envelope::kForwardAnswer:
      Peers.Exchanges.answer(From, Message.forward_answer().exchange(), Message);
      break;
    case schema::envelope::kQueryJob:
      Service.onQuery(From, Message.query_job());
      break;
    case schema::envelope::kCancelJob:
      Service.onCancel(From, Message.cancel_job());
      break;
    case schema::envelope::kIdBlockRequest:
      Ids.onRequest(From, Message.id_block_request());
      break;
    case schema::envelope::kIdBlock:
      Peers.Exchanges.answer(From, Message.id_block().exchange(), Message);
      break;
    case schema::envelope::kCatalogUpdate:
      Sync.onUpdate(Message.catalog_update());
      break;
    case schema::envelope::kCatalogPull:
      Sync.onPull(From);
      break;
    case schema::envelope::kVmList:
      Sync.onVmList(Message.vm_list());
      break;
    case schema::envelope::kBurnRequest:
      replyBurn(From, Message.burn_request().exchange());
      break;
    case schema::envelope::kBurnReply:
      Peers.Exchanges.answer(From, Message.burn_reply().exchange(), Message);
      break;
    case schema::envelope::kRolloutRequest:
      replyRollout(From, Message.rollout_request());
      break;
    case schema::envelope::kRolloutReply:
      Peers.Exchanges.answer(From, Message.rollout_reply().exchange(), Message);
      break;
    default:
      break;
    }
  }

  // Sends what membership wants sent, acts on its events, and sets its timer.
  void membershipTurn() {
    Membership->tick();
    for (const model::membership_event &Event : Membership->takeEvents())
      onMembershipEvent(Event);
    for (model::membership_send &Send : Membership->takeSends())
      Peers.sendTo(Send.Vm, Send.Address, std::move(Send.Message));
    Executor.cancel(MembershipTimer);
    auto Delay = std::max(Membership->nextWakeup() - Executor.clock().now(),
                          runtime::duration(std::chrono::milliseconds(1)));
    MembershipTimer = Executor.after(Delay, [this] { membershipTurn(); });
  }

  void onMembershipEvent(const model::membership_event &Event) {
    using kind = model::membership_event::kind;
    runtime::log(runtime::log_level::Info, eventName(Event.Kind),
                 {{"vm", model::incarnationName(Event.Vm)}, {"domain", Event.Domain}});
    if (Event.Kind == kind::Reachable || Event.Kind == kind::Unreachable)
      Selection.vmChanged(Event.Domain);
    if (Event.Kind == kind::Unreachable || Event.Kind == kind::Replaced) {
      Service.onPeerLost(Event.Vm);
      if (Event.Kind == kind::Unreachable)
        Ports.disconnectPeer(Event.Vm.vm());
    }
  }

  void onVmList(const schema::vm_list &List) {
    Membership->applyVmList(List);
    Selection.setList(List);
    membershipTurn();
  }

  void useSelection() {
    Scheduler->setServers(Selection.selected());
    // Each dispatcher enforces its part, so that the sum holds without agreement.
    Scheduler->setQuotaShare(Selection.share());
    Runner.wake();
  }

  void housekeeping() {
    Jobs->expire();
    if (Membership->isDispatcher())
      Membership->setOwnSummary(ownSummary());
    Executor.after(HousekeepingPeriod, [this] { housekeeping(); });
  }

  schema::domain_summary ownSummary() const {
    model::scheduler_load Load = Scheduler->load();
    schema::domain_summary Summary;
    Summary.set_domain(Options.Domain);
    *Summary.mutable_dispatcher() = Options.Self;
    Summary.set_free_slots(Load.FreeSlots);
    Summary.set_total_slots(Load.TotalSlots);
    Summary.set_backlog_ms(static_cast<std::uint32_t>(std::min(Load.BacklogMs, 1e9)));
    Summary.set_free_speed(static_cast<float>(Load.FreeSpeed));
    return Summary;
  }

  void account(const std::string &Name, const schema::job_answer &Answer, runtime::duration Took) {
    switch (Answer.outcome()) {
    case schema::OUTCOME_DONE:
      ++Counters.JobsDone;
      break;
    case schema::OUTCOME_FAILED:
      ++Counters.JobsFailed;
      break;
    case schema::OUTCOME_REFUSED:
      ++Counters.JobsRefused;
      break;
    case schema::OUTCOME_UNKNOWN:
      ++Counters.JobsUnknown;
      break;
    default:
      break;
    }
    auto Revision = Catalog->find(Name);
    if (!Revision || !countsForObjective(Answer))
      return;
    std::uint32_t WithinMs = Revision->document().objective().within_ms();
    bool InTime = WithinMs == 0 || Took <= std::chrono::milliseconds(WithinMs);
    Burn->record(Name, Answer.outcome() == schema::OUTCOME_DONE && InTime);
  }

  schema::burn_reply ownBurn(std::uint64_t Exchange) const {
    schema::burn_reply Reply;
    Reply.set_exchange(Exchange);
    Reply.set_vm(Options.Self.vm());
    for (schema::burn_service &Windows : Burn->windows())
      *Reply.add_services() = std::move(Windows);
    return Reply;
  }

  void replyBurn(const schema::incarnation &From, std::uint64_t Exchange) {
    schema::envelope Message;
    *Message.mutable_burn_reply() = ownBurn(Exchange);
    Peers.send(From.vm(), std::move(Message));
  }

  [[nodiscard]] std::uint64_t revisionOf(const std::string &Name) const {
    auto Revision = Catalog->find(Name);
    return Revision ? Revision->revision() : 0;
  }

  void replyRollout(const schema::incarnation &From, const schema::rollout_request &Request) {
    schema::envelope Message;
    Message.mutable_rollout_reply()->set_exchange(Request.exchange());
    Message.mutable_rollout_reply()->set_vm(Options.Self.vm());
    Message.mutable_rollout_reply()->set_revision(revisionOf(Request.service()));
    Peers.send(From.vm(), std::move(Message));
  }

  // Listed VMs that cannot be reached are reported as silent too.
  std::vector<std::string> withUnreachable(std::vector<std::string> Silent) const {
    for (const model::member_view &Member : Membership->members())
      if (Member.Entry.state() == schema::VM_UNREACHABLE)
        Silent.push_back(Member.Entry.self().vm());
    std::sort(Silent.begin(), Silent.end());
    Silent.erase(std::unique(Silent.begin(), Silent.end()), Silent.end());
    return Silent;
  }

  void checkDrained(std::function<void()> OnDrained) {
    if (Service.inProgress() == 0 && Executor.clock().now() >= DrainEnds) {
      OnDrained();
      return;
    }
    Executor.after(DrainCheckPeriod, [this, OnDrained = std::move(OnDrained)]() mutable {
      checkDrained(std::move(OnDrained));
    });
  }

  runtime::executor &Executor;
  ports &Ports;
  entry_node_options Options;
  node_counters Counters;
  std::unique_ptr<model::membership> Membership;
  std::unique_ptr<model::catalog> Catalog;
  std::unique_ptr<model::burn_recorder> Burn;
  std::unique_ptr<model::job_table> Jobs;
  std::unique_ptr<model::scheduler> Scheduler;
  peer_network Peers;
  job_runner Runner;
  std::unique_ptr<storage::documents> Documents;
  std::unique_ptr<storage::claims> Claims;
  catalog_sync Sync;
  id_pool Ids;
  job_service Service;
  server_selection Selection;
  runtime::timer_id MembershipTimer = 0;
  bool Draining = false;
  runtime::time_point DrainEnds{};
};

} // namespace

std::unique_ptr<entry_node> makeEntryNode(runtime::executor &Executor, ports &Ports, storage::table &Table,
                                          entry_node_options Options) {
  return std::make_unique<entry_node_impl>(Executor, Ports, Table, std::move(Options));
}

} // namespace yuccaplank::node
