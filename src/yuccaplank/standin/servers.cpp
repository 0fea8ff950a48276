#include "yuccaplank/standin/servers.hpp"

#include "yuccaplank/standin/backend.hpp"
#include "yuccaplank/standin/replies.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>

namespace yuccaplank::standin {
namespace {

using nlohmann::json;
using runtime::duration;
using wire::http_reply;
using wire::http_request;

constexpr std::string_view JobTasksPrefix = "/tasks/";

class servers_impl final : public servers {
public:
  servers_impl(runtime::loop &Loop, servers_options Options) : Loop(Loop), Options(std::move(Options)) {}

  runtime::result<void> open() {
    for (std::uint32_t Index = 0; Index < Options.Count; ++Index) {
      std::uint32_t Port = Options.FirstPort ? Options.FirstPort + Index : 0;
      auto Backend = makeBackend(Loop,
                                 {fmt::format("{}:{}", Options.Listen, Port), Options.Slots,
                                  Options.Connections, Options.Speeds[Index % Options.Speeds.size()]},
                                 Ledger);
      if (!Backend)
        return Backend.error();
      Backends.push_back(std::move(Backend.value()));
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
    Reply.Body.push_back('{');
    for (const auto &[Job, Tasks] : Ledger.jobs())
      for (const start_ledger::task_starts &Task : Tasks) {
        std::string Id = fmt::format("{}/{}", Job, Task.Name);
        if (Id.starts_with(Prefix))
          fmt::format_to(std::back_inserter(Reply.Body), "{}{}:{}", Reply.Body.size() > 1 ? "," : "",
                         json(Id).dump(-1, ' ', false, json::error_handler_t::replace), Task.Count);
      }
    Reply.Body.push_back('}');
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

} // namespace yuccaplank::standin
