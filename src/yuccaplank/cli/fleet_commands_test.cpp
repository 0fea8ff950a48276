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

// Guards against tables that omit a VM or server, for example because the report of a VM that relays is shown
// alone, and against error messages that do not give the reason.
const test_case Fleet("vms, servers: tables show all reported VMs and servers, errors give the reason", [] {
  testing::scripted_reply Reply;
  cli_run Run([&](const wire::http_call &Call) {
    return Call.Address == "127.0.0.1:9" ? testing::refusedConnection() : Reply;
  });
  Reply = replyWith(200, Report);
  if (auto When = section("when one VM reports the fleet")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"vms", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "VM   DOMAIN  ADDRESS         IN CONTACT  ROLE        DRAINING  PLACING  REGISTRATION  "
            "CONFIGURATION\n"
            "vm1  d1      127.0.0.1:7300  yes         dispatches  no        yes      3             7\n"),
        Run.Out);
  }
  if (auto When = section(
          "when a VM that relays and one that knows more VMs report the fleet, the latter is shown")) {
    cli_run Two([&](const wire::http_call &Call) {
      return Call.Address == "127.0.0.1:9"
                 ? replyWith(200, R"({"vm":"vm9","vms":[{"vm":"vm9","role":"VM_RELAYS"}]})")
                 : replyWith(200, R"({"vm":"vm1","vms":[{"vm":"vm1"},{"vm":"vm9","role":"VM_RELAYS"}]})");
    });
    CPPUNIT_ASSERT_EQUAL(0, Two.run({"vms", "--operator", "127.0.0.1:9,127.0.0.1:1"}));
    CPPUNIT_ASSERT(Two.Out.find("vm1 ") != std::string::npos);
    CPPUNIT_ASSERT(Two.Out.find("relays") != std::string::npos);
  }
  if (auto When =
          section("when one of two VMs refuses the connection, the servers of the other are listed")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"servers", "--operator", "127.0.0.1:9,127.0.0.1:1"}));
    CPPUNIT_ASSERT(Run.Out.ends_with("s1      d1      p     vm1    yes     1.23      2      27 of 64\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: no report from 127.0.0.1:9: connect_failed.\n"), Run.Err);
  }
  if (auto When = section("when no VM sends a report, the exit status is 1")) {
    Reply = replyWith(404, "{}");
    CPPUNIT_ASSERT_EQUAL(1, Run.run({"vms", "--operator", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("yuccaplank: no report from 127.0.0.1:1: HTTP status 404.\n"), Run.Err);
  }
  if (auto When = section("when standard output is not a terminal, top ends with exit status 2"))
    CPPUNIT_ASSERT_EQUAL(2, Run.run({"top", "--operator", "127.0.0.1:1"}));
});

} // namespace
