#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::cli_run;
using testing::replyWith;
using testing::section;
using testing::test_case;

namespace {

constexpr auto Report = R"({"vm":"vm1","vms":[{"vm":"vm1","domain":"d1","address":"127.0.0.1:7300",
  "in_contact":true,"placing":true,"registration":3,"configuration_version":7}],
  "servers":[{"server":"s1","domain":"d1","pool":"p","owner":"vm1","usable":true,"slowness":1.234,"tasks":2,
  "used":{"cpu":27000},"capacity":{"cpu":64000}}]})";

// Guards against tables that lose a VM or server, and against errors without their reason.
const test_case Fleet("vms, servers: tables and errors", [] {
  testing::scripted_reply Reply;
  cli_run Run([&](const wire::http_call &Call) {
    return Call.Address == "127.0.0.1:9" ? testing::refusedConnection() : Reply;
  });
  Reply = replyWith(200, Report);
  if (auto When = section("when VMs are listed")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"vms", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "VM   DOMAIN  ADDRESS         IN CONTACT  ROLE        DRAINING  PLACING  REGISTRATION  "
            "CONFIGURATION\n"
            "vm1  d1      127.0.0.1:7300  yes         dispatches  no        yes      3             7\n"),
        Run.Out);
  }
  if (auto When =
          section("when VMs are listed by one that relays and one that knows more, the latter is shown")) {
    cli_run Two([&](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9"
                 ? replyWith(200, R"({"vm":"vm9","vms":[{"vm":"vm9","role":"VM_RELAYS"}]})")
                 : replyWith(200, R"({"vm":"vm1","vms":[{"vm":"vm1"},{"vm":"vm9","role":"VM_RELAYS"}]})");
    });
    CPPUNIT_ASSERT_EQUAL(0, Two.run({"vms", "--operator", "127.0.0.1:9,127.0.0.1:1"}));
    CPPUNIT_ASSERT(Two.Out.find("vm1 ") != std::string::npos);
    CPPUNIT_ASSERT(Two.Out.find("relays") != std::string::npos);
  }
  if (auto When = section("when servers are listed by two VMs, of which one does not answer")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"servers", "--operator", "127.0.0.1:9,127.0.0.1:1"}));
    CPPUNIT_ASSERT(Run.Out.ends_with("s1      d1      p     vm1    yes     1.23      2      27 of 64\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: no report from 127.0.0.1:9: connect_failed.\n"), Run.Err);
  }
  if (auto When = section("when no VM answers")) {
    Reply = replyWith(404, "{}");
    CPPUNIT_ASSERT_EQUAL(1, Run.run({"vms", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: no report from 127.0.0.1:1: HTTP status 404.\n"), Run.Err);
  }
  if (auto When = section("when there is no terminal for the live view"))
    CPPUNIT_ASSERT_EQUAL(2, Run.run({"top", "--operator", "127.0.0.1:1"}));
});

} // namespace
