#include "daemon.hpp"
#include "caller_api.hpp"
#include "link_filter.hpp"
#include "metrics.hpp"
#include "operator_api.hpp"
#include "socket_ports.hpp"
#include "yuccaplank/model/job_id.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/storage/table.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <boost/outcome/try.hpp>
#include <openssl/rand.h>

#include <csignal>

namespace yuccaplank::daemon {
namespace {

using namespace std::chrono_literals;
using runtime::log_level;
using runtime::result;

// A pause can be taken for a failure by peers from 1.37 s on (docs/design.md, 2.5).
constexpr runtime::duration PauseThreshold = 1300ms;
constexpr std::uint32_t DefaultDrainS = 60;
// Time for the last answers to leave the socket buffers.
constexpr runtime::duration FlushDelay = 50ms;

template <typename T> T orDefault(T Value, T Default) { return Value == 0 ? Default : Value; }

std::uint32_t randomNumber() {
  std::uint32_t Value = 0;
  RAND_bytes(reinterpret_cast<unsigned char *>(&Value), sizeof(Value));
  return Value;
}

node::entry_node_options nodeOptions(const schema::daemon_settings &Settings,
                                     const schema::incarnation &Self) {
  node::entry_node_options Options;
  Options.Self = Self;
  Options.Domain = Settings.failure_domain();
  Options.PeerAddress = Settings.listen().peers();
  Options.SeedPeers = {Settings.seed_peers().begin(), Settings.seed_peers().end()};
  Options.DispatchGroup = {Settings.dispatch_group().begin(), Settings.dispatch_group().end()};
  Options.Seed = Self.nonce();
  if (Settings.retention().outcome_s() > 0)
    Options.Jobs.Retention = std::chrono::seconds(Settings.retention().outcome_s());
  Options.Jobs.MaxRetainedBytes = orDefault(Settings.retention().max_bytes(), Options.Jobs.MaxRetainedBytes);
  model::scheduler_options &Scheduler = Options.Scheduler;
  if (!Settings.scheduler().strategy().empty())
    Scheduler.Strategy = Settings.scheduler().strategy();
  Scheduler.MaxQueuedTasks = orDefault(Settings.limits().max_queued_tasks(), Scheduler.MaxQueuedTasks);
  Scheduler.MaxQueuedBytes = orDefault(Settings.limits().max_queued_bytes(), Scheduler.MaxQueuedBytes);
  Scheduler.MaxConnectionsPerServer =
      orDefault(Settings.backends().max_connections(), Scheduler.MaxConnectionsPerServer);
  return Options;
}

wire::http_client_options clientOptions(const schema::daemon_settings &Settings) {
  wire::http_client_options Options;
  if (Settings.backends().connect_timeout_ms() > 0)
    Options.ConnectTimeout = std::chrono::milliseconds(Settings.backends().connect_timeout_ms());
  if (Settings.backends().idle_timeout_ms() > 0)
    Options.IdleTimeout = std::chrono::milliseconds(Settings.backends().idle_timeout_ms());
  return Options;
}

wire::http_server_options serverOptions(const schema::daemon_settings &Settings, const std::string &Address) {
  wire::http_server_options Options;
  Options.Address = Address;
  Options.MaxBodyBytes = orDefault<std::size_t>(Settings.limits().max_body_bytes(), Options.MaxBodyBytes);
  Options.MaxConnections =
      orDefault<std::size_t>(Settings.limits().max_connections(), Options.MaxConnections);
  if (Settings.limits().request_timeout_ms() > 0)
    Options.RequestTimeout = std::chrono::milliseconds(Settings.limits().request_timeout_ms());
  Options.CertificateFile = Settings.tls().certificate_file();
  Options.KeyFile = Settings.tls().key_file();
  Options.TooLargeBody =
      wire::writeAnswer(wire::makeAnswer({}, schema::OUTCOME_REFUSED, runtime::errc::BodyTooLarge, "body"));
  return Options;
}

class daemon_impl final : public entry_daemon {
public:
  daemon_impl(runtime::loop &Loop, const schema::daemon_settings &Settings)
      : Loop(Loop), Settings(Settings), Self(makeSelf(Loop, Settings)),
        Client(makeLinkFilter(Loop, wire::makeHttpClient(Loop, clientOptions(Settings)))),
        Table(storage::makeTable(*Client, {Settings.platform()})), Ports(makeSocketPorts(*Client)),
        Node(node::makeEntryNode(Loop, *Ports, *Table, nodeOptions(Settings, Self))),
        Metrics(makeMetrics({*Node, *Table, Transport})),
        Callers(
            *Node, Loop.clock(),
            [this](auto Token, auto Reply) { CallerServer->reply(Token, std::move(Reply)); },
            [this](schema::outcome_kind Outcome, double Seconds) { Metrics->observeJob(Outcome, Seconds); }),
        Operators(
            *Node, {Settings.operator_token(), Settings.test_hooks()},
            [this](auto Token, auto Reply) { OperatorServer->reply(Token, std::move(Reply)); },
            [this] { return Metrics->text(); }, [this](const blocked_links &Links) { setLinks(Links); }) {}

  result<void> open() {
    BOOST_OUTCOME_TRYV(openTransport());
    BOOST_OUTCOME_TRY(Server, openServer(Settings.listen().callers(),
                                         {[this](const auto &Request) { Callers.onRequest(Request); },
                                          [this](auto Token) { Callers.onClosed(Token); }}));
    CallerServer = std::move(Server);
    BOOST_OUTCOME_TRY(
        Second, openServer(Settings.listen().operators(),
                           {[this](const auto &Request) { Operators.onRequest(Request); }, [](auto) {}}));
    OperatorServer = std::move(Second);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  int run() override {
    Loop.onSignal([this](int Signal) { onSignal(Signal); });
    Loop.onPause(PauseThreshold, [this](runtime::duration Pause) { Node->onPause(Pause); });
    Node->start();
    runtime::log(log_level::Info, "started",
                 {{"vm", model::incarnationName(Self)},
                  {"domain", Settings.failure_domain()},
                  {"callers", static_cast<std::int64_t>(CallerServer->port())},
                  {"operators", static_cast<std::int64_t>(OperatorServer->port())},
                  {"peers", static_cast<std::int64_t>(Transport->port())}});
    Loop.run();
    return ExitStatus;
  }

  [[nodiscard]] std::uint16_t callerPort() const override { return CallerServer->port(); }
  [[nodiscard]] std::uint16_t operatorPort() const override { return OperatorServer->port(); }

private:
  static schema::incarnation makeSelf(runtime::loop &Loop, const schema::daemon_settings &Settings) {
    schema::incarnation Self;
    Self.set_vm(Settings.vm());
    Self.set_started_ms(Loop.clock().unixMs());
    Self.set_nonce(randomNumber());
    return Self;
  }

  result<void> openTransport() {
    wire::peer_transport_options Options;
    Options.Address = Settings.listen().peers();
    Options.Key = Settings.peer_key();
    Options.Self = Self;
    Options.Domain = Settings.failure_domain();
    wire::peer_transport_handlers Handlers;
    Handlers.OnMessage = [this](const schema::incarnation &From, const std::string &Domain,
                                const schema::envelope &Message) {
      Node->onPeerMessage(From, Domain, Message);
    };
    Handlers.OnClosed = [this](const schema::incarnation &Peer) { Node->onPeerClosed(Peer); };
    Handlers.OnConnectFailed = [this](const std::string &Address, std::error_code) {
      Node->onPeerConnectFailed(Address);
    };
    BOOST_OUTCOME_TRY(Made, wire::makePeerTransport(Loop, Options, Handlers));
    Transport = std::move(Made);
    Ports->setTransport(Transport.get());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  result<std::unique_ptr<wire::http_server>> openServer(const std::string &Address,
                                                        wire::http_server_handlers Handlers) {
    auto Server = wire::makeHttpServer(Loop, serverOptions(Settings, Address), std::move(Handlers));
    if (!Server)
      runtime::log(log_level::Error, "listen_failed",
                   {{"address", Address}, {"reason", Server.error().message()}});
    return Server;
  }

  void onSignal(int Signal) {
    if (Signal == SIGHUP) {
      reloadCertificates();
      return;
    }
    if (Draining) {
      runtime::log(log_level::Warning, "shutdown_forced",
                   {{"jobs_abandoned", static_cast<std::int64_t>(Node->jobsInProgress())}});
      ExitStatus = 1;
      Loop.stop();
      return;
    }
    Draining = true;
    runtime::log(log_level::Info, "draining",
                 {{"jobs_in_progress", static_cast<std::int64_t>(Node->jobsInProgress())}});
    auto Limit = std::chrono::seconds(orDefault(Settings.drain_timeout_s(), DefaultDrainS));
    Loop.after(Limit, [this] {
      runtime::log(log_level::Warning, "drain_timed_out",
                   {{"jobs_abandoned", static_cast<std::int64_t>(Node->jobsInProgress())}});
      ExitStatus = 1;
      Loop.stop();
    });
    Node->drain([this] {
      runtime::log(log_level::Info, "drained");
      CallerServer->shutdown();
      Loop.after(FlushDelay, [this] { Loop.stop(); });
    });
  }

  void reloadCertificates() {
    for (wire::http_server *Server : {CallerServer.get(), OperatorServer.get()}) {
      auto Done = Server->reloadCertificates();
      runtime::log(Done ? log_level::Info : log_level::Error, "certificates_reloaded",
                   {{"port", static_cast<std::int64_t>(Server->port())}, {"ok", static_cast<bool>(Done)}});
    }
  }

  void setLinks(const blocked_links &Links) {
    std::set<std::string> Addresses;
    if (Links.Platform)
      Addresses.insert(Settings.platform());
    for (const node::backend_view &Backend : Node->backends())
      if (Links.Domains.contains(Backend.Entry.domain()))
        Addresses.insert(Backend.Entry.address());
    Client->setBlocked(std::move(Addresses));
    for (const model::member_view &Member : Node->members()) {
      const std::string &Vm = Member.Entry.self().vm();
      bool Blocked = Links.Vms.contains(Vm) || Links.Domains.contains(Member.Entry.domain());
      Transport->setBlocked(Vm, Blocked && Vm != Settings.vm());
    }
    runtime::log(log_level::Warning, "links_blocked",
                 {{"domains", static_cast<std::int64_t>(Links.Domains.size())},
                  {"vms", static_cast<std::int64_t>(Links.Vms.size())},
                  {"platform", Links.Platform}});
  }

  runtime::loop &Loop;
  schema::daemon_settings Settings;
  schema::incarnation Self;
  std::unique_ptr<link_filter> Client;
  std::unique_ptr<storage::table> Table;
  std::unique_ptr<socket_ports> Ports;
  std::unique_ptr<node::entry_node> Node;
  std::unique_ptr<wire::peer_transport> Transport;
  std::unique_ptr<metrics> Metrics;
  caller_api Callers;
  operator_api Operators;
  std::unique_ptr<wire::http_server> CallerServer;
  std::unique_ptr<wire::http_server> OperatorServer;
  bool Draining = false;
  int ExitStatus = 0;
};

} // namespace

result<std::unique_ptr<entry_daemon>> makeDaemon(runtime::loop &Loop,
                                                 const schema::daemon_settings &Settings) {
  auto Daemon = std::make_unique<daemon_impl>(Loop, Settings);
  BOOST_OUTCOME_TRYV(Daemon->open());
  return std::unique_ptr<entry_daemon>(std::move(Daemon));
}

} // namespace yuccaplank::daemon
