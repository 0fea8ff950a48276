#include "backend.hpp"
#include "servers.hpp"
#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/start_certainty.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <pcg_random.hpp>

#include <array>
#include <map>
#include <optional>

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::testing;
using nlohmann::json;
using runtime::errc;
using wire::attempt_verdict;

namespace {

struct servers_site {
  explicit servers_site(standin::servers_options Options = {}) {
    auto Made = standin::makeServers(*Loop, std::move(Options));
    CPPUNIT_ASSERT(Made.has_value());
    Servers = std::move(Made.value());
  }
  ~servers_site() {
    Client.reset();
    Servers.reset();
    runFor(*Loop, 10ms);
  }
  servers_site(const servers_site &) = delete;
  servers_site &operator=(const servers_site &) = delete;

  struct attempt {
    wire::attempt_outcome Outcome;
    wire::http_call_result Result;
    bool Done = false;
  };

  std::shared_ptr<attempt> startTask(const std::string &Id, const std::string &Payload,
                                     std::uint32_t Server = 0,
                                     std::vector<wire::http_header> Headers = {}) const {
    auto Attempt = std::make_shared<attempt>();
    wire::http_call Call = callTo(Servers->port(Server), "POST", "/task", Payload);
    Call.Headers = std::move(Headers);
    Call.Headers.push_back({"task-id", Id});
    Client->call(std::move(Call), [Attempt, Id](wire::http_call_result Result) {
      Attempt->Outcome = wire::judgeAttempt(Result, Id);
      Attempt->Result = std::move(Result);
      Attempt->Done = true;
    });
    return Attempt;
  }
  std::shared_ptr<attempt> runTask(const std::string &Id, const std::string &Payload,
                                   std::uint32_t Server = 0) const {
    auto Attempt = startTask(Id, Payload, Server);
    runUntil(*Loop, [&] { return Attempt->Done; });
    return Attempt;
  }
  json control(const std::string &Method, const std::string &Path, const std::string &Body = {}) const {
    wire::http_call_result Reply = exchange(callTo(Servers->controlPort(), Method, Path, Body));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Path, 200, Reply.Status);
    return json::parse(Reply.Body);
  }
  [[nodiscard]] wire::http_call_result exchange(wire::http_call Call) const {
    std::optional<wire::http_call_result> Reply;
    Client->call(std::move(Call), [&](wire::http_call_result Result) { Reply = std::move(Result); });
    runUntil(*Loop, [&] { return Reply.has_value(); });
    return *Reply;
  }
  static wire::http_call callTo(std::uint16_t Port, std::string Method, std::string Path,
                                std::string Body = {}) {
    wire::http_call Call;
    Call.Method = std::move(Method);
    Call.Address = fmt::format("127.0.0.1:{}", Port);
    Call.Path = std::move(Path);
    Call.Body = std::move(Body);
    Call.Timeout = 1s;
    return Call;
  }

  std::unique_ptr<runtime::loop> Loop = runtime::makeLoop();
  std::unique_ptr<wire::http_client> Client = wire::makeHttpClient(*Loop);
  std::unique_ptr<standin::servers> Servers;
};

void assertVerdict(attempt_verdict Verdict, errc Reason, const servers_site::attempt &Attempt) {
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(Verdict), static_cast<int>(Attempt.Outcome.Verdict));
  CPPUNIT_ASSERT_EQUAL(std::string(errcName(Reason)), std::string(errcName(Attempt.Outcome.Reason)));
}

// Guards against results that do not show which task they belong to, and against uncounted starts.
const story Tasks("stand-in servers: tasks", [] {
  standin::servers_options Options;
  Options.Count = 2;
  Options.Slots = 1;
  Options.Speeds = {1, 4};
  servers_site Site(Options);
  if (auto When = section("when a task ends")) {
    auto Attempt = Site.runTask("j/t1", "payload");
    assertVerdict(attempt_verdict::Completed, errc::Ok, *Attempt);
    CPPUNIT_ASSERT_EQUAL(standin::taskResult("j/t1", "payload"), Attempt->Result.Body);
    CPPUNIT_ASSERT(standin::taskResult("j/t1", "other") != Attempt->Result.Body);
  }
  if (auto When = section("when the servers differ in speed")) {
    auto Slow = Site.startTask("j/slow", R"({"ms":400})", 0);
    auto Fast = Site.startTask("j/fast", R"({"ms":400})", 1);
    auto Begin = std::chrono::steady_clock::now();
    runUntil(*Site.Loop, [&] { return Fast->Done; });
    CPPUNIT_ASSERT(!Slow->Done);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin >= 99ms);
    runUntil(*Site.Loop, [&] { return Slow->Done; });
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin >= 399ms);
  }
  if (auto When = section("when no slot is free")) {
    auto First = Site.startTask("j/t1", R"({"ms":200})");
    runFor(*Site.Loop, 30ms);
    assertVerdict(attempt_verdict::NotStarted, errc::NotStarted, *Site.runTask("j/t2", "x"));
    runUntil(*Site.Loop, [&] { return First->Done; });
    CPPUNIT_ASSERT_EQUAL(json({{"j/t1", 1}}), Site.control("GET", "/starts?prefix=j/"));
    CPPUNIT_ASSERT_EQUAL(1, Site.control("GET", "/summary")["refused"].get<int>());
    assertVerdict(attempt_verdict::Completed, errc::Ok, *Site.runTask("j/t2", "x"));
  }
  if (auto When = section("when a task starts twice")) {
    Site.runTask("j/t1", "x", 0);
    Site.runTask("j/t1", "x", 1);
    Site.runTask("j/t2", "x", 1);
    json Summary = Site.control("GET", "/summary");
    CPPUNIT_ASSERT_EQUAL(json({"j/t1"}), Summary["double_started"]);
    CPPUNIT_ASSERT_EQUAL(3, Summary["started"].get<int>());
    CPPUNIT_ASSERT_EQUAL(json({{"j/t1", 2}, {"j/t2", 1}}), Site.control("GET", "/starts?prefix="));
    CPPUNIT_ASSERT_EQUAL(json({"t1", "t2"}), Site.control("GET", "/tasks/j"));
  }
  if (auto When = section("when a task is stopped")) {
    auto Attempt = Site.startTask("j/t1", R"({"ms":5000})");
    runFor(*Site.Loop, 30ms);
    auto Stop = Site.exchange(servers_site::callTo(Site.Servers->port(0), "DELETE", "/task/j/t1"));
    CPPUNIT_ASSERT_EQUAL(202, Stop.Status);
    runUntil(*Site.Loop, [&] { return Attempt->Done; });
    assertVerdict(attempt_verdict::StartedAndFailed, errc::ServerError, *Attempt);
    CPPUNIT_ASSERT_EQUAL(1, Site.control("GET", "/summary")["stopped"].get<int>());
  }
  if (auto When = section("when a lease expires")) {
    auto Attempt = Site.startTask("j/t1", R"({"ms":5000})", 0, {{"task-lease-ms", "50"}});
    runUntil(*Site.Loop, [&] { return Attempt->Done; });
    assertVerdict(attempt_verdict::StartedAndFailed, errc::ServerError, *Attempt);
  }
});

// Guards against a connection limit that is not enforced.
const story Connections("stand-in servers: connection limit", [] {
  standin::servers_options Options;
  Options.Connections = 1;
  servers_site Site(Options);
  raw_socket First = connectTo(Site.Servers->port(0));
  runFor(*Site.Loop, 20ms);
  raw_socket Second = connectTo(Site.Servers->port(0));
  runFor(*Site.Loop, 20ms);
  CPPUNIT_ASSERT(Second.closedByPeer());
});

struct fault_case {
  const char *Mode;
  attempt_verdict Verdict;
  errc Reason;
  int Starts;
};

// Guards against faults that count starts wrongly, so that a check of promises would miss a breach.
const story Faults("stand-in servers: faults", [] {
  using enum attempt_verdict;
  standin::servers_options Options;
  Options.Count = 2;
  for (const fault_case &Case : std::initializer_list<fault_case>{
           {"fail_all", StartedAndFailed, errc::ServerError, 1},
           {"stall", StartedAndFailed, errc::TaskTimeout, 1},
           {"refuse", NotStarted, errc::NotStarted, 0},
           {"late", Completed, errc::Ok, 1},
           {"crossed", StartedAndFailed, errc::CrossedAnswer, 1},
           {"down", NotStarted, errc::ConnectFailed, 0},
           {"leaving", Completed, errc::Ok, 1},
           {"drop_answer", StartedAndFailed, errc::ConnectionLost, 1},
           {"drop_request", StartedAndFailed, errc::ConnectionLost, 0},
       }) {
    if (auto When = section(Case.Mode)) {
      servers_site Site(Options);
      Site.control("POST", "/fault", json{{"servers", {"s2"}}, {"mode", Case.Mode}, {"delay_ms", 50}}.dump());
      auto Attempt = Site.runTask("j/t", "x", 1);
      assertVerdict(Case.Verdict, Case.Reason, *Attempt);
      CPPUNIT_ASSERT_EQUAL(Case.Mode == std::string("leaving"), Attempt->Outcome.Leaving);
      CPPUNIT_ASSERT_EQUAL(Case.Starts, Site.control("GET", "/summary")["started"].get<int>());
      assertVerdict(Completed, errc::Ok, *Site.runTask("j/other", "x", 0));
      Site.control("POST", "/fault", R"({"mode":"normal"})");
      assertVerdict(Completed, errc::Ok, *Site.runTask("j/after", "x", 1));
    }
  }
});

// Guards against a verdict that differs from what the server counted, whatever the faults: a task judged as
// not started that did start would be started again.
const story RandomFaults("stand-in servers: verdicts under random faults", [] {
  constexpr int TaskCount = 3000;
  constexpr int Concurrency = 24;
  constexpr std::uint64_t Seed = 20261204;
  constexpr auto Modes =
      std::to_array<const char *>({"normal", "normal", "fail_all", "refuse", "late", "crossed", "down",
                                   "leaving", "drop_answer", "drop_request"});
  standin::servers_options Options;
  Options.Count = 4;
  Options.Slots = 4;
  Options.Connections = 7;
  servers_site Site(Options);
  pcg32 Random(Seed);
  int Started = 0;
  int Done = 0;
  std::map<std::string, attempt_verdict> Verdicts;
  std::vector<std::uint16_t> Ports;
  for (std::uint32_t Index = 0; Index < Options.Count; ++Index)
    Ports.push_back(Site.Servers->port(Index));
  std::function<void()> Next = [&] {
    if (Started == TaskCount)
      return;
    std::string Id = fmt::format("j/{}", ++Started);
    wire::http_call Call = servers_site::callTo(Ports[Random(Options.Count)], "POST", "/task", R"({"ms":1})");
    Call.Headers = {{"task-id", Id}};
    Site.Client->call(std::move(Call), [&, Id](const wire::http_call_result &Result) {
      Verdicts[Id] = wire::judgeAttempt(Result, Id).Verdict;
      ++Done;
      Next();
    });
    if (Started % 20 == 0)
      Site.Client->call(
          servers_site::callTo(Site.Servers->controlPort(), "POST", "/fault",
                               fmt::format(R"({{"servers":["s{}"],"mode":"{}","delay_ms":2}})",
                                           Random(Options.Count) + 1, Modes[Random(Modes.size())])),
          [](const wire::http_call_result &) {});
  };
  for (int Count = 0; Count < Concurrency; ++Count)
    Next();
  runUntil(*Site.Loop, [&] { return Done == TaskCount; });
  json Starts = Site.control("GET", "/starts?prefix=j/");
  std::array<int, 3> Seen{};
  for (const auto &[Id, Verdict] : Verdicts) {
    int Count = Starts.value(Id, 0);
    ++Seen[static_cast<std::size_t>(Verdict)];
    CPPUNIT_ASSERT_MESSAGE(Id, Count <= 1);
    if (Verdict == attempt_verdict::Completed)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, 1, Count);
    if (Verdict == attempt_verdict::NotStarted)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, 0, Count);
  }
  for (int Count : Seen)
    CPPUNIT_ASSERT_MESSAGE("every verdict occurs", Count > 0);
});

// Guards against a VM list that names other servers than those that run.
const story VmList("stand-in servers: VM list", [] {
  standin::servers_options Options;
  Options.FirstPort = 9100;
  Options.Count = 3;
  Options.Domains = {"d1", "d2"};
  json Backends = json::parse(standin::vmListJson(Options))["backends"];
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Backends.size());
  CPPUNIT_ASSERT_EQUAL(std::string("s3"), Backends[2]["id"].get<std::string>());
  CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9102"), Backends[2]["address"].get<std::string>());
  CPPUNIT_ASSERT_EQUAL(std::string("d2"), Backends[1]["domain"].get<std::string>());
  CPPUNIT_ASSERT_EQUAL(8, Backends[0]["slots"].get<int>());
});

} // namespace
