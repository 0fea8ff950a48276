#include "yuccaplank/platform/configuration_check.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank::platform;
using namespace yuccaplank::testing;

namespace {

std::string check(const std::string &Text, const std::string &InForce = "") {
  configuration_document Former = readConfigurationDocument(InForce);
  std::string Lines;
  for (const auto &Finding :
       checkConfiguration(readConfigurationDocument(Text), InForce.empty() ? nullptr : &Former))
    Lines += formatFinding(Finding) + "\n";
  return Lines;
}

// Returns a configuration whose route "a" has the given additional fields, followed by the given routes.
std::string configure(int Version, const std::string &Fields, const std::string &MoreRoutes = "") {
  return R"({"services":[{"name":"s"}],"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s")" + Fields + "}" +
         MoreRoutes + "]}";
}

void expect(const std::string &Expected, const std::string &Lines) { CPPUNIT_ASSERT_EQUAL(Expected, Lines); }

// Guards against a fault that the check does not report or reports at the wrong path, and against findings in
// a configuration without faults.
const test_case Faults("configuration check: errors and warnings", [] {
  if (auto When = section("given a valid configuration, there is no finding"))
    expect("", check(configure(1, R"(,"timeout_ms":61,"target_latency_ms":60,"stretch":1)",
                               R"(,{"name":"b","host":"h","path_prefix":"/a/b/","service":"s"})")));
  if (auto When = section("given a text that is not a JSON object, the document is malformed"))
    for (const char *Text : {"{", "[]"})
      expect("error: malformed_document\n", check(Text));
  if (auto When = section("given unreadable fields, each is an error with its path"))
    expect("error: version: missing_field\nerror: routes[0].service: missing_field\n"
           "error: routes[0].priority: out_of_range\nerror: routes[0].stretch: wrong_type\n"
           "error: services[0].name: missing_field\n",
           check(R"({"routes":[{"name":"a","host":"h","path_prefix":"/","priority":-1,"stretch":"1"}],
                     "services":[{}]})"));
  if (auto When = section("given a repeated route, its name is ambiguous and it never matches"))
    expect("error: routes[1].name: \"a\" is also the name of routes[0]\n"
           "warning: routes[1]: never matches: routes[0] has the same host and path_prefix\n",
           check(configure(1, "", R"(,{"name":"a","host":"h","path_prefix":"/a/","service":"s"})")));
  if (auto When = section("given prefixes and hosts that no request has, the routes never match"))
    expect("warning: routes[1].path_prefix: never matches: \"\" does not begin with '/'\n"
           "warning: routes[2].path_prefix: never matches: \"c/\" does not begin with '/'\n"
           "warning: routes[2].host: never matches: \"h:80\" contains ':'\n",
           check(configure(1, "",
                           R"(,{"name":"b","host":"h","path_prefix":"","service":"s"},
                               {"name":"c","host":"h:80","path_prefix":"c/","service":"s"})")));
  if (auto When = section("given a service that is not listed, it and the unused one are named"))
    expect("warning: routes[0].service: \"t\" is not among the services\n"
           "warning: services: \"s\" is not used by any route\n",
           check(configure(1, R"(,"service":"t")")));
  if (auto When = section("given limits that cannot be met, each is named")) {
    std::string Lines =
        check(configure(1, R"(,"timeout_ms":60,"target_latency_ms":60,"stretch":0.5,"max_attempts":0)"));
    for (const char *Start : {"routes[0].max_attempts: is 0", "routes[0].stretch: 0.5 is below 1",
                              "routes[0].timeout_ms: 60 does not exceed target_latency_ms, 60"})
      CPPUNIT_ASSERT_MESSAGE(Start, Lines.find(std::string("warning: ") + Start) != std::string::npos);
  }
  if (auto When = section("given a body limit of 0, or one above that of the VMs, it is named")) {
    const std::string Start = R"({"version":1,"routes":[],"services":{},"limits":{"max_body_bytes":)";
    expect("error: limits.max_body_bytes: is 0; every job is refused\n", check(Start + "0}}"));
    expect("", check(Start + "262144}}"));
    CPPUNIT_ASSERT(check(Start + "262145}}").starts_with("warning: limits.max_body_bytes: 262145 has no"));
  }
});

// Guards against a change that takes effect without having been shown.
const test_case Changes("configuration check: differences from the version in force", [] {
  const std::string InForce = configure(7, R"(,"stretch":1.6)");
  if (auto When = section("given the same or an earlier version, VMs ignore the configuration"))
    for (int Version : {6, 7})
      CPPUNIT_ASSERT(check(configure(Version, R"(,"stretch":1.6)"), InForce).starts_with("error: version: "));
  if (auto When = section("given changed fields, both values are shown"))
    expect("change: routes[0].stretch: queue \"a\": 1.6 -> 2\n"
           "change: routes[0].advice: queue \"a\": absent -> present\n",
           check(configure(8, R"(,"stretch":2,"advice":{})"), InForce));
  if (auto When = section("given another queue, service and limit, all are shown"))
    expect("change: routes[0]: queue \"b\\n\" is added\nchange: routes: queue \"a\" is removed\n"
           "change: services: service \"t\" is added\nchange: services: service \"s\" is removed\n"
           "change: limits.max_body_bytes: 262144 -> 10\n",
           check(R"({"version":8,"services":[{"name":"t"}],"limits":{"max_body_bytes":10},
                     "routes":[{"name":"b\n","host":"h","path_prefix":"/a/","service":"t"}]})",
                 InForce));
  if (auto When = section("given an unreadable version in force, its errors are shown"))
    expect("error: malformed_document (in the version in force)\n", check(InForce, "{"));
});

} // namespace
