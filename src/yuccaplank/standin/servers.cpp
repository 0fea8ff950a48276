#include "servers.hpp"
#include "start_ledger.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>

namespace yuccaplank::standin {
namespace {

using nlohmann::json;
using runtime::duration;
using wire::http_reply;
using wire::http_request;
using wire::request_token;

constexpr std::size_t MaxTaskBytes = 16U << 20U;
constexpr std::string_view TaskPath = "/task";
constexpr std::string_view TaskPrefix = "/task/";
constexpr std::string_view JobTasksPrefix = "/tasks/";

/// What a server does wrong.
enum class fault_mode : std::uint8_t {
  Normal,
  /// Every task starts and fails.
  FailAll,
  /// Tasks start and never end, except by their lease.
  Stall,
  /// Every task is refused as not started.
  Refuse,
  /// Answers come later by the delay.
  Late,
  /// Answers carry the id and result of the task answered before.
  Crossed,
  /// Listener and connections are closed and running tasks are gone.
  Down,
  /// Every reply announces that the server is leaving.
  Leaving,
  /// Tasks run, and the connection closes instead of the answer.
  DropAnswer,
  /// The connection closes after the request was read; the task does not start.
  DropRequest,
};

// Indexed by fault_mode.
constexpr auto FaultNames =
    std::to_array<std::string_view>({"normal", "fail_all", "stall", "refuse", "late", "crossed", "down",
                                     "leaving", "drop_answer", "drop_request"});
static_assert(FaultNames.size() == static_cast<std::size_t>(fault_mode::DropRequest) + 1);

std::optional<fault_mode> faultFromName(std::string_view Name) {
  const auto *Found = std::ranges::find(FaultNames, Name);
  if (Found == FaultNames.end())
    return std::nullopt;
  return static_cast<fault_mode>(Found - FaultNames.begin());
}

http_reply jsonReply(int Status, const json &Body) {
  http_reply Reply;
  Reply.Status = Status;
  Reply.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Reply;
}

http_reply reasonReply(int Status, std::string_view Reason) {
  return jsonReply(Status, {{"reason", Reason}});
}

// Run time that a payload asks for at speed 1, in milliseconds; 0 for payloads that are not JSON.
double payloadMs(std::string_view Payload) {
  if (!Payload.starts_with('{'))
    return 0;
  json Document = json::parse(Payload, nullptr, false);
  if (!Document.is_object())
    return 0;
  auto Found = Document.find("ms");
  return Found != Document.end() && Found->is_number() ? std::max(0.0, Found->get<double>()) : 0;
}

struct server_totals {
  std::uint64_t Refused = 0;
  std::uint64_t Stopped = 0;
  std::size_t MaxConnections = 0;
};

// One backend server.
class backend {
public:
  struct settings {
    std::string Address;
    std::uint32_t Slots = 0;
    std::uint32_t Connections = 0;
    double Speed = 1;
  };

  backend(runtime::loop &Loop, settings Settings, start_ledger &Ledger)
      : Loop(Loop), Settings(std::move(Settings)), Ledger(Ledger) {}
  backend(const backend &) = delete;
  backend &operator=(const backend &) = delete;
  ~backend() { cancelTasks(); }

  runtime::result<void> open() {
    wire::http_server_options Options;
    Options.Address = Settings.Address;
    Options.MaxBodyBytes = MaxTaskBytes;
    Options.MaxConnections = Settings.Connections;
    wire::http_server_handlers Handlers;
    Handlers.OnRequest = [this](const http_request &Request) { onRequest(Request); };
    auto Opened = wire::makeHttpServer(Loop, std::move(Options), std::move(Handlers));
    if (!Opened)
      return Opened.error();
    Server = std::move(Opened.value());
    // A server that comes back keeps its port.
    Settings.Address = fmt::format("{}:{}", Settings.Address.substr(0, Settings.Address.rfind(':')), port());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  runtime::result<void> setFault(fault_mode NewMode, duration NewDelay) {
    Mode = NewMode;
    Delay = NewDelay;
    if (Mode == fault_mode::Down) {
      cancelTasks();
      Server.reset();
    } else if (!Server) {
      return open();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  [[nodiscard]] std::uint16_t port() const { return Server ? Server->port() : 0; }
  [[nodiscard]] const server_totals &totals() const { return Totals; }

private:
  struct running_task {
    std::string Id;
    request_token Token = 0;
    std::string Result;
    runtime::timer_id EndTimer = 0;
    runtime::timer_id LeaseTimer = 0;
  };
  using task_map = std::unordered_multimap<std::string, std::unique_ptr<running_task>>;

  void onRequest(const http_request &Request) {
    Totals.MaxConnections = std::max(Totals.MaxConnections, Server->connections());
    if (Request.Method == "POST" && Request.Path == TaskPath)
      onTask(Request);
    else if (Request.Method == "DELETE" && Request.Path.starts_with(TaskPrefix))
      onStop(Request);
    else
      answer(Request.Token, reasonReply(404, "unknown_path"));
  }

  void onTask(const http_request &Request) {
    std::string_view Id = Request.header("task-id");
    if (Id.empty())
      return answer(Request.Token, reasonReply(400, "missing_field"));
    if (Mode == fault_mode::DropRequest)
      return Server->drop(Request.Token);
    if (Mode == fault_mode::Refuse || Tasks.size() >= Settings.Slots)
      return refuse(Request.Token, Id);
    Ledger.record(Id);
    if (Mode == fault_mode::FailAll)
      return answer(Request.Token, reasonReply(500, "server_error"));
    duration RunTime = runtime::fromMs(payloadMs(Request.Body) / Settings.Speed);
    if (Mode == fault_mode::Late)
      RunTime += Delay;
    if (RunTime <= duration::zero() && Mode != fault_mode::Stall)
      return finish(Request.Token, std::string(Id), taskResult(Id, Request.Body));
    run(Request, RunTime);
  }

  void run(const http_request &Request, duration RunTime) {
    auto Owned = std::make_unique<running_task>();
    running_task *Task = Owned.get();
    Task->Id = Request.header("task-id");
    Task->Token = Request.Token;
    Task->Result = taskResult(Task->Id, Request.Body);
    if (Mode != fault_mode::Stall)
      Task->EndTimer = Loop.after(RunTime, [this, Task] { onTaskEnd(Task); });
    std::string_view LeaseText = Request.header("task-lease-ms");
    std::int64_t LeaseMs = 0;
    std::from_chars(LeaseText.data(), LeaseText.data() + LeaseText.size(), LeaseMs);
    if (LeaseMs > 0)
      Task->LeaseTimer =
          Loop.after(std::chrono::milliseconds(LeaseMs), [this, Task] { stop(Task, "lease_expired"); });
    Tasks.emplace(Task->Id, std::move(Owned));
  }

  std::unique_ptr<running_task> take(running_task *Task) {
    auto [First, Last] = Tasks.equal_range(Task->Id);
    auto Found = std::find_if(First, Last, [&](const auto &Entry) { return Entry.second.get() == Task; });
    std::unique_ptr<running_task> Owned = std::move(Found->second);
    Tasks.erase(Found);
    Loop.cancel(Owned->EndTimer);
    Loop.cancel(Owned->LeaseTimer);
    return Owned;
  }

  void onTaskEnd(running_task *Task) {
    auto Owned = take(Task);
    finish(Owned->Token, std::move(Owned->Id), std::move(Owned->Result));
  }

  void stop(running_task *Task, std::string_view Reason) {
    auto Owned = take(Task);
    ++Totals.Stopped;
    answer(Owned->Token, reasonReply(500, Reason));
  }

  void onStop(const http_request &Request) {
    std::string Id = Request.Path.substr(TaskPrefix.size());
    for (auto Found = Tasks.find(Id); Found != Tasks.end(); Found = Tasks.find(Id))
      stop(Found->second.get(), "cancelled");
    answer(Request.Token, jsonReply(202, json::object()));
  }

  void finish(request_token Token, std::string Id, std::string Result) {
    if (Mode == fault_mode::DropAnswer)
      return Server->drop(Token);
    if (Mode == fault_mode::Crossed) {
      if (LastId.empty()) {
        LastId = Id + ".other";
        LastResult = taskResult(LastId, "");
      }
      std::swap(Id, LastId);
      std::swap(Result, LastResult);
    }
    http_reply Reply;
    Reply.ContentType = "application/octet-stream";
    Reply.Headers.push_back({"task-id", std::move(Id)});
    Reply.Body = std::move(Result);
    answer(Token, std::move(Reply));
  }

  void refuse(request_token Token, std::string_view Id) {
    ++Totals.Refused;
    http_reply Reply = reasonReply(503, "not_started");
    Reply.Headers.push_back({"task-not-started", "1"});
    Reply.Headers.push_back({"task-id", std::string(Id)});
    answer(Token, std::move(Reply));
  }

  void answer(request_token Token, http_reply Reply) {
    if (Mode == fault_mode::Leaving)
      Reply.Headers.push_back({"server-leaving", "1"});
    Server->reply(Token, std::move(Reply));
  }

  void cancelTasks() {
    for (auto &[Id, Task] : Tasks) {
      Loop.cancel(Task->EndTimer);
      Loop.cancel(Task->LeaseTimer);
    }
    Tasks.clear();
  }

  runtime::loop &Loop;
  settings Settings;
  start_ledger &Ledger;
  std::unique_ptr<wire::http_server> Server;
  task_map Tasks;
  server_totals Totals;
  fault_mode Mode = fault_mode::Normal;
  duration Delay{};
  // Answer that the mode Crossed gives to the next task.
  std::string LastId;
  std::string LastResult;
};

class servers_impl final : public servers {
public:
  servers_impl(runtime::loop &Loop, servers_options Options) : Loop(Loop), Options(std::move(Options)) {}

  runtime::result<void> open() {
    for (std::uint32_t Index = 0; Index < Options.Count; ++Index) {
      std::uint32_t Port = Options.FirstPort ? Options.FirstPort + Index : 0;
      backend::settings Settings{fmt::format("{}:{}", Options.Listen, Port), Options.Slots,
                                 Options.Connections, Options.Speeds[Index % Options.Speeds.size()]};
      Backends.push_back(std::make_unique<backend>(Loop, std::move(Settings), Ledger));
      if (auto Opened = Backends.back()->open(); !Opened)
        return Opened.error();
    }
    wire::http_server_options ControlOptions;
    ControlOptions.Address = fmt::format("{}:{}", Options.Listen, Options.ControlPort);
    wire::http_server_handlers Handlers;
    Handlers.OnRequest = [this](const http_request &Request) { onControl(Request); };
    auto Opened = wire::makeHttpServer(Loop, std::move(ControlOptions), std::move(Handlers));
    if (!Opened)
      return Opened.error();
    Control = std::move(Opened.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  [[nodiscard]] std::uint16_t controlPort() const override { return Control->port(); }
  [[nodiscard]] std::uint16_t port(std::uint32_t Index) const override { return Backends[Index]->port(); }

private:
  void onControl(const http_request &Request) { Control->reply(Request.Token, controlReply(Request)); }

  http_reply controlReply(const http_request &Request) {
    if (Request.Method == "GET" && Request.Path == "/starts")
      return starts(Request.query("prefix"));
    if (Request.Method == "GET" && Request.Path == "/summary")
      return jsonReply(200, summary());
    if (Request.Method == "GET" && Request.Path.starts_with(JobTasksPrefix))
      return jsonReply(200, jobTasks(Request.Path.substr(JobTasksPrefix.size())));
    if (Request.Method == "POST" && Request.Path == "/fault")
      return setFaults(json::parse(Request.Body, nullptr, false));
    return reasonReply(404, "unknown_path");
  }

  // Written as text: a JSON object of a million starts takes 260 MB more.
  [[nodiscard]] http_reply starts(std::string_view Prefix) const {
    http_reply Reply;
    Reply.Body = "{";
    for (const auto &[Job, Tasks] : Ledger.jobs())
      for (const start_ledger::task_starts &Task : Tasks) {
        std::string Id = fmt::format("{}/{}", Job, Task.Name);
        if (Id.starts_with(Prefix))
          fmt::format_to(std::back_inserter(Reply.Body), "{}{}:{}", Reply.Body.size() > 1 ? "," : "",
                         json(Id).dump(-1, ' ', false, json::error_handler_t::replace), Task.Count);
      }
    Reply.Body += "}";
    return Reply;
  }

  [[nodiscard]] json summary() const {
    server_totals Sum;
    for (const auto &Backend : Backends) {
      Sum.Refused += Backend->totals().Refused;
      Sum.Stopped += Backend->totals().Stopped;
      Sum.MaxConnections = std::max(Sum.MaxConnections, Backend->totals().MaxConnections);
    }
    return {{"servers", Backends.size()}, {"started", Ledger.total()},
            {"refused", Sum.Refused},     {"double_started", Ledger.doubleStarted()},
            {"stopped", Sum.Stopped},     {"max_connections", Sum.MaxConnections}};
  }

  [[nodiscard]] json jobTasks(const std::string &Job) const {
    json Names = json::array();
    auto Found = Ledger.jobs().find(Job);
    if (Found != Ledger.jobs().end())
      for (const start_ledger::task_starts &Task : Found->second)
        Names.push_back(Task.Name);
    return Names;
  }

  http_reply setFaults(const json &Document) {
    if (!Document.is_object() || !Document.contains("mode") || !Document["mode"].is_string())
      return reasonReply(400, "malformed_document");
    auto Mode = faultFromName(Document["mode"].get<std::string>());
    auto Chosen = chooseBackends(Document);
    if (!Mode || !Chosen)
      return reasonReply(400, "out_of_range");
    duration Delay = runtime::fromMs(Document.value("delay_ms", 0.0));
    for (backend *Backend : *Chosen)
      if (auto Set = Backend->setFault(*Mode, Delay); !Set)
        return reasonReply(500, Set.error().message());
    return jsonReply(200, {{"servers", Chosen->size()}});
  }

  // The servers named in the document, or all when it names none; nothing when a name is unknown.
  std::optional<std::vector<backend *>> chooseBackends(const json &Document) {
    std::vector<backend *> Chosen;
    if (!Document.contains("servers")) {
      for (const auto &Backend : Backends)
        Chosen.push_back(Backend.get());
      return Chosen;
    }
    for (const json &Name : Document["servers"]) {
      std::string Text = Name.is_string() ? Name.get<std::string>() : std::string();
      std::size_t Number = 0;
      if (Text.starts_with('s'))
        std::from_chars(Text.data() + 1, Text.data() + Text.size(), Number);
      if (Number < 1 || Number > Backends.size())
        return std::nullopt;
      Chosen.push_back(Backends[Number - 1].get());
    }
    return Chosen;
  }

  runtime::loop &Loop;
  servers_options Options;
  start_ledger Ledger;
  std::vector<std::unique_ptr<backend>> Backends;
  std::unique_ptr<wire::http_server> Control;
};

} // namespace

runtime::result<std::unique_ptr<servers>> makeServers(runtime::loop &Loop, servers_options Options) {
  auto Servers = std::make_unique<servers_impl>(Loop, std::move(Options));
  if (auto Opened = Servers->open(); !Opened)
    return Opened.error();
  return std::unique_ptr<servers>(std::move(Servers));
}

std::string vmListJson(const servers_options &Options) {
  json Backends = json::array();
  for (std::uint32_t Index = 0; Index < Options.Count; ++Index)
    Backends.push_back({{"id", fmt::format("s{}", Index + 1)},
                        {"domain", Options.Domains[Index % Options.Domains.size()]},
                        {"address", fmt::format("{}:{}", Options.Listen, Options.FirstPort + Index)},
                        {"pool", Options.Pool},
                        {"slots", Options.Slots},
                        {"connections", Options.Connections},
                        {"cores", Options.Cores},
                        {"memory_mb", Options.MemoryMb},
                        {"accelerators", Options.Accelerators},
                        {"state", "BACKEND_LIVE"}});
  return json{{"backends", std::move(Backends)}}.dump(2);
}

std::string taskResult(std::string_view TaskId, std::string_view Payload) {
  return fmt::format("{}:{:016x}", TaskId, XXH64(Payload.data(), Payload.size(), 0));
}

} // namespace yuccaplank::standin
