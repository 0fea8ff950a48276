#include "yuccaplank/wire/settings_reader.hpp"

#include "peer.pb.h"
#include "service.pb.h"
#include "settings.pb.h"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/document_writer.hpp"

#include <fmt/format.h>

#include <string>

using namespace yuccaplank;
using runtime::errc;
using testing::section;
using testing::story;

namespace {

template <typename Message> std::string issuesOf(std::string_view Text) {
  Message Target;
  return wire::formatIssues(wire::readDocument(Text, Target));
}

// Guards against values that are lost, rounded, or put into the wrong field.
const story Values("settings reader: values", [] {
  if (auto When = section("when a document with comments is read")) {
    schema::daemon_settings Settings;
    auto Issues = wire::readDocument(R"({
      // Id of the VM.
      "vm": "vm1", /* several
      lines */ "limits": {"max_queued_bytes": 18446744073709551615, "max_connections": 7},
      "test_hooks": true
    })",
                                     Settings);
    CPPUNIT_ASSERT_EQUAL(std::string(), wire::formatIssues(Issues));
    CPPUNIT_ASSERT_EQUAL(std::string("vm1"), Settings.vm());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{18446744073709551615U}, Settings.limits().max_queued_bytes());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, Settings.limits().max_connections());
    CPPUNIT_ASSERT(Settings.test_hooks());
    CPPUNIT_ASSERT(!Settings.has_listen());
  }
  if (auto When = section("when an optional field is given as 0")) {
    schema::service_document Document;
    CPPUNIT_ASSERT(wire::readDocument(R"({"retry":{"budget_percent":0}})", Document).empty());
    CPPUNIT_ASSERT(Document.retry().has_budget_percent());
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"retry":{"budget_percent":0}})"), wire::writeDocument(Document));
  }
  if (auto When = section("when an optional field is absent")) {
    schema::service_document Document;
    CPPUNIT_ASSERT(wire::readDocument(R"({"retry":{"max_attempts":2}})", Document).empty());
    CPPUNIT_ASSERT(!Document.retry().has_budget_percent());
  }
  if (auto When = section("when objects repeat")) {
    schema::vm_list List;
    std::string Text =
        R"({"version":3,"entry_vms":[{"id":"a","leaving":true},{"id":"b"}],"backends":[{"id":"s","state":"BACKEND_LEAVING"}]})";
    CPPUNIT_ASSERT(wire::readDocument(Text, List).empty());
    CPPUNIT_ASSERT_EQUAL(Text, wire::writeDocument(List));
  }
  if (auto When = section("when the target holds older values")) {
    schema::daemon_settings Settings;
    Settings.set_platform("old");
    CPPUNIT_ASSERT(wire::readDocument("{}", Settings).empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), Settings.platform());
  }
});

// Guards against faulty documents that are accepted, and against issues that point to the wrong place.
const story Faults("settings reader: faults", [] {
  using settings = schema::daemon_settings;
  struct expectation {
    std::string Text;
    std::string Issues;
  };
  const expectation Expectations[] = {
      {"{\n\"vm\": 1\n}", "line 2: vm: wrong_type, expected string\n"},
      {"{\n\"vm\": null}", "line 2: vm: wrong_type, expected string\n"},
      {"{\"vm\": {\"x\": [1]},\n \"test_hooks\": 1}",
       "line 1: vm: wrong_type, expected string\nline 2: test_hooks: wrong_type, expected true or false\n"},
      {"{\n\n\"drain_timeout_s\": -1\n}",
       "line 3: drain_timeout_s: out_of_range, expected integer from 0 to 4294967295\n"},
      {"{\"drain_timeout_s\": 4294967296}",
       "line 1: drain_timeout_s: out_of_range, expected integer from 0 to 4294967295\n"},
      {"{\"drain_timeout_s\": 99999999999999999999}",
       "line 1: drain_timeout_s: out_of_range, expected integer from 0 to 4294967295\n"},
      {"{\"drain_timeout_s\": 1.5}",
       "line 1: drain_timeout_s: wrong_type, expected integer from 0 to 4294967295\n"},
      {"{\"tls\": {\n\"key\": \"x\"}}",
       "line 2: tls.key: unknown_field, expected one of certificate_file, key_file\n"},
      {"{\"tls\": {\n\"key\": [{\"a\": 1}, 2], \"key_file\": 3}}",
       "line 2: tls.key: unknown_field, expected one of certificate_file, key_file\n"
       "line 2: tls.key_file: wrong_type, expected string\n"},
      {"{\"vm\": \"a\",\n\"vm\": \"b\"}", "line 2: vm: malformed_document, expected each key once\n"},
      {"{\"vm\": [\"a\"]}", "line 1: vm: wrong_type, expected string\n"},
      {"{\"tls\": \"a\"}", "line 1: tls: wrong_type, expected object\n"},
      {"[]", "line 1: wrong_type, expected object\n"},
      {"3", "line 1: wrong_type, expected object\n"},
      {"{\"vm\": \"\xff\"}", "line 1: vm: malformed_document, expected JSON\n"},
      {"", "line 1: malformed_document, expected '[', '{', or a literal\n"},
  };
  for (const expectation &Expectation : Expectations)
    if (auto When = section(Expectation.Text))
      CPPUNIT_ASSERT_EQUAL(Expectation.Issues, issuesOf<settings>(Expectation.Text));

  if (auto When = section("when an element of an array is faulty")) {
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 3: backends[1].state: out_of_range, expected one of BACKEND_LIVE, BACKEND_LEAVING\n"
                    "line 4: backends[2]: wrong_type, expected object\n"),
        issuesOf<schema::vm_list>(
            "{\"backends\": [{\"id\": \"a\"},\n{\"id\": \"b\",\n\"state\": \"GONE\"},\n7]}"));
  }
  if (auto When = section("when a field that repeats is no array")) {
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: backends: wrong_type, expected array\n"),
                         issuesOf<schema::vm_list>("{\"backends\": {\"id\": \"a\"}}"));
  }
  if (auto When = section("when the text ends early")) {
    schema::daemon_settings Settings;
    auto Issues = wire::readDocument("{\n\"vm\": \"a\",\n", Settings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Issues.size());
    CPPUNIT_ASSERT(Issues[0].Code == errc::MalformedDocument);
    // The last line of the text, not the one after its final newline.
    CPPUNIT_ASSERT_EQUAL(2, Issues[0].Line);
  }
  if (auto When = section("when there are very many issues")) {
    std::string Text = "{";
    for (int Index = 0; Index < 5000; ++Index)
      Text += fmt::format(R"({}"x{}":1)", Index > 0 ? "," : "", Index);
    schema::daemon_settings Settings;
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, wire::readDocument(Text + "}", Settings).size());
  }
  if (auto When = section("when objects are nested very deeply")) {
    std::string Text = "{\"vm\":";
    Text.append(200'000, '[');
    schema::daemon_settings Settings;
    CPPUNIT_ASSERT(!wire::readDocument(Text, Settings).empty());
  }
});

// Guards against daemons that start with settings under which they cannot work.
const story Settings("settings reader: daemon settings", [] {
  auto Document = [](const std::string &Change) {
    return "{\"vm\": \"vm1\", \"failure_domain\": \"d1\",\n"
           "\"listen\": {\"callers\": \"127.0.0.1:0\",\n \"operators\": \"[::1]:80\", \"peers\": "
           "\"0.0.0.0:1\"},\n"
           "\"peer_key\": \"0123456789abcdef\", \"operator_token\": \"0123456789abcdef\"" +
           Change + "}";
  };
  auto Issues = [](const std::string &Text) {
    schema::daemon_settings Settings;
    return wire::formatIssues(wire::readSettings(Text, Settings));
  };
  const std::string Platform = ",\n\"platform\": \"127.0.0.1:9\"";
  if (auto When = section("when they are complete"))
    CPPUNIT_ASSERT_EQUAL(std::string(), Issues(Document(Platform)));
  if (auto When = section("when a required field is absent"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: platform: missing_field, expected ip:port\n"),
                         Issues(Document("")));
  if (auto When = section("when an address is a host name"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 5: platform: out_of_range, expected ip:port\n"),
                         Issues(Document(",\n\"platform\": \"localhost:80\"")));
  if (auto When = section("when a port is too high"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 5: platform: out_of_range, expected ip:port\n"),
                         Issues(Document(",\n\"platform\": \"127.0.0.1:65536\"")));
  if (auto When = section("when a field is absent in a given object"))
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 6: tls.certificate_file: missing_field, expected both files or neither\n"),
        Issues(Document(Platform + ",\n\"tls\": {\"key_file\": \"x\"}")));
  if (auto When = section("when idle connections outlive the servers' keep-alive"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 7: backends.idle_timeout_ms: out_of_range, expected 0 to 4000\n"),
                         Issues(Document(Platform + ",\n\"backends\": {\n\"idle_timeout_ms\": 5000}")));
  if (auto When = section("when the strategy is unknown"))
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 6: scheduler.strategy: out_of_range, expected one of critical_time, "
                    "fifo, random, round_robin, least_outstanding\n"),
        Issues(Document(Platform + ",\n\"scheduler\": {\"strategy\": \"best\"}")));
  if (auto When = section("when the dispatch group lacks the own domain"))
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 6: dispatch_group: missing_field, expected failure_domain among the "
                    "domains\n"),
        Issues(Document(Platform + ",\n\"dispatch_group\": [\"other\"]")));
  if (auto When = section("when a seed peer is no address"))
    CPPUNIT_ASSERT(
        Issues(Document(Platform + ",\n\"seed_peers\": [\"host\"]")).starts_with("line 6: seed_peers[0]"));
});

} // namespace
