#include "yuccaplank/standin/backend.hpp"

#include "yuccaplank/standin/enum_names.hpp"
#include "yuccaplank/standin/replies.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>

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

// Indexed by fault_mode.
constexpr auto FaultNames =
    std::to_array<std::string_view>({"normal", "fail_all", "stall", "refuse", "late", "crossed", "down",
                                     "leaving", "drop_answer", "drop_request"});
static_assert(FaultNames.size() == static_cast<std::size_t>(fault_mode::DropRequest) + 1);

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

class backend_impl final : public backend {
public:
  backend_impl(runtime::loop &Loop, backend_options Options, start_ledger &Ledger)
      : Loop(Loop), Options(std::move(Options)), Ledger(Ledger) {}
  backend_impl(const backend_impl &) = delete;
  backend_impl &operator=(const backend_impl &) = delete;
  ~backend_impl() override { cancelTasks(); }

  runtime::result<void> open() {
    wire::http_server_options ServerOptions;
    ServerOptions.Address = Options.Address;
    ServerOptions.MaxBodyBytes = MaxTaskBytes;
    ServerOptions.MaxConnections = Options.Connections;
    wire::http_server_handlers Handlers;
    Handlers.OnRequest = [this](const http_request &Request) { onRequest(Request); };
    auto Opened = wire::makeHttpServer(Loop, std::move(ServerOptions), std::move(Handlers));
    if (!Opened)
      return Opened.error();
    Server = std::move(Opened.value());
    // A server that comes back keeps its port.
    Options.Address = fmt::format("{}:{}", Options.Address.substr(0, Options.Address.rfind(':')), port());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  runtime::result<void> setFault(fault_mode NewMode, duration NewDelay) override {
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

  [[nodiscard]] std::uint16_t port() const override { return Server ? Server->port() : 0; }
  [[nodiscard]] const server_totals &totals() const override { return Totals; }

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
    if (Mode == fault_mode::Refuse || Tasks.size() >= Options.Slots)
      return refuse(Request.Token, Id);
    Ledger.record(Id);
    if (Mode == fault_mode::FailAll)
      return answer(Request.Token, reasonReply(500, "server_error"));
    duration RunTime = runtime::fromMs(payloadMs(Request.Body) / Options.Speed);
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
  backend_options Options;
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

} // namespace

std::optional<fault_mode> faultFromName(std::string_view Name) {
  return enumFromName<fault_mode>(FaultNames, Name);
}

runtime::result<std::unique_ptr<backend>> makeBackend(runtime::loop &Loop, backend_options Options,
                                                      start_ledger &Ledger) {
  auto Backend = std::make_unique<backend_impl>(Loop, std::move(Options), Ledger);
  if (auto Opened = Backend->open(); !Opened)
    return Opened.error();
  return std::unique_ptr<backend>(std::move(Backend));
}

std::string taskResult(std::string_view TaskId, std::string_view Payload) {
  return fmt::format("{}:{:016x}", TaskId, XXH64(Payload.data(), Payload.size(), 0));
}

} // namespace yuccaplank::standin
