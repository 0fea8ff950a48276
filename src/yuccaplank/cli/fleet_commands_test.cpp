#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/story.hpp"

using namespace yuccaplank;
using testing::cli_run;
using testing::replyWith;
using testing::section;
using testing::story;

namespace {

// Guards against tables that lose a VM or server, and against errors without their reason.
const story Fleet("vms, servers: tables and errors", [] {
  testing::scripted_reply Reply;
  cli_run Run([&](const wire::http_call &) { return Reply; });
  if (auto When = section("when VMs are listed")) {
    Reply = replyWith(200, R"({"vms":[{"vm":"vm1","domain":"d1","state":"live","address":"127.0.0.1:7300",
                             "started_ms":1700000000000,"dispatcher":true,"silent_ms":12}]})");
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"vms", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("VM   DOMAIN  STATE  DISPATCHER  ADDRESS         STARTED               SILENT MS\n"
                    "vm1  d1      live   yes         127.0.0.1:7300  2023-11-14T22:13:20Z  12\n"),
        Run.Out);
  }
  if (auto When = section("when servers are listed")) {
    Reply = replyWith(200, R"({"servers":[{"id":"s1","speed":1.234,"slots":8}]})");
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"servers", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT(Run.Out.ends_with("s1      -       -     -        -      1.23   -        8\n"));
  }
  if (auto When = section("when the token is wrong")) {
    Reply = replyWith(401, R"({"reason":"unauthorized"})");
    CPPUNIT_ASSERT_EQUAL(1, Run.run({"vms", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: 127.0.0.1:1 answered: unauthorized.\n"), Run.Err);
  }
  if (auto When = section("when the VM cannot be reached")) {
    Reply = testing::refusedConnection();
    CPPUNIT_ASSERT_EQUAL(1, Run.run({"servers", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: no answer from 127.0.0.1:1: connect_failed.\n"), Run.Err);
  }
  if (auto When = section("when there is no terminal for the live view")) {
    CPPUNIT_ASSERT_EQUAL(2, Run.run({"top", "--operator", "127.0.0.1:1"}));
  }
});

} // namespace
