#include "daemon.hpp"
#include "yuccaplank/standin/backend.hpp"
#include "yuccaplank/standin/platform.hpp"
#include "yuccaplank/standin/servers.hpp"
#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <sstream>

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::testing;
using nlohmann::json;

namespace {

constexpr std::string_view Token = "operator-token-of-the-test";
constexpr std::size_t MaxBodyBytes = 64U << 10U;
constexpr std::string_view Proofs = R"({"service":"proofs","team":"engraving","pool":"default"})";

template <typename T> T opened(runtime::result<T> Made) {
  CPPUNIT_ASSERT(Made.has_value());
  return std::move(Made.value());
}

json makeJob() {
  return {{"service", "proofs"},
          {"repeatable", true},
          {"deadline_ms", 5000},
          {"tasks", {{{"name", "a"}, {"payload", "first"}}, {{"name", "b"}, {"payload", "second"}}}}};
}

json withField(const char *Field, json Value) {
  json Job = makeJob();
  Job[Field] = std::move(Value);
  return Job;
}

// One daemon with the platform and one backend server, all in one loop.
struct daemon_site {
  daemon_site() {
    Platform = opened(standin::makePlatformServer(*Loop, platformOptions()));
    schema::daemon_settings Settings;
    Settings.set_vm("vm1");
    Settings.set_failure_domain("d1");
    for (auto *Address :
         {Settings.mutable_listen()->mutable_callers(), Settings.mutable_listen()->mutable_operators(),
          Settings.mutable_listen()->mutable_peers()})
      *Address = "127.0.0.1:0";
    Settings.set_platform(fmt::format("127.0.0.1:{}", Platform->port()));
    Settings.set_peer_key("peer-key-of-the-test");
    Settings.set_operator_token(std::string(Token));
    Settings.mutable_limits()->set_max_body_bytes(MaxBodyBytes);
    Daemon = opened(daemon::makeDaemon(*Loop, Settings));
    // run() starts the node; the loop then goes on in runUntil().
    Loop->post([this] { Loop->stop(); });
    Daemon->run();
    bool Ready = false;
    while (!Ready)
      Ready = callers("GET", "/healthz").Status == 200;
  }
  ~daemon_site() {
    Client.reset();
    Daemon.reset();
    Servers.reset();
    Platform.reset();
    runFor(*Loop, 10ms);
  }
  daemon_site(const daemon_site &) = delete;
  daemon_site &operator=(const daemon_site &) = delete;

  [[nodiscard]] wire::http_call_result exchange(std::uint16_t Port, std::string Method, std::string Path,
                                                std::string Body, const std::string &Bearer) const {
    wire::http_call Call;
    Call.Method = std::move(Method);
    Call.Address = fmt::format("127.0.0.1:{}", Port);
    Call.Path = std::move(Path);
    Call.Body = std::move(Body);
    Call.Timeout = 8s;
    if (!Bearer.empty())
      Call.Headers.push_back({"authorization", Bearer});
    std::optional<wire::http_call_result> Reply;
    Client->call(std::move(Call), [&](wire::http_call_result Result) { Reply = std::move(Result); });
    runUntil(*Loop, [&] { return Reply.has_value(); });
    CPPUNIT_ASSERT_MESSAGE(Reply->Error.message(), !Reply->Error);
    return *Reply;
  }
  [[nodiscard]] wire::http_call_result callers(std::string Method, std::string Path,
                                               std::string Body = {}) const {
    return exchange(Daemon->callerPort(), std::move(Method), std::move(Path), std::move(Body), {});
  }
  [[nodiscard]] wire::http_call_result operators(std::string Method, std::string Path, std::string Body = {},
                                                 const std::string &Bearer = "Bearer " +
                                                                             std::string(Token)) const {
    return exchange(Daemon->operatorPort(), std::move(Method), std::move(Path), std::move(Body), Bearer);
  }
  void applyProofs() const {
    auto Reply = operators("PUT", "/v1/services/proofs?expected=0&change=c1", std::string(Proofs));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Reply.Body, 200, Reply.Status);
  }
  [[nodiscard]] std::string issueId() const {
    return json::parse(callers("POST", "/v1/ids").Body)["ids"][0].get<std::string>();
  }
  void assertRefused(const std::string &Method, const std::string &Path, const std::string &Body, int Status,
                     const std::string &Reason) const {
    auto Reply = callers(Method, Path, Body);
    std::string Case = fmt::format("{} {} {}: {}", Method, Path, Body.substr(0, 80), Reply.Body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, Status, Reply.Status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, std::string_view("application/json"), Reply.header("content-type"));
    json Answer = json::parse(Reply.Body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, json("refused"), Answer["outcome"]);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, json(false), Answer["run"]);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, json(Reason), Answer["reason"]);
  }
  [[nodiscard]] json starts() const {
    return json::parse(exchange(Servers->controlPort(), "GET", "/starts", {}, {}).Body);
  }

  std::unique_ptr<runtime::loop> Loop = runtime::makeLoop();
  std::unique_ptr<wire::http_client> Client = wire::makeHttpClient(*Loop);
  std::unique_ptr<standin::servers> Servers = opened(standin::makeServers(*Loop, {}));
  std::unique_ptr<standin::platform_server> Platform;
  std::unique_ptr<daemon::entry_daemon> Daemon;

private:
  [[nodiscard]] standin::platform_options platformOptions() const {
    standin::platform_options Options;
    schema::backend_entry &Entry = *Options.Vms.add_backends();
    Entry.set_id("s1");
    Entry.set_domain("d1");
    Entry.set_address(fmt::format("127.0.0.1:{}", Servers->port(0)));
    Entry.set_pool("default");
    Entry.set_slots(8);
    Entry.set_connections(60);
    Entry.set_cores(64);
    Entry.set_memory_mb(1024);
    return Options;
  }
};

// Guards against a task that runs although its job was refused, and against refusals that a program cannot
// tell from failures that may have run.
const story BadInput("daemon: bad input from callers", [] {
  daemon_site Site;
  Site.applyProofs();
  std::string Job = makeJob().dump();
  std::string Own = "/v1/jobs/" + Site.issueId();
  std::string TooMany = withField("tasks", json(101, json{{"name", "same"}})).dump();
  Site.assertRefused("PUT", Own, R"({"service":)", 400, "malformed_document");
  Site.assertRefused("PUT", Own, Job + std::string(MaxBodyBytes, ' '), 413, "body_too_large");
  Site.assertRefused("PUT", Own, TooMany, 422, "too_many_tasks");
  Site.assertRefused("PUT", Own, withField("tasks", json::array()).dump(), 422, "missing_field");
  Site.assertRefused("PUT", Own, withField("tasks", json(2, json{{"name", "same"}})).dump(), 422,
                     "duplicate_task_name");
  Site.assertRefused("PUT", Own, withField("deadline_ms", 0).dump(), 422, "deadline_passed");
  Site.assertRefused("PUT", Own, withField("priority", 1).dump(), 422, "unknown_field");
  Site.assertRefused("PUT", Own, withField("service", "absent").dump(), 404, "unknown_service");
  Site.assertRefused("PUT", "/v1/jobs/no-id", Job, 400, "invalid_id");
  Site.assertRefused("PUT", Own + "9", Job, 400, "invalid_id");
  Site.assertRefused("GET", "/v1/jobs/no-id", "", 400, "invalid_id");
  Site.assertRefused("DELETE", "/v1/jobs/no-id", "", 400, "invalid_id");
  Site.assertRefused("GET", Own, "", 404, "not_found");
  Site.assertRefused("GET", Own + "?wait_ms=60001", "", 422, "out_of_range");
  Site.assertRefused("POST", "/v1/jobs", withField("repeatable", false).dump(), 422, "id_required");
  Site.assertRefused("PUT", "/v1/jobs", Job, 405, "method_not_allowed");
  Site.assertRefused("POST", Own, Job, 405, "method_not_allowed");
  Site.assertRefused("GET", "/v1/ids", "", 405, "method_not_allowed");
  Site.assertRefused("POST", "/v1/ids?count=0", "", 422, "out_of_range");
  Site.assertRefused("POST", "/v1/ids?count=1001", "", 422, "out_of_range");
  Site.assertRefused("POST", "/v1/jobsx", Job, 404, "unknown_path");
  CPPUNIT_ASSERT_EQUAL(json::object(), Site.starts());
  // The refusals have not used up the id.
  CPPUNIT_ASSERT_EQUAL(200, Site.callers("PUT", Own, Job).Status);
});

// Guards against an answer with missing or exchanged results, and against a second start on resubmission.
const story CompleteJob("daemon: a complete job", [] {
  daemon_site Site;
  CPPUNIT_ASSERT_EQUAL(200, Site.callers("GET", "/healthz/preferred").Status);
  Site.applyProofs();
  for (const std::string &Id : {Site.issueId(), std::string("k.order-1")}) {
    for (int Round = 0; Round < 2; ++Round) {
      auto Reply = Site.callers("PUT", "/v1/jobs/" + Id, withField("repeatable", false).dump());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Reply.Body, 200, Reply.Status);
      json Answer = json::parse(Reply.Body);
      CPPUNIT_ASSERT_EQUAL(json("done"), Answer["outcome"]);
      CPPUNIT_ASSERT_EQUAL(json(Id), Answer["id"]);
      json Expected = {{{"name", "a"}, {"payload", standin::taskResult(Id + "/a", "first")}},
                       {{"name", "b"}, {"payload", standin::taskResult(Id + "/b", "second")}}};
      CPPUNIT_ASSERT_EQUAL(Expected, Answer["results"]);
    }
    Site.assertRefused("PUT", "/v1/jobs/" + Id, makeJob().dump(), 409, "id_reused");
    CPPUNIT_ASSERT_EQUAL(json("done"), json::parse(Site.callers("GET", "/v1/jobs/" + Id).Body)["outcome"]);
  }
  json Starts = Site.starts();
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Starts.size());
  for (const auto &[Task, Count] : Starts.items())
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Task, json(1), Count);
});

// Guards against changes by anybody without the token, and against a team that overwrites another's change or
// gets no hint where its document is wrong.
const story Operators("daemon: operators", [] {
  daemon_site Site;
  std::string Path = "/v1/services/proofs?expected=0&change=c1";
  if (auto Given = section("given a missing or wrong token")) {
    std::string Right = "Bearer " + std::string(Token);
    for (const std::string &Bearer : {std::string(), std::string("Bearer "), std::string(Token), Right + "x",
                                      Right.substr(0, Right.size() - 1), "bearer-" + std::string(Token)})
      for (const std::string &Target : {Path, std::string("/v1/services"), std::string("/v1/vms")}) {
        auto Reply = Site.operators(Target == Path ? "PUT" : "GET", Target, std::string(Proofs), Bearer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} {}", Target, Bearer), 401, Reply.Status);
        CPPUNIT_ASSERT_EQUAL(json("unauthorized"), json::parse(Reply.Body)["reason"]);
      }
    CPPUNIT_ASSERT_EQUAL(json::array(), json::parse(Site.operators("GET", "/v1/services").Body)["services"]);
  }
  if (auto Given = section("given an invalid document")) {
    auto Reply = Site.operators("PUT", Path, "{\n \"service\": \"proofs\",\n \"weight\": \"two\"\n}");
    CPPUNIT_ASSERT_EQUAL(422, Reply.Status);
    json Issue = json::parse(Reply.Body)["issues"].at(0);
    CPPUNIT_ASSERT_EQUAL(json("wrong_type"), Issue["reason"]);
    CPPUNIT_ASSERT_EQUAL(json("weight"), Issue["path"]);
    CPPUNIT_ASSERT_EQUAL(json(3), Issue["line"]);
    CPPUNIT_ASSERT_EQUAL(404, Site.operators("GET", "/v1/services/proofs").Status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "the name in the path must match", 422,
        Site.operators("PUT", "/v1/services/other?expected=0&change=c1", std::string(Proofs)).Status);
  }
  if (auto Given = section("given two operators who change one service")) {
    Site.applyProofs();
    auto Reply = Site.operators("PUT", "/v1/services/proofs?expected=0&change=c2", std::string(Proofs));
    CPPUNIT_ASSERT_EQUAL(409, Reply.Status);
    json Conflict = json::parse(Reply.Body);
    CPPUNIT_ASSERT_EQUAL(json("revision_conflict"), Conflict["reason"]);
    CPPUNIT_ASSERT_EQUAL(json("c1"), Conflict["current"]["change_id"]);
    CPPUNIT_ASSERT_EQUAL(json("engraving"), Conflict["current"]["document"]["team"]);
    // The same change again, as after a lost reply.
    Site.applyProofs();
  }
});

// Guards against metrics that a scraper rejects or reads wrongly.
const story Metrics("daemon: metrics", [] {
  daemon_site Site;
  Site.applyProofs();
  CPPUNIT_ASSERT_EQUAL(200, Site.callers("POST", "/v1/jobs", makeJob().dump()).Status);
  auto Reply = Site.operators("GET", "/metrics", {}, {});
  CPPUNIT_ASSERT_EQUAL(200, Reply.Status);
  CPPUNIT_ASSERT(Reply.header("content-type").starts_with("text/plain; version=0.0.4"));
  std::istringstream Lines(Reply.Body);
  std::string Name;
  std::string Kind;
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Mark;
    std::string Keyword;
    if (Line.starts_with("# HELP ")) {
      Words >> Mark >> Keyword >> Name;
    } else if (Line.starts_with('#')) {
      std::string Typed;
      Words >> Mark >> Keyword >> Typed >> Kind;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Line, std::string("TYPE"), Keyword);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("help precedes the type", Name, Typed);
      CPPUNIT_ASSERT_MESSAGE(Line, Kind == "counter" || Kind == "gauge" || Kind == "histogram");
      CPPUNIT_ASSERT_MESSAGE(Line, Name.starts_with("yuccaplank_"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Line, std::string::npos,
                                   Name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Line, Kind == "counter", Name.ends_with("_total"));
      for (const char *Unit : {"_ms", "_milliseconds", "_kb", "_mb", "_percent"})
        CPPUNIT_ASSERT_MESSAGE(Line, Name.find(Unit) == std::string::npos);
    } else {
      std::string Metric = Line.substr(0, Line.find_first_of("{ "));
      bool PartOfHistogram = Kind == "histogram" && (Metric == Name + "_bucket" || Metric == Name + "_sum" ||
                                                     Metric == Name + "_count");
      CPPUNIT_ASSERT_MESSAGE(Line, PartOfHistogram || (Kind != "histogram" && Metric == Name));
      CPPUNIT_ASSERT_NO_THROW_MESSAGE(Line, static_cast<void>(std::stod(Line.substr(Line.rfind(' ')))));
    }
  }
  for (const char *Line :
       {"yuccaplank_jobs_done_total 1\n", "yuccaplank_tasks_started_total 2\n", "yuccaplank_dispatcher 1\n",
        "yuccaplank_job_response_seconds_count{outcome=\"done\"} 1\n"})
    CPPUNIT_ASSERT_MESSAGE(Line, Reply.Body.find(Line) != std::string::npos);
});

} // namespace
