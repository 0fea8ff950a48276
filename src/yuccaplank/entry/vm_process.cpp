#include "vm_process.hpp"
#include "directory.hpp"
#include "frontend.hpp"
#include "operator_api.hpp"
#include "own_settings.hpp"
#include "yuccaplank/dispatch/bounds.hpp"
#include "yuccaplank/platform/server_client.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/http_client.hpp"
#include "yuccaplank/wire/http_server.hpp"
#include "yuccaplank/wire/peer_link.hpp"

#include <fmt/format.h>

#include <csignal>
#include <random>

namespace yuccaplank::entry {
namespace {

using runtime::log;
using runtime::log_level;

// The load balancer checks each VM once a second and stops sending connections to a draining VM within two
// checks.
constexpr auto BalancerRemovalDelay = std::chrono::milliseconds(2300);
// Part of the grace period that is reserved for closing connections.
constexpr auto ConnectionCloseMargin = std::chrono::milliseconds(500);
// After a longer pause, the leases that this VM gave have expired and other VMs are about to take over.
constexpr auto PauseThreshold = std::chrono::milliseconds(450);
constexpr auto SettingsPollInterval = std::chrono::seconds(2);
// Callers' idle connections close 0.5 s after the shutdown; a connection that is open after this time belongs
// to a caller that neither sends a request nor completes one, and is not waited for.
constexpr auto IdleCallersTimeout = std::chrono::seconds(1);
constexpr auto DrainPollInterval = std::chrono::milliseconds(50);
// Servers keep idle connections open for longer than this, and opening a connection costs more than keeping
// one.
constexpr auto ServerIdleTimeout = std::chrono::seconds(10);
constexpr double ThousandthsPerCore = 1000;

std::uint32_t toStrength(const platform::settings &Settings) {
  return static_cast<std::uint32_t>(Settings.CpuShare * ThousandthsPerCore);
}

std::string formatIncarnation(const schema::incarnation &Incarnation) {
  return fmt::format("{}.{}", Incarnation.started_ms(), Incarnation.nonce());
}

class vm_process_impl final : public vm_process, dispatch::entry_vm_ports {
public:
  vm_process_impl(runtime::loop &Loop, vm_process_options OptionsIn)
      : Loop(Loop), Options(std::move(OptionsIn)), Settings(Options.Settings) {
    Identity.set_vm(Settings.Vm);
    Identity.set_started_ms(Loop.clock().unixMs());
    Identity.set_nonce(std::random_device()());
  }
  vm_process_impl(const vm_process_impl &) = delete;
  vm_process_impl &operator=(const vm_process_impl &) = delete;
  ~vm_process_impl() override = default;

  runtime::result<void> start() {
    wire::http_client_options ClientOptions;
    ClientOptions.IdleTimeout = ServerIdleTimeout;
    ClientOptions.ConnectTimeout = std::chrono::milliseconds(250);
    Client = wire::makeHttpClient(Loop, ClientOptions);
    Orders = platform::makeServerClient(*Client);
    Store = platform::makeStoreClient(*Client, {Settings.StoreAddress});
    auto VmOptions = makeVmOptions();
    if (!VmOptions)
      return VmOptions.error();
    Vm = dispatch::makeEntryVm(Loop, *this, std::move(VmOptions.value()));
    frontend_handlers FrontendHandlers;
    FrontendHandlers.Reply = [this](wire::request_token Token, wire::http_reply Reply) {
      CallerServer->reply(Token, std::move(Reply));
    };
    FrontendHandlers.OnAnswered = [this](const dispatch::job_answer &Answer, runtime::duration Latency) {
      OperatorApi->observeAnswer(Answer, Latency);
    };
    frontend_options FrontendOptions = frontendOptions(Options.OwnSettings, Settings);
    FrontendOptions.MaxUnreadTime = PauseThreshold;
    Frontend = makeFrontend(Loop, *Vm, std::move(FrontendHandlers), FrontendOptions);
    OperatorApi = makeOperatorApi(Loop.clock(), *Vm, operatorApiOptions());
    if (auto Listening = listen(); !Listening)
      return Listening;
    Vm->addSeeds(Settings.Seeds);
    Directory = makeDirectory(
        Loop, *Store, *Vm,
        {Settings.Vm, Settings.PeerAddress, Settings.Domain, toStrength(Settings), Settings.Domains});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  int run() override {
    Loop.setSignalHandler([this](int Signal) { onSignal(Signal); });
    Loop.setPauseHandler(PauseThreshold, [this](runtime::duration Pause) {
      log(log_level::Warning, "paused", {{"pause_ms", runtime::toMs(Pause)}});
      Vm->onPause();
    });
    if (Options.ReadSettingsText) {
      LastSettingsText = Options.ReadSettingsText();
      watchSettings();
    }
    Loop.run();
    log(log_level::Info, "stopped", {{"abandoned", static_cast<std::int64_t>(Frontend->pendingCallers())}});
    return 0;
  }

private:
  // Implementation of dispatch::entry_vm_ports.

  void send(const std::string &Name, const std::string &Address, schema::dispatch_message Message) override {
    schema::envelope Envelope;
    *Envelope.mutable_dispatch() = std::move(Message);
    if (auto Error = Peers->send(Name, Address, std::move(Envelope)))
      log(log_level::Warning, "peer_send_failed", {{"vm", Name}, {"reason", Error.message()}});
  }
  void disconnect(const std::string &Name) override { Peers->disconnect(Name); }
  dispatch::server_orders &orders() override { return *Orders; }
  void answer(dispatch::job_id Job, const dispatch::job_answer &Answer) override {
    Frontend->answer(Job, Answer);
  }
  void onTermRaised(std::uint32_t Term) override { Directory->setTerm(Term); }
  void onServersNeeded(bool Needed) override { Directory->setServerWatch(Needed); }
  void onStaleRegistration(const std::string &Name) override { Directory->removeStaleEntry(Name); }
  void onRollCallNeeded() override { Directory->callRoll(); }
  void onConfigurationOffered(const schema::configuration_copy &Copy) override {
    applyConfiguration(*Vm, Copy.document());
  }

  [[nodiscard]] operator_api_options operatorApiOptions() {
    return {Settings.Vm, objectivePercent(Options.OwnSettings),
            [this](const std::string &Domain, bool Evacuate, std::function<void(std::error_code)> OnDone) {
              Directory->setEvacuation(Domain, Evacuate, std::move(OnDone));
            }};
  }

  // Fails if the platform's time limits would allow a resent job to run twice.
  [[nodiscard]] runtime::result<dispatch::entry_vm_options> makeVmOptions() const {
    dispatch::entry_vm_options Result;
    Result.Vm = Settings.Vm;
    Result.Address = Settings.PeerAddress;
    Result.Domain = Settings.Domain;
    Result.View.ClockOrigin = Identity.nonce();
    Result.Strength = toStrength(Settings);
    applyOwnSettings(Options.OwnSettings, Settings, Result);
    Result.Coordinator.RemoteFactor = Settings.RemoteFactor;
    dispatch::platform_bounds Bounds;
    Bounds.MaxLease = std::chrono::milliseconds(Settings.MaxLeaseMs);
    Bounds.ResendDelay = std::chrono::milliseconds(Settings.ResendDelayMs);
    Bounds.MaxStopDelay = std::chrono::milliseconds(Settings.StopTimeoutMs);
    if (!dispatch::applyBounds(Bounds, Result)) {
      log(log_level::Error, "bounds_too_short",
          {{"max_lease_ms", std::int64_t{Settings.MaxLeaseMs}},
           {"resend_ms", std::int64_t{Settings.ResendDelayMs}}});
      return make_error_code(runtime::errc::OutOfRange);
    }
    return Result;
  }

  runtime::result<void> listen() {
    wire::peer_transport_options Transport;
    Transport.Address = Settings.PeerAddress;
    // The key need not be secret: it only distinguishes deployments, and the peer ports are reachable only
    // from VMs of the same deployment.
    Transport.Key = "yuccaplank " + Settings.StoreAddress;
    Transport.Self = Identity;
    Transport.Domain = Settings.Domain;
    auto PeerListener = wire::makePeerTransport(Loop, Transport, peerHandlers());
    if (!PeerListener)
      return PeerListener.error();
    Peers = std::move(PeerListener.value());

    wire::http_server_handlers CallerHandlers;
    CallerHandlers.OnRequest = [this](wire::http_request Request) {
      Frontend->onRequest(std::move(Request));
    };
    CallerHandlers.OnClosed = [this](wire::request_token Token) { Frontend->onClosed(Token); };
    Budget = wire::makeReceiveBudget(Loop, receiveLimits(Options.OwnSettings, Settings));
    if (auto Listening = listenHttp(http_port::Callers, Settings.CallerAddress, CallerHandlers, CallerServer);
        !Listening)
      return Listening;
    wire::http_server_handlers ReadinessHandlers;
    ReadinessHandlers.OnRequest = [this](const wire::http_request &Request) { onReadinessCheck(Request); };
    if (auto Listening =
            listenHttp(http_port::Readiness, Settings.ReadyAddress, ReadinessHandlers, ReadinessServer);
        !Listening)
      return Listening;
    if (Options.OperatorPort == 0)
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    wire::http_server_handlers OperatorHandlers;
    OperatorHandlers.OnRequest = [this](const wire::http_request &Request) {
      OperatorApi->serve(Request, processCounts(), [this, Token = Request.Token](wire::http_reply Reply) {
        OperatorServer->reply(Token, std::move(Reply));
      });
    };
    return listenHttp(http_port::Operators, fmt::format("{}:{}", Settings.Ip, Options.OperatorPort),
                      OperatorHandlers, OperatorServer);
  }

  runtime::result<void> listenHttp(http_port Port, const std::string &Address,
                                   wire::http_server_handlers Handlers,
                                   std::unique_ptr<wire::http_server> &Server) {
    wire::http_server_options ServerOptions = httpServerOptions(Options.OwnSettings, Settings, Port);
    ServerOptions.Address = Address;
    ServerOptions.Budget = Budget;
    auto NewServer = wire::makeHttpServer(Loop, ServerOptions, std::move(Handlers));
    if (!NewServer)
      return NewServer.error();
    Server = std::move(NewServer.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  wire::peer_transport_handlers peerHandlers() {
    wire::peer_transport_handlers Handlers;
    Handlers.OnMessage = [this](const schema::incarnation &From, const std::string &,
                                const schema::envelope &Message) {
      if (Message.has_dispatch())
        Vm->onMessage(From.vm(), formatIncarnation(From), Message.dispatch());
    };
    Handlers.OnClosed = [this](const schema::incarnation &Peer) { Vm->onClosed(Peer.vm()); };
    Handlers.OnConnectFailed = [this](const std::string &Address, std::error_code) {
      Vm->onConnectFailed(Address);
    };
    return Handlers;
  }

  [[nodiscard]] process_counts processCounts() const {
    wire::http_server_counts Callers = CallerServer->counts();
    process_counts Counts;
    Counts.PendingCallers = Frontend->pendingCallers();
    Counts.IgnoredEvacuations = Directory->ignoredEvacuations();
    Counts.DroppedOnClosing = Callers.DroppedOnClosing;
    Counts.DroppedCallerLeft = Callers.DroppedCallerLeft;
    Counts.RefusedForMemory = Budget->counts().RefusedForMemory;
    Counts.RefusedForTime = Budget->counts().RefusedForTime;
    Counts.ConnectionsReplaced = Callers.ConnectionsReplaced;
    Counts.ConnectionsRefused = Callers.ConnectionsRefused;
    Counts.JobsReadLate = Frontend->jobsReadLate();
    return Counts;
  }

  void onReadinessCheck(const wire::http_request &Request) {
    wire::http_reply Reply;
    Reply.Status = Vm->ready() ? 200 : 503;
    Reply.Body = "{}";
    ReadinessServer->reply(Request.Token, std::move(Reply));
    if (std::exchange(WasReady, Vm->ready()) != Vm->ready())
      log(log_level::Info, "readiness_changed", {{"ready", Vm->ready()}});
  }

  // Signals and reloading of settings.

  void onSignal(int Signal) {
    if (Signal == SIGHUP) {
      reload();
      return;
    }
    log(log_level::Info, "stopping",
        {{"signal", std::int64_t{Signal}}, {"jobs", std::int64_t(Frontend->pendingCallers())}});
    if (std::exchange(Draining, true)) {
      Loop.stop();
      return;
    }
    DrainStartedAt = Loop.clock().now();
    Vm->drain();
    Directory->unregister([] {});
    Loop.after(BalancerRemovalDelay, [this] {
      CallerServer->shutdown();
      CallersShutDownAt = Loop.clock().now();
      checkDrained();
    });
  }

  void checkDrained() {
    auto DrainTimeout = runtime::fromMs(Settings.GracePeriodS * 1000) - ConnectionCloseMargin;
    bool GracePeriodEnded = Loop.clock().now() - DrainStartedAt >= DrainTimeout;
    bool CallersGone =
        CallerServer->connections() == 0 || Loop.clock().now() - CallersShutDownAt >= IdleCallersTimeout;
    if (GracePeriodEnded ||
        (CallersGone && Frontend->pendingCallers() == 0 && CallerServer->pendingRequests() == 0 &&
         Vm->state().Jobs == 0 && Vm->state().Servers.Runs == 0)) {
      Loop.stop();
      return;
    }
    Loop.after(DrainPollInterval, [this] { checkDrained(); });
  }

  // The platform sometimes changes its settings file without sending SIGHUP.
  void watchSettings() {
    Loop.after(SettingsPollInterval, [this] {
      std::string Text = Options.ReadSettingsText();
      if (std::exchange(LastSettingsText, Text) != Text)
        reload();
      watchSettings();
    });
  }

  void reload() {
    platform::settings Updated;
    schema::daemon_settings OwnSettings;
    bool Readable = Options.ReadSettings && Options.ReadSettings(Updated, OwnSettings);
    log(Readable ? log_level::Info : log_level::Error, "settings_reloaded", {{"accepted", Readable}});
    if (!Readable)
      return;
    runtime::setLogLevel(logLevel(OwnSettings));
    Settings.Seeds = Updated.Seeds;
    Settings.GracePeriodS = Updated.GracePeriodS;
    Vm->addSeeds(Settings.Seeds);
  }

  runtime::loop &Loop;
  vm_process_options Options;
  platform::settings Settings;
  schema::incarnation Identity;
  std::unique_ptr<wire::http_client> Client;
  std::unique_ptr<dispatch::server_orders> Orders;
  std::unique_ptr<platform::store_client> Store;
  std::unique_ptr<wire::peer_transport> Peers;
  std::shared_ptr<wire::receive_budget> Budget;
  std::unique_ptr<wire::http_server> CallerServer;
  std::unique_ptr<wire::http_server> ReadinessServer;
  std::unique_ptr<wire::http_server> OperatorServer;
  std::unique_ptr<dispatch::entry_vm> Vm;
  std::unique_ptr<operator_api> OperatorApi;
  std::unique_ptr<frontend> Frontend;
  std::unique_ptr<directory> Directory;
  // Content of the settings files as last read.
  std::string LastSettingsText;
  runtime::time_point DrainStartedAt{};
  runtime::time_point CallersShutDownAt{};
  bool Draining = false;
  bool WasReady = false;
};

} // namespace

runtime::result<std::unique_ptr<vm_process>> makeVmProcess(runtime::loop &Loop, vm_process_options Options) {
  auto Process = std::make_unique<vm_process_impl>(Loop, std::move(Options));
  if (auto Started = Process->start(); !Started)
    return Started.error();
  return std::unique_ptr<vm_process>(std::move(Process));
}

} // namespace yuccaplank::entry
