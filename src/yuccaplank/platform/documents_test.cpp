#include "base64.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/platform/settings.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::platform;
using testing::section;
using testing::test_case;

namespace {

constexpr const char *Settings = R"({"node":"vm1","zone":"a","ip":"10.1.0.13",
  "listen_addresses":{"frontend":"10.1.0.13:1","ready":"10.1.0.13:2","control_plane":"10.1.0.13:3"},
  "seeds":["10.2.0.1:3"],"platform":{"address":"10.9.0.1:4","form":"table"},"limits":{"cpu_share":0.25},
  "bounds":{"grace_period_s":6},"orders":"request","something_new":{"x":1}})";

std::string without(std::string Text, const std::string &Part) {
  auto At = Text.find(Part);
  CPPUNIT_ASSERT(At != std::string::npos);
  return Text.erase(At, Part.size());
}

// Guards against a process that starts with half of its settings, and against one that refuses a new field.
const test_case SettingsFile("platform settings", [] {
  settings Read;
  if (auto When = section("given all fields and one that is not known")) {
    CPPUNIT_ASSERT(readSettings(Settings, Read).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.13:3"), Read.PeerAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("10.9.0.1:4"), Read.StoreAddress);
    CPPUNIT_ASSERT_EQUAL(0.25, Read.CpuShare);
  }
  if (auto When = section("given a missing field, it is named")) {
    auto Issues = readSettings(without(Settings, R"("ready":"10.1.0.13:2",)"), Read);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Issues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("listen_addresses.ready"), Issues.at(0).Path);
    CPPUNIT_ASSERT(Issues.at(0).Reason == runtime::errc::MissingField);
  }
  if (auto When = section("given a wrong type, it is named")) {
    auto Issues = readSettings(R"({"node":7})", Read);
    CPPUNIT_ASSERT_EQUAL(std::string("node"), Issues.at(0).Path);
    CPPUNIT_ASSERT(Issues.at(0).Reason == runtime::errc::WrongType);
  }
  if (auto When = section("given no JSON object")) {
    for (const char *Text : {"", "[]", "{", "null"})
      CPPUNIT_ASSERT(readSettings(Text, Read).at(0).Reason == runtime::errc::MalformedDocument);
  }
});

// Guards against a configuration or a server entry of another writer that is taken for a valid one.
const test_case Documents("platform documents", [] {
  if (auto When = section("given a configuration")) {
    auto Read = decodeConfiguration(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
      "service":"s","priority":2,"max_attempts":3,"stretch":1.6,"target_latency_ms":60},
      {"name":"q","host":"h","path_prefix":"/p/x/","service":"s"}],"services":[],"limits":{"max_body_bytes":10}})");
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), Read.value().findQueue("h", "/p/0")->Name);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), Read.value().findQueue("h", "/p/x/0")->Name);
    CPPUNIT_ASSERT(Read.value().findQueue("other", "/p/0") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Read.value().Limits.MaxBodyBytes);
  }
  if (auto When = section("given one that cannot be read, none is in force")) {
    for (const char *Text :
         {"", "7", R"({"version":-1,"routes":[]})", R"({"version":1,"routes":[{"name":"r"}]})",
          R"({"version":"1","routes":[]})", R"({"routes":[]})"})
      CPPUNIT_ASSERT(!decodeConfiguration(Text));
  }
  const std::string Server = R"({"service":"s","address":"10.0.0.1:1","zone":"a","slots":8,"state":"ready",
    "capacity":{"cpu":16000,"memory_limit_mb":100,"gpu":0},"labels":["a","r1-3"],"sequence":4})";
  if (auto When = section("given a server's entry")) {
    auto Read = decodeServer("i-1", Server);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), Read.value().Rack);
    CPPUNIT_ASSERT_EQUAL(16000U, Read.value().Capacity.cpu());
    CPPUNIT_ASSERT(!Read.value().Draining);
  }
  if (auto When = section("given an entry that names no usable server")) {
    CPPUNIT_ASSERT(!decodeServer("i-1", without(Server, R"("zone":"a",)")));
    CPPUNIT_ASSERT(
        !decodeServer("i-1", R"({"service":"s","address":"x","zone":"a","state":"new","capacity":{}})"));
    CPPUNIT_ASSERT(!decodeServer("i-1", R"({"service":7})"));
    CPPUNIT_ASSERT(!decodeServer("i-1", "\x01\x02"));
  }
});

// Guards against jobs that are run although they cannot be read.
const test_case Jobs("platform jobs", [] {
  auto Read = decodeJob(R"({"specification":"text","best_effort":true,
    "steps":[{"count":4,"cpu":500,"memory_limit_mb":256,"estimated_ms":900,"after":[0],"gang":true}]})");
  CPPUNIT_ASSERT_EQUAL(4U, Read.value().Steps.at(0).TaskCount);
  CPPUNIT_ASSERT(Read.value().Steps.at(0).Gang);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read.value().Steps.at(0).Dependencies);
  for (const char *Text : {"", "[]", "{}", R"({"steps":7})", R"({"steps":[7]})", R"({"steps":[{"cpu":1}]})",
                           R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1e300}]})",
                           R"({"steps":[{"count":1,"cpu":"much"}]})"})
    CPPUNIT_ASSERT(!decodeJob(Text));
  CPPUNIT_ASSERT(parseJobId("5c0e7a21d94b36f8") == 0x5c0e7a21d94b36f8);
  for (const char *Text :
       {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b36fx", "+c0e7a21d94b36f8"})
    CPPUNIT_ASSERT(!parseJobId(Text));
});

// Guards against values of the store that lose their last bytes.
const test_case Values("platform values in base64", [] {
  for (const char *Text : {"", "a", "ab", "abc", "abcd"})
    CPPUNIT_ASSERT(decodeBase64(encodeBase64(Text)) == std::string(Text));
  CPPUNIT_ASSERT(decodeBase64("bm9kZS0x") == std::string("node-1"));
  for (const char *Text : {"b", "bm9", "bm9*"})
    CPPUNIT_ASSERT(!decodeBase64(Text));
});

} // namespace
