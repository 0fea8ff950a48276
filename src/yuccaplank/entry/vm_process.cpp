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

// The balancer notices within two of its checks, one a second, that the VM takes no new connections.
constexpr auto RotationTime = std::chrono::milliseconds(2300);
// Kept of the grace period for closing connections.
constexpr auto ExitMargin = std::chrono::milliseconds(500);
// After a longer pause the leases given have ended and other VMs are about to take over.
constexpr auto PauseLimit = std::chrono::milliseconds(450);
constexpr auto SettingsCheckInterval = std::chrono::seconds(2);
constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
// Servers keep idle connections longer than this; a new connection costs more than an idle one.
constexpr auto ServerIdleTime = std::chrono::seconds(10);
constexpr auto CallerIdleTime = std::chrono::seconds(15);
constexpr std::size_t MaxBodyBytes = 1U << 20U;
constexpr double ThousandthsOfCore = 1000;

std::uint32_t strength(const platform::settings &Settings) {
  return static_cast<std::uint32_t>(Settings.CpuShare * ThousandthsOfCore);
}

std::string incarnationText(const schema::incarnation &Incarnation) {
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
    wire::http_client_options Calls;
    Calls.IdleTimeout = ServerIdleTime;
    Calls.ConnectTimeout = std::chrono::milliseconds(250);
    Client = wire::makeHttpClient(Loop, Calls);
    Orders = platform::makeServerClient(*Client);
    Store = platform::makeStoreClient(*Client, {Settings.StoreAddress});
    auto VmOptions = vmOptions();
    if (!VmOptions)
      return VmOptions.error();
    Vm = dispatch::makeEntryVm(Loop, *this, std::move(VmOptions.value()));
    frontend_handlers CallerSide;
    CallerSide.Reply = [this](wire::request_token Token, wire::http_reply Reply) {
      Callers->reply(Token, std::move(Reply));
    };
    CallerSide.OnAnswered = [this](const dispatch::job_answer &Answer, runtime::duration Took) {
      Operators->observeAnswer(Answer, Took);
    };
    Frontend = makeFrontend(Loop, *Vm, std::move(CallerSide), frontendOptions(Options.Own));
    Operators = makeOperatorApi(Loop.clock(), *Vm, {Settings.Vm, objectivePercent(Options.Own)});
    if (auto Listening = listen(); !Listening)
      return Listening;
    Vm->addSeeds(Settings.Seeds);
    Directory = makeDirectory(Loop, *Store, *Vm,
                              {Settings.Vm, Settings.PeerAddress, Settings.Domain, strength(Settings)});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  int run() override {
    Loop.setSignalHandler([this](int Signal) { onSignal(Signal); });
    Loop.setPauseHandler(PauseLimit, [this](runtime::duration Pause) {
      log(log_level::Warning, "paused", {{"pause_ms", runtime::toMs(Pause)}});
      Vm->onPause();
    });
    if (Options.SettingsText) {
      SettingsText = Options.SettingsText();
      watchSettings();
    }
    Loop.run();
    log(log_level::Info, "stopped", {{"abandoned", static_cast<std::int64_t>(Frontend->pending())}});
    return 0;
  }

private:
  // Ports of the entry VM.

  void send(const std::string &Name, const std::string &Address, schema::dispatch_message Message) override {
    schema::envelope Envelope;
    *Envelope.mutable_dispatch() = std::move(Message);
    if (auto Error = Peers->send(Name, Address, std::move(Envelope)))
      log(log_level::Warning, "peer_send_failed", {{"vm", Name}, {"reason", Error.message()}});
  }
  void disconnect(const std::string &Name) override { Peers->disconnect(Name); }
  dispatch::server_orders &orders() override { return *Orders; }
  void answer(std::uint64_t Job, const dispatch::job_answer &Answer) override {
    Frontend->answer(Job, Answer);
  }
  void onTermRaised(std::uint32_t Term) override { Directory->setTerm(Term); }
  void onServersNeeded(bool Needed) override { Directory->followServers(Needed); }
  void onStaleRegistration(const std::string &Name) override { Directory->removeStale(Name); }
  void onConfigurationOffered(const schema::configuration_copy &Copy) override {
    applyConfiguration(*Vm, Copy.document());
  }

  // Bounds under which a resent job could run twice are an error.
  [[nodiscard]] runtime::result<dispatch::entry_vm_options> vmOptions() const {
    dispatch::entry_vm_options Result;
    Result.Vm = Settings.Vm;
    Result.Address = Settings.PeerAddress;
    Result.Domain = Settings.Domain;
    Result.View.ClockOrigin = Identity.nonce();
    Result.Strength = strength(Settings);
    applyOwnSettings(Options.Own, Result);
    dispatch::platform_bounds Bounds;
    Bounds.MaxLease = std::chrono::milliseconds(Settings.MaxLeaseMs);
    Bounds.Resend = std::chrono::milliseconds(Settings.ResendMs);
    Bounds.StopTime = std::chrono::milliseconds(Settings.StopTimeMs);
    if (!dispatch::applyBounds(Bounds, Result)) {
      log(log_level::Error, "bounds_too_short",
          {{"max_lease_ms", std::int64_t{Settings.MaxLeaseMs}},
           {"resend_ms", std::int64_t{Settings.ResendMs}}});
      return make_error_code(runtime::errc::OutOfRange);
    }
    return Result;
  }

  runtime::result<void> listen() {
    wire::peer_transport_options Transport;
    Transport.Address = Settings.PeerAddress;
    // The internal ports are reachable from the deployment's own VMs only; the key tells deployments apart.
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
    if (auto Made = listenHttp(Settings.CallerAddress, CallerHandlers, Callers); !Made)
      return Made;
    wire::http_server_handlers ReadyHandlers;
    ReadyHandlers.OnRequest = [this](const wire::http_request &Request) { onReadyCheck(Request); };
    if (auto Made = listenHttp(Settings.ReadyAddress, ReadyHandlers, Ready); !Made)
      return Made;
    if (Options.OperatorPort == 0)
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    wire::http_server_handlers OperatorHandlers;
    OperatorHandlers.OnRequest = [this](const wire::http_request &Request) {
      OperatorServer->reply(Request.Token, Operators->reply(Request, Frontend->pending()));
    };
    return listenHttp(fmt::format("{}:{}", Settings.Ip, Options.OperatorPort), OperatorHandlers,
                      OperatorServer);
  }

  runtime::result<void> listenHttp(const std::string &Address, wire::http_server_handlers Handlers,
                                   std::unique_ptr<wire::http_server> &Server) {
    wire::http_server_options ServerOptions;
    ServerOptions.Address = Address;
    ServerOptions.MaxBodyBytes = MaxBodyBytes;
    ServerOptions.RequestTimeout = CallerIdleTime;
    auto Made = wire::makeHttpServer(Loop, ServerOptions, std::move(Handlers));
    if (!Made)
      return Made.error();
    Server = std::move(Made.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  wire::peer_transport_handlers peerHandlers() {
    wire::peer_transport_handlers Handlers;
    Handlers.OnMessage = [this](const schema::incarnation &From, const std::string &,
                                const schema::envelope &Message) {
      if (Message.has_dispatch())
        Vm->onMessage(From.vm(), incarnationText(From), Message.dispatch());
    };
    Handlers.OnClosed = [this](const schema::incarnation &Peer) { Vm->onClosed(Peer.vm()); };
    Handlers.OnConnectFailed = [this](const std::string &Address, std::error_code) {
      Vm->onConnectFailed(Address);
    };
    return Handlers;
  }

  void onReadyCheck(const wire::http_request &Request) {
    wire::http_reply Reply;
    Reply.Status = Vm->ready() ? 200 : 503;
    Reply.Body = "{}";
    Ready->reply(Request.Token, std::move(Reply));
    if (std::exchange(WasReady, Vm->ready()) != Vm->ready())
      log(log_level::Info, "readiness_changed", {{"ready", Vm->ready()}});
  }

  // Signals.

  void onSignal(int Signal) {
    if (Signal == SIGHUP) {
      reload();
      return;
    }
    log(log_level::Info, "stopping",
        {{"signal", std::int64_t{Signal}}, {"jobs", std::int64_t(Frontend->pending())}});
    if (std::exchange(Draining, true)) {
      Loop.stop();
      return;
    }
    DrainStarted = Loop.clock().now();
    Vm->drain();
    Directory->unregister([] {});
    Loop.after(RotationTime, [this] {
      Callers->shutdown();
      checkDrained();
    });
  }

  void checkDrained() {
    auto Allowed = runtime::fromMs(Settings.GracePeriodS * 1000) - ExitMargin;
    bool TimeIsUp = Loop.clock().now() - DrainStarted >= Allowed;
    if (TimeIsUp || (Frontend->pending() == 0 && Callers->pendingRequests() == 0 && Vm->state().Jobs == 0 &&
                     Vm->state().Servers.Runs == 0)) {
      Loop.stop();
      return;
    }
    Loop.after(DrainCheckInterval, [this] { checkDrained(); });
  }

  // The platform changes the file without a signal at times.
  void watchSettings() {
    Loop.after(SettingsCheckInterval, [this] {
      std::string Text = Options.SettingsText();
      if (std::exchange(SettingsText, Text) != Text)
        reload();
      watchSettings();
    });
  }

  void reload() {
    platform::settings Updated;
    schema::daemon_settings Own;
    bool Readable = Options.ReadSettings && Options.ReadSettings(Updated, Own);
    log(Readable ? log_level::Info : log_level::Error, "settings_reloaded", {{"accepted", Readable}});
    if (!Readable)
      return;
    runtime::setLogLevel(logLevel(Own));
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
  std::unique_ptr<wire::http_server> Callers;
  std::unique_ptr<wire::http_server> Ready;
  std::unique_ptr<wire::http_server> OperatorServer;
  std::unique_ptr<dispatch::entry_vm> Vm;
  std::unique_ptr<operator_api> Operators;
  std::unique_ptr<frontend> Frontend;
  std::unique_ptr<directory> Directory;
  // As last read.
  std::string SettingsText;
  runtime::time_point DrainStarted{};
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
