#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::cli_run;
using testing::replyWith;
using testing::section;
using testing::test_case;

namespace {

// Guards against a list that counts only one VM's runs, so that a domain seems empty while tasks still run.
const test_case List("evacuations: the runs of all VMs are added up", [] {
  cli_run Run([](const wire::http_call &Call) {
    return Call.Address == "127.0.0.1:1" ? replyWith(200, R"({"vm":"vm1","evacuations":[
                   {"domain":"d1","version":7,"known_ms":4000,"runs":2}]})")
                                         : replyWith(200, R"({"vm":"vm2","evacuations":[
                   {"domain":"d1","version":9,"known_ms":3500,"runs":1},
                   {"domain":"d2","source":"EVACUATION_OPERATOR","version":8,"known_ms":100}]})");
  });
  if (auto When = section("as a table")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"evacuations", "--operator", "127.0.0.1:1,127.0.0.1:2"}));
    CPPUNIT_ASSERT_EQUAL(std::string("DOMAIN  REQUESTED BY  STATE     KNOWN FOR  RUNS  VERSION\n"
                                     "d1      platform      emptying  4.0 s      3     7\n"
                                     "d2      operator      empty     0.1 s      0     8\n"),
                         Run.Out);
  }
  if (auto When = section("as JSON")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"evacuations", "--json", "--operator", "127.0.0.1:1,127.0.0.1:2"}));
    CPPUNIT_ASSERT(Run.Out.find(R"("runs":3)") != std::string::npos);
  }
});

// Guards against an operator who believes that a domain is evacuated although nothing was changed, and
// against an unknown outcome that is reported as a failure.
const test_case Change("evacuate, take-back: the change is requested and its outcome reported", [] {
  testing::scripted_reply Reply = replyWith(200, "{}");
  std::string Requested;
  cli_run Run([&](const wire::http_call &Call) {
    Requested = Call.Method + " " + Call.Path;
    return Reply;
  });
  if (auto When = section("when the store accepts it, the exit status is 0")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"evacuate", "d1", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /v1/evacuations/d1"), Requested);
    CPPUNIT_ASSERT_EQUAL(std::string("d1 is evacuated.\n"), Run.Out);
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"take-back", "d1", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE /v1/evacuations/d1"), Requested);
  }
  if (auto When = section("when nothing is changed, the exit status is 1 and the reason is printed")) {
    Reply = replyWith(409, R"({"error":"already_evacuated"})");
    CPPUNIT_ASSERT_EQUAL(1, Run.run({"evacuate", "d1", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: d1: already_evacuated.\n"), Run.Err);
  }
  if (auto When = section("when the store gives no answer, the exit status is 5")) {
    Reply = replyWith(503, R"({"error":"platform_unavailable"})");
    CPPUNIT_ASSERT_EQUAL(5, Run.run({"take-back", "d1", "--operator", "127.0.0.1:1"}));
  }
  if (auto When = section("when the domain is missing, the exit status is 2"))
    CPPUNIT_ASSERT_EQUAL(2, Run.run({"evacuate", "--operator", "127.0.0.1:1"}));
});

} // namespace
