#include "caller_api.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace yuccaplank::daemon {
namespace {

using nlohmann::json;
using runtime::errc;

constexpr std::uint32_t MaxIdsPerRequest = 1000;
constexpr std::uint32_t MaxWaitMs = 60'000;
// The authority's validity of 600 s less the time that a block may wait in the pool of another VM.
constexpr int IdValidityS = 540;
constexpr std::string_view JobsPath = "/v1/jobs";

std::optional<std::uint32_t> number(std::string_view Text) {
  std::uint32_t Value = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace

void caller_api::onRequest(const wire::http_request &Request) {
  using handler = void (caller_api::*)(const wire::http_request &);
  struct entry {
    std::string_view Method;
    std::string_view Path;
    handler Handler;
  };
  static constexpr auto Routes = std::to_array<entry>({
      {"GET", "/healthz", &caller_api::health},
      {"GET", "/healthz/preferred", &caller_api::preferred},
      {"POST", "/v1/ids", &caller_api::issueIds},
  });
  for (const entry &Route : Routes) {
    if (Request.Path != Route.Path)
      continue;
    if (Request.Method != Route.Method)
      return refuse(Request, errc::MethodNotAllowed, Request.Method);
    return (this->*Route.Handler)(Request);
  }
  if (Request.Path == JobsPath || Request.Path.starts_with(std::string(JobsPath) + "/"))
    return jobs(Request);
  refuse(Request, errc::UnknownPath, Request.Path);
}

void caller_api::onClosed(wire::request_token Token) {
  auto Found = Handles.find(Token);
  if (Found == Handles.end())
    return;
  Node.callerGone(Found->second);
  Handles.erase(Found);
}

void caller_api::health(const wire::http_request &Request) {
  bool Serving = Node.serving();
  Reply(Request.Token, {Serving ? 200 : 503, "application/json", {}, json{{"serving", Serving}}.dump()});
}

void caller_api::preferred(const wire::http_request &Request) {
  bool Preferred = Node.serving() && Node.isDispatcher();
  Reply(Request.Token,
        {Preferred ? 200 : 503, "application/json", {}, json{{"preferred", Preferred}}.dump()});
}

void caller_api::issueIds(const wire::http_request &Request) {
  std::string_view Text = Request.query("count");
  auto Count = Text.empty() ? std::optional<std::uint32_t>(1) : number(Text);
  if (!Count || *Count < 1 || *Count > MaxIdsPerRequest)
    return refuse(Request, errc::OutOfRange, "count");
  Node.issueIds(*Count, [this, Token = Request.Token](runtime::result<std::vector<std::string>> Ids) {
    if (Ids) {
      json Body{{"ids", Ids.value()}, {"valid_s", IdValidityS}};
      Reply(Token, {200, "application/json", {}, Body.dump()});
    } else {
      auto Reason = static_cast<errc>(Ids.error().value());
      Reply(Token, wire::answerReply(wire::makeAnswer({}, schema::OUTCOME_REFUSED, Reason, {}, 200)));
    }
  });
}

void caller_api::jobs(const wire::http_request &Request) {
  std::string Id =
      Request.Path.size() > JobsPath.size() ? Request.Path.substr(JobsPath.size() + 1) : std::string();
  if (Id.empty()) {
    if (Request.Method == "POST")
      return submit(Request, Id);
    return refuse(Request, errc::MethodNotAllowed, Request.Method);
  }
  using handler = void (caller_api::*)(const wire::http_request &, const std::string &);
  struct entry {
    std::string_view Method;
    handler Handler;
  };
  static constexpr auto Methods = std::to_array<entry>({
      {"PUT", &caller_api::submit},
      {"GET", &caller_api::query},
      {"DELETE", &caller_api::cancel},
  });
  for (const entry &Method : Methods)
    if (Request.Method == Method.Method)
      return (this->*Method.Handler)(Request, Id);
  refuse(Request, errc::MethodNotAllowed, Request.Method);
}

void caller_api::submit(const wire::http_request &Request, const std::string &Id) {
  node::submit_request Submit;
  Submit.Id = Id;
  Submit.RespondAsync = Request.header("prefer").find("respond-async") != std::string_view::npos;
  auto Issues = wire::readJob(Request.Body, Submit.Job);
  if (!Issues.empty()) {
    const wire::document_issue &First = Issues.front();
    std::string Subject = First.Path.empty() ? First.Expected : First.Path + ": " + First.Expected;
    return refuse(Request, First.Code, Subject);
  }
  auto Token = Request.Token;
  auto Received = Clock.now();
  remember(Token, Node.submit(std::move(Submit), [this, Token, Received](const schema::job_answer &Answer) {
    Handles.erase(Token);
    Observe(Answer.outcome(), runtime::toMs(Clock.now() - Received) / 1000);
    Reply(Token, wire::answerReply(Answer));
  }));
}

void caller_api::query(const wire::http_request &Request, const std::string &Id) {
  std::string_view Text = Request.query("wait_ms");
  auto WaitMs = Text.empty() ? std::optional<std::uint32_t>(0) : number(Text);
  if (!WaitMs || *WaitMs > MaxWaitMs)
    return refuse(Request, errc::OutOfRange, "wait_ms");
  auto Token = Request.Token;
  remember(Token, Node.query(Id, *WaitMs, [this, Token](const schema::job_answer &Answer) {
    Handles.erase(Token);
    Reply(Token, wire::answerReply(Answer));
  }));
}

void caller_api::cancel(const wire::http_request &Request, const std::string &Id) {
  Node.cancel(Id, [this, Token = Request.Token](const schema::job_answer &Answer) {
    Reply(Token, wire::answerReply(Answer));
  });
}

void caller_api::refuse(const wire::http_request &Request, errc Reason, const std::string &Subject) {
  Reply(Request.Token, wire::answerReply(wire::makeAnswer({}, schema::OUTCOME_REFUSED, Reason, Subject)));
}

void caller_api::remember(wire::request_token Token, std::uint64_t Handle) { Handles[Token] = Handle; }

} // namespace yuccaplank::daemon
