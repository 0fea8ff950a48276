#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::cli_run;
using testing::section;
using testing::test_case;

namespace {

// Guards against a deployment script that sends a configuration with errors because the exit status is 0, or
// that is stopped by a warning.
const test_case Check("check-configuration: findings decide the exit status, nothing is sent", [] {
  cli_run Run([](const wire::http_call &) { return testing::refusedConnection(); });
  Run.Files["good.json"] = R"({"version":2,"routes":[],"services":[]})";
  Run.Files["unused.json"] = R"({"version":3,"routes":[],"services":[{"name":"s"}]})";
  Run.Files["large.json"] = R"({"version":3,"routes":[],"services":[],"limits":{"max_body_bytes":300000}})";
  if (auto When = section("with warnings and changes, the exit status is 0")) {
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"check-configuration", "unused.json", "--in-force", "good.json"}));
    CPPUNIT_ASSERT_EQUAL(std::string("warning: services: \"s\" is not used by any route\n"
                                     "change: services: service \"s\" is added\n"),
                         Run.Out);
  }
  if (auto When = section("with an error, the exit status is 1")) {
    CPPUNIT_ASSERT_EQUAL(
        1, Run.run({"check-configuration", "good.json", "--in-force", "unused.json", "--json"}));
    CPPUNIT_ASSERT(Run.Out.starts_with(R"({"level":"error","path":"version","text":"2 does not exceed 3)"));
  }
  if (auto When = section("when a file cannot be read, the exit status is 1"))
    CPPUNIT_ASSERT_EQUAL(1, Run.run({"check-configuration", "good.json", "--in-force", "absent.json"}));
  if (auto When = section("without findings, nothing is printed; --body-limit is the limit of the VMs")) {
    for (const char *File : {"good.json", "large.json"})
      CPPUNIT_ASSERT_EQUAL(0, Run.run({"check-configuration", File, "--body-limit", "300000"}));
    CPPUNIT_ASSERT_EQUAL(std::string(), Run.Out);
  }
  CPPUNIT_ASSERT(Run.Client.Calls.empty());
});

} // namespace
