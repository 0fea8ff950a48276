#include "yuccaplank/load/load_run.hpp"
#include "yuccaplank/testing/scripted_http_client.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <set>

using namespace yuccaplank;
using namespace yuccaplank::load;
using testing::replyWith;
using testing::section;
using testing::test_case;

namespace {

struct offered_load {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  testing::scripted_http_client Client;
  load_options Options;
  bool Done = false;

  explicit offered_load(testing::scripted_http_client::script Script) : Client(*Executor, std::move(Script)) {
    Options.Entries = {"127.0.0.1:1", "127.0.0.1:2"};
    Options.Host = "jobs.example";
    Options.Path = "/jobs/";
    Options.Seconds = 1;
    Options.CheckAddress = "127.0.0.1:9";
  }

  int run() {
    auto Run = makeLoadRun(*Executor, Client, Options, [](std::string_view) {});
    Run->start([this] { Done = true; });
    Executor->advance(std::chrono::seconds(30));
    CPPUNIT_ASSERT(Done);
    Report = Run->result().report();
    return Run->exitStatus();
  }

  std::string Report;
};

testing::scripted_reply siteReply(const wire::http_call &Call, int Starts) {
  if (Call.Path == "/summary")
    return replyWith(200, R"({"breaches":[]})");
  return replyWith(200, R"({"starts":)" + std::to_string(Starts) + "}");
}

// Guards against violations that the load tool does not detect: every run would pass.
const test_case Checks("load: detection of violations", [] {
  if (auto Given = section("given valid answers")) {
    offered_load Load([](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9" ? siteReply(Call, 0) : replyWith(200, R"({"state":"completed"})");
    });
    CPPUNIT_ASSERT_EQUAL(0, Load.run());
    CPPUNIT_ASSERT(Load.Report.find(R"("breaches","value":0)") != std::string::npos);
  }
  if (auto Given = section("given refused jobs that have run")) {
    offered_load Load([](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9" ? siteReply(Call, 1) : replyWith(503, "{}");
    });
    CPPUNIT_ASSERT_EQUAL(3, Load.run());
  }
  if (auto Given = section("given a violation that the site reports")) {
    offered_load Load([](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9" ? replyWith(200, R"({"breaches":["twice"]})")
                                           : replyWith(200, R"({"state":"completed"})");
    });
    CPPUNIT_ASSERT_EQUAL(3, Load.run());
  }
  if (auto Given = section("given an answer before the end of the job")) {
    offered_load Load([](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9" ? siteReply(Call, 0) : replyWith(200, R"({"state":"queued"})");
    });
    CPPUNIT_ASSERT_EQUAL(3, Load.run());
  }
  if (auto Given = section("given a site that cannot be reached")) {
    offered_load Load([](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9" ? testing::refusedConnection()
                                           : replyWith(200, R"({"state":"completed"})");
    });
    CPPUNIT_ASSERT_EQUAL(1, Load.run());
  }
});

// Guards against callers that do not submit a job again after a lost answer, or that submit it under another
// id.
const test_case Resend("load: resubmission after lost answers", [] {
  offered_load Load([](const wire::http_call &Call) {
    return Call.Address == "127.0.0.1:9" ? siteReply(Call, 0) : testing::lostConnection();
  });
  Load.Options.Rate = 3;
  CPPUNIT_ASSERT_EQUAL(0, Load.run());
  std::set<std::string> Ids;
  for (const wire::http_call &Call : Load.Client.Calls)
    Ids.insert(Call.Path);
  CPPUNIT_ASSERT(Load.Client.Calls.size() > 2 * Ids.size());
});

// Guards against invalid command lines that are accepted.
const test_case Options("load: options", [] {
  auto Wrong = [](const std::vector<std::string> &Arguments) {
    return std::holds_alternative<load_usage_error>(parseLoadOptions(Arguments, 1));
  };
  CPPUNIT_ASSERT(!Wrong({"--entries", "127.0.0.1:1", "--tasks", "2-8"}));
  CPPUNIT_ASSERT(Wrong({}));
  CPPUNIT_ASSERT(Wrong({"--entries", "127.0.0.1:1", "--tasks", "8-2"}));
  CPPUNIT_ASSERT(Wrong({"--entries", "127.0.0.1:1", "--queue", "jobs"}));
  CPPUNIT_ASSERT(Wrong({"--entries", "127.0.0.1:1", "--rate", "0"}));
  CPPUNIT_ASSERT(Wrong({"--entries", "127.0.0.1:1", "--leave-percent", "101"}));
});

} // namespace
