#include "base64.hpp"
#include "yuccaplank/platform/caller_client.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/platform/settings.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <pthread.h>

using namespace yuccaplank;
using namespace yuccaplank::platform;
using testing::section;
using testing::test_case;

namespace {

constexpr const char *Settings = R"({"node":"vm1","zone":"a","ip":"10.1.0.13",
  "listen_addresses":{"frontend":"10.1.0.13:1","ready":"10.1.0.13:2","control_plane":"10.1.0.13:3"},
  "seeds":["10.2.0.1:3"],"platform":{"address":"10.9.0.1:4","form":"table"},"limits":{"cpu_share":0.25},
  "bounds":{"grace_period_s":6,"remote_factor":2},"orders":"request","something_new":{"x":1}})";

std::string without(std::string Text, const std::string &Part) {
  auto Position = Text.find(Part);
  CPPUNIT_ASSERT(Position != std::string::npos);
  return Text.erase(Position, Part.size());
}

// Guards against a process that starts with incomplete settings, and against one that rejects a field added
// by a newer platform.
const test_case SettingsFile("platform settings: valid files are read, faults are named", [] {
  settings Decoded;
  if (auto When = section("given all fields and an unknown one, there is no issue")) {
    CPPUNIT_ASSERT(readSettings(Settings, Decoded).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.13:3"), Decoded.PeerAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("10.9.0.1:4"), Decoded.StoreAddress);
    CPPUNIT_ASSERT_EQUAL(0.25, Decoded.CpuShare);
    CPPUNIT_ASSERT_EQUAL(2.0, Decoded.RemoteFactor);
  }
  if (auto When = section("given a missing field, the issue names it")) {
    auto Issues = readSettings(without(Settings, R"("ready":"10.1.0.13:2",)"), Decoded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Issues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("listen_addresses.ready"), Issues.at(0).Path);
    CPPUNIT_ASSERT(Issues.at(0).Reason == runtime::errc::MissingField);
  }
  if (auto When = section("given a field of the wrong type, the issue names it")) {
    auto Issues = readSettings(R"({"node":7})", Decoded);
    CPPUNIT_ASSERT_EQUAL(std::string("node"), Issues.at(0).Path);
    CPPUNIT_ASSERT(Issues.at(0).Reason == runtime::errc::WrongType);
  }
  if (auto When = section("given a text that is not a JSON object, the document is malformed")) {
    for (const char *Text : {"", "[]", "{", "null"})
      CPPUNIT_ASSERT(readSettings(Text, Decoded).at(0).Reason == runtime::errc::MalformedDocument);
  }
});

// Returns the result of Function, which runs on a thread with a small stack.
bool callOnSmallStack(bool (*Function)()) {
  constexpr std::size_t StackBytes = 256 * 1024;
  struct call {
    bool (*Function)();
    bool Result;
  };
  call Call{Function, false};
  pthread_attr_t Attributes;
  pthread_attr_init(&Attributes);
  CPPUNIT_ASSERT_EQUAL(0, pthread_attr_setstacksize(&Attributes, StackBytes));
  pthread_t Thread{};
  auto Run = [](void *Argument) -> void * {
    auto &Called = *static_cast<call *>(Argument);
    Called.Result = Called.Function();
    return nullptr;
  };
  CPPUNIT_ASSERT_EQUAL(0, pthread_create(&Thread, &Attributes, Run, &Call));
  pthread_join(Thread, nullptr);
  pthread_attr_destroy(&Attributes);
  return Call.Result;
}

// Guards against a process that ends because a deeply nested document of another writer exhausts the stack.
const test_case DeepDocuments("platform documents: deeply nested ones are rejected on a small stack", [] {
  CPPUNIT_ASSERT(callOnSmallStack([] {
    constexpr std::size_t Depth = 500'000;
    const std::string Lists = std::string(Depth, '[') + std::string(Depth, ']');
    std::string Objects;
    for (std::size_t Level = 0; Level < Depth; ++Level)
      Objects += R"({"a":)";
    Objects += "1" + std::string(Depth, '}');
    for (const std::string &Nested : {Lists, Objects, std::string(Depth, '[')}) {
      const std::string Document = R"({"version":1,"state":"ready","steps":)" + Nested + "}";
      for (const std::string &Text : {Nested, Document})
        if (decodeServer("i", Text) || decodeConfiguration(Text) || decodeJob(Text))
          return false;
    }
    return true;
  }));
});

// Guards against an invalid configuration or server entry that is accepted, and against fields of a valid one
// that are lost.
const test_case Documents("platform documents: configurations and server entries", [] {
  if (auto When = section("given a valid configuration, its queues and limits are read")) {
    auto Decoded = decodeConfiguration(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
      "service":"s","priority":2,"max_attempts":3,"stretch":1.6,"target_latency_ms":60},
      {"name":"q","host":"h","path_prefix":"/p/x/","service":"s"}],"services":[],"limits":{"max_body_bytes":10}})");
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), Decoded.value().findQueue("h", "/p/0")->Name);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), Decoded.value().findQueue("h", "/p/x/0")->Name);
    CPPUNIT_ASSERT(Decoded.value().findQueue("other", "/p/0") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Decoded.value().Limits.MaxBodyBytes);
  }
  if (auto When = section("given an invalid configuration, it is rejected")) {
    for (const char *Text :
         {"", "7", R"({"version":-1,"routes":[]})", R"({"version":1,"routes":[{"name":"r"}]})",
          R"({"version":"1","routes":[]})", R"({"routes":[]})"})
      CPPUNIT_ASSERT(!decodeConfiguration(Text));
  }
  const std::string Server = R"({"service":"s","address":"10.0.0.1:1","zone":"a","slots":8,"state":"ready",
    "capacity":{"cpu":16000,"memory_limit_mb":100,"gpu":0},"labels":["a","r1-3"],"sequence":4,"born":1783700585046})";
  if (auto When = section("given a valid server entry, its rack, capacity and state are read")) {
    auto Decoded = decodeServer("i-1", Server);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), Decoded.value().Rack);
    CPPUNIT_ASSERT_EQUAL(16000U, Decoded.value().Capacity.cpu());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1783700585046}, Decoded.value().IncarnationStartMs);
    CPPUNIT_ASSERT(!Decoded.value().Draining);
  }
  if (auto When = section("given an entry that describes no usable server, it is rejected")) {
    CPPUNIT_ASSERT(!decodeServer("i-1", without(Server, R"("zone":"a",)")));
    CPPUNIT_ASSERT(
        !decodeServer("i-1", R"({"service":"s","address":"x","zone":"a","state":"new","capacity":{}})"));
    CPPUNIT_ASSERT(!decodeServer("i-1", R"({"service":7})"));
    CPPUNIT_ASSERT(!decodeServer("i-1", "\x01\x02"));
  }
});

// Guards against jobs that run although their document or id is malformed.
const test_case Jobs("platform documents: jobs and their ids", [] {
  auto Decoded = decodeJob(R"({"specification":"text","best_effort":true,
    "steps":[{"count":4,"cpu":500,"memory_limit_mb":256,"estimated_ms":900,"after":[0],"gang":true}]})");
  CPPUNIT_ASSERT_EQUAL(4U, Decoded.value().Steps.at(0).TaskCount);
  CPPUNIT_ASSERT(Decoded.value().Steps.at(0).Gang);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decoded.value().Steps.at(0).Dependencies);
  for (const char *Text : {"", "[]", "{}", R"({"steps":7})", R"({"steps":[7]})", R"({"steps":[{"cpu":1}]})",
                           R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1e300}]})",
                           R"({"steps":[{"count":1,"cpu":"much"}]})"})
    CPPUNIT_ASSERT(!decodeJob(Text));
});

// Guards against values of the store that lose their last bytes, because the padding is counted wrongly.
const test_case Values("platform store: base64 values are encoded and decoded", [] {
  for (const char *Text : {"", "a", "ab", "abc", "abcd"})
    CPPUNIT_ASSERT(decodeBase64(encodeBase64(Text)) == std::string(Text));
  CPPUNIT_ASSERT(decodeBase64("bm9kZS0x") == std::string("node-1"));
  for (const char *Text : {"b", "bm9", "bm9*"})
    CPPUNIT_ASSERT(!decodeBase64(Text));
});

// Guards against jobs whose data locality is lost between the load tool and the VM.
const test_case DataLocality("platform documents: data locality of submitted jobs", [] {
  caller_job Job;
  step_document Step = decodeJob(makeSubmitCall("a", {}, Job).Body).value().Steps[0];
  CPPUNIT_ASSERT(Step.Rack.empty() && !Step.SameRack);
  Job.Rack = "r2-1";
  Job.SameRack = true;
  Step = decodeJob(makeSubmitCall("a", {}, Job).Body).value().Steps[0];
  CPPUNIT_ASSERT_EQUAL(std::string("r2-1"), Step.Rack);
  CPPUNIT_ASSERT(Step.SameRack);
  CPPUNIT_ASSERT(!decodeJob(R"({"steps":[{"count":1,"affinity":7}]})"));
});

} // namespace
