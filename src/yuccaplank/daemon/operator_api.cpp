#include "operator_api.hpp"
#include "yuccaplank/model/job_id.hpp"
#include "yuccaplank/wire/service_codec.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <array>
#include <charconv>

namespace yuccaplank::daemon {
namespace {

using nlohmann::ordered_json;
using runtime::errc;

constexpr std::size_t MaxChangeIdLength = 128;
constexpr std::string_view ServicesPath = "/v1/services/";
constexpr auto StateNames = std::to_array<std::string_view>({"unknown", "live", "draining", "unreachable"});

ordered_json revisionJson(const schema::service_revision &Revision) {
  return {{"revision", Revision.revision()},
          {"change_id", Revision.change_id()},
          {"committed_ms", Revision.committed_ms()},
          {"document", ordered_json::parse(wire::writeService(Revision.document()))}};
}

ordered_json issuesJson(const std::vector<wire::document_issue> &Issues) {
  ordered_json List = ordered_json::array();
  for (const wire::document_issue &Issue : Issues)
    List.push_back({{"reason", runtime::errcName(Issue.Code)},
                    {"path", Issue.Path},
                    {"line", Issue.Line},
                    {"expected", Issue.Expected}});
  return List;
}

std::set<std::string> stringSet(const ordered_json &Body, const char *Key) {
  std::set<std::string> Values;
  if (Body.contains(Key) && Body[Key].is_array())
    for (const ordered_json &Value : Body[Key])
      if (Value.is_string())
        Values.insert(Value.get<std::string>());
  return Values;
}

} // namespace

operator_api::operator_api(node::entry_node &Node, operator_api_options Options, reply_function Reply,
                           std::function<std::string()> Metrics,
                           std::function<void(const blocked_links &)> SetLinks)
    : Node(Node), Options(std::move(Options)), Reply(std::move(Reply)), Metrics(std::move(Metrics)),
      SetLinks(std::move(SetLinks)) {}

void operator_api::onRequest(const wire::http_request &Request) {
  using handler = void (operator_api::*)(const wire::http_request &);
  struct entry {
    std::string_view Method;
    std::string_view Path;
    handler Handler;
    bool Open;
  };
  static constexpr auto Routes = std::to_array<entry>({
      {"GET", "/v1/services", &operator_api::services, false},
      {"GET", "/v1/vms", &operator_api::vms, false},
      {"GET", "/v1/servers", &operator_api::servers, false},
      {"GET", "/v1/reports/burn", &operator_api::burn, false},
      // Scrapers usually carry no token; metrics hold no secrets.
      {"GET", "/metrics", &operator_api::metrics, true},
      {"POST", "/v1/test/links", &operator_api::links, false},
  });
  for (const entry &Route : Routes) {
    if (Request.Path != Route.Path)
      continue;
    if (Request.Method != Route.Method)
      return fail(Request, 405, errc::MethodNotAllowed);
    if (!Route.Open && !authorized(Request))
      return fail(Request, 401, errc::Unauthorized);
    return (this->*Route.Handler)(Request);
  }
  if (!authorized(Request))
    return fail(Request, 401, errc::Unauthorized);
  if (Request.Path.starts_with(ServicesPath))
    return service(Request);
  fail(Request, 404, errc::UnknownPath);
}

bool operator_api::authorized(const wire::http_request &Request) const {
  std::string Expected = "Bearer " + Options.Token;
  std::string_view Given = Request.header("authorization");
  return Given.size() == Expected.size() &&
         CRYPTO_memcmp(Given.data(), Expected.data(), Expected.size()) == 0;
}

void operator_api::services(const wire::http_request &Request) {
  ordered_json List = ordered_json::array();
  for (const auto &Revision : Node.services())
    List.push_back(revisionJson(*Revision));
  send(Request.Token, 200, ordered_json{{"services", List}}.dump());
}

void operator_api::service(const wire::http_request &Request) {
  std::string Name = Request.Path.substr(ServicesPath.size());
  std::string Action;
  if (auto Slash = Name.find('/'); Slash != std::string::npos) {
    Action = Name.substr(Slash + 1);
    Name.resize(Slash);
  }
  if (Action.empty() && Request.Method == "PUT")
    return apply(Request, Name);
  if (Request.Method != "GET")
    return fail(Request, 405, errc::MethodNotAllowed);
  if (Action == "history")
    return history(Request, Name);
  if (Action == "rollout")
    return rollout(Request, Name);
  if (!Action.empty())
    return fail(Request, 404, errc::UnknownPath);
  for (const auto &Revision : Node.services())
    if (Revision->document().service() == Name)
      return send(Request.Token, 200, revisionJson(*Revision).dump());
  fail(Request, 404, errc::UnknownService);
}

void operator_api::apply(const wire::http_request &Request, const std::string &Name) {
  storage::apply_request Apply;
  auto Issues = wire::readService(Request.Body, Apply.Document);
  if (Issues.empty() && Apply.Document.service() != Name)
    Issues.push_back({errc::OutOfRange, "service", 1, "the name in the path, " + Name});
  if (!Issues.empty()) {
    ordered_json Body{{"reason", runtime::errcName(Issues.front().Code)}, {"issues", issuesJson(Issues)}};
    return send(Request.Token, 422, Body.dump());
  }
  std::string_view Expected = Request.query("expected");
  Apply.ChangeId = Request.query("change");
  auto Parsed = std::from_chars(Expected.data(), Expected.data() + Expected.size(), Apply.ExpectedRevision);
  if (Apply.ChangeId.size() > MaxChangeIdLength)
    return fail(Request, 422, errc::OutOfRange);
  if (Apply.ChangeId.empty() || Expected.empty() || Parsed.ptr != Expected.data() + Expected.size())
    return fail(Request, 422, errc::MissingField);
  Node.apply(std::move(Apply), [this, Token = Request.Token](runtime::result<storage::apply_reply> Result) {
    if (!Result) {
      ordered_json Body{{"reason", Result.error().message()}, {"retry_after_ms", 1000}};
      return send(Token, 503, Body.dump());
    }
    if (Result.value().Committed)
      return send(Token, 200, revisionJson(Result.value().Current).dump());
    ordered_json Body{{"reason", runtime::errcName(errc::RevisionConflict)},
                      {"current", revisionJson(Result.value().Current)}};
    send(Token, 409, Body.dump());
  });
}

void operator_api::history(const wire::http_request &Request, const std::string &Name) {
  Node.history(Name, [this, Request](runtime::result<std::vector<schema::service_revision>> Revisions) {
    if (!Revisions)
      return fail(Request, 503, errc::PlatformUnavailable);
    ordered_json List = ordered_json::array();
    for (const schema::service_revision &Revision : Revisions.value())
      List.push_back(revisionJson(Revision));
    send(Request.Token, 200, ordered_json{{"revisions", List}}.dump());
  });
}

void operator_api::rollout(const wire::http_request &Request, const std::string &Name) {
  Node.rollout(Name, [this, Token = Request.Token](const node::entry_node::rollout_report &Report) {
    ordered_json List = ordered_json::array();
    for (const auto &Vm : Report.Vms)
      List.push_back({{"vm", Vm.Vm}, {"revision", Vm.Revision}});
    send(Token, 200, ordered_json{{"vms", List}, {"silent", Report.SilentVms}}.dump());
  });
}

void operator_api::vms(const wire::http_request &Request) {
  std::set<std::string> Dispatchers;
  for (const auto &Dispatcher : Node.dispatchers())
    Dispatchers.insert(model::incarnationName(Dispatcher));
  ordered_json List = ordered_json::array();
  for (const model::member_view &Member : Node.members()) {
    const schema::vm_entry &Entry = Member.Entry;
    List.push_back({{"vm", Entry.self().vm()},
                    {"domain", Entry.domain()},
                    {"state", StateNames[static_cast<std::size_t>(Entry.state())]},
                    {"address", Entry.peer_address()},
                    {"started_ms", Entry.self().started_ms()},
                    {"dispatcher", Dispatchers.contains(model::incarnationName(Entry.self()))},
                    {"silent_ms", Member.SilentMs}});
  }
  send(Request.Token, 200, ordered_json{{"vms", List}}.dump());
}

void operator_api::servers(const wire::http_request &Request) {
  ordered_json List = ordered_json::array();
  for (const node::backend_view &Backend : Node.backends()) {
    // Load is known to the dispatcher of the server's failure domain only.
    bool Known = !Backend.View.Id.empty();
    std::string_view Listed = Backend.Entry.state() == schema::BACKEND_LEAVING ? "leaving" : "live";
    List.push_back({{"id", Backend.Entry.id()},
                    {"domain", Backend.Entry.domain()},
                    {"pool", Backend.Entry.pool()},
                    {"address", Backend.Entry.address()},
                    {"state", Known ? Backend.View.State : Listed},
                    {"speed", Backend.View.Speed},
                    {"running", Backend.View.Running},
                    {"slots", Backend.Entry.slots()}});
  }
  send(Request.Token, 200, ordered_json{{"servers", List}}.dump());
}

void operator_api::burn(const wire::http_request &Request) {
  Node.burnReport([this, Token = Request.Token](const node::entry_node::burn_report &Report) {
    ordered_json List = ordered_json::array();
    for (const model::burn_line &Line : Report.Lines)
      List.push_back({{"service", Line.Service},
                      {"objective_percent", Line.ObjectivePercent},
                      {"window_s", Line.WindowS},
                      {"good", Line.Good},
                      {"total", Line.Total},
                      {"attained_percent", Line.AttainedPercent},
                      {"burn_rate", Line.BurnRate},
                      {"budget_left_percent", Line.BudgetLeftPercent}});
    send(Token, 200, ordered_json{{"lines", List}, {"silent", Report.SilentVms}}.dump());
  });
}

void operator_api::metrics(const wire::http_request &Request) {
  Reply(Request.Token, {200, "text/plain; version=0.0.4", {}, Metrics()});
}

void operator_api::links(const wire::http_request &Request) {
  if (!Options.TestHooks)
    return fail(Request, 404, errc::UnknownPath);
  auto Body = ordered_json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    return fail(Request, 400, errc::MalformedDocument);
  blocked_links Links;
  Links.Vms = stringSet(Body, "vms");
  Links.Domains = stringSet(Body, "domains");
  Links.Platform = Body.contains("platform") && Body["platform"] == true;
  SetLinks(Links);
  send(Request.Token, 200, "{}");
}

void operator_api::fail(const wire::http_request &Request, int Status, errc Reason) {
  send(Request.Token, Status, ordered_json{{"reason", runtime::errcName(Reason)}}.dump());
}

void operator_api::send(wire::request_token Token, int Status, const std::string &Body) {
  Reply(Token, {Status, "application/json", {}, Body});
}

} // namespace yuccaplank::daemon
