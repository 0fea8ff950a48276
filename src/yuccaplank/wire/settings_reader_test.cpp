#include "yuccaplank/wire/settings_reader.hpp"

#include "job.pb.h"
#include "report.pb.h"
#include "settings.pb.h"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/document_writer.hpp"

#include <fmt/format.h>

#include <string>

using namespace yuccaplank;
using runtime::errc;
using testing::section;
using testing::test_case;

namespace {

template <typename Message> std::string readIssues(std::string_view Text) {
  Message Target;
  return wire::formatIssues(wire::readDocument(Text, Target));
}

// Guards against values that are lost, rounded, or put into the wrong field.
const test_case Values("settings reader: values", [] {
  if (auto When = section("when a document with comments is read")) {
    schema::job_document Job;
    auto Issues = wire::readDocument(R"({
      // Host of the queue.
      "host": "jobs.example", /* several
      lines */ "tasks": 4294967295, "cores": 0.5
    })",
                                     Job);
    CPPUNIT_ASSERT_EQUAL(std::string(), wire::formatIssues(Issues));
    CPPUNIT_ASSERT_EQUAL(std::string("jobs.example"), Job.host());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4294967295U}, Job.tasks());
    CPPUNIT_ASSERT_EQUAL(0.5, Job.cores());
  }
  if (auto When = section("when a number needs 64 bits")) {
    schema::burn_window Window;
    CPPUNIT_ASSERT(wire::readDocument(R"({"good":18446744073709551615})", Window).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{18446744073709551615U}, Window.good());
  }
  if (auto When = section("when a nested object is present or missing")) {
    schema::daemon_settings Settings;
    CPPUNIT_ASSERT(wire::readDocument(R"({"log":{}})", Settings).empty());
    CPPUNIT_ASSERT(Settings.has_log());
    CPPUNIT_ASSERT(!Settings.has_burn());
  }
  if (auto When = section("when repeated fields hold objects")) {
    schema::fleet_report Report;
    std::string Text =
        R"({"vm":"a","vms":[{"vm":"b","in_contact":true},{"vm":"c"}],"queues":[{"queue":"q","waiting":2}]})";
    CPPUNIT_ASSERT(wire::readDocument(Text, Report).empty());
    CPPUNIT_ASSERT_EQUAL(Text, wire::writeDocument(Report));
  }
  if (auto When = section("when the target message already has values")) {
    schema::job_document Job;
    Job.set_host("old");
    CPPUNIT_ASSERT(wire::readDocument("{}", Job).empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), Job.host());
  }
});

// Guards against invalid documents that are accepted, and against issues with a wrong path or line.
const test_case Faults("settings reader: invalid documents", [] {
  struct expectation {
    std::string Text;
    std::string Issues;
  };
  const expectation JobExpectations[] = {
      {"{\n\"host\": 1\n}", "line 2: host: wrong_type, expected string\n"},
      {"{\n\"host\": null}", "line 2: host: wrong_type, expected string\n"},
      {"{\"host\": {\"x\": [1]},\n \"cores\": \"1\"}",
       "line 1: host: wrong_type, expected string\nline 2: cores: wrong_type, expected number\n"},
      {"{\n\n\"tasks\": -1\n}", "line 3: tasks: out_of_range, expected integer from 0 to 4294967295\n"},
      {"{\"tasks\": 4294967296}", "line 1: tasks: out_of_range, expected integer from 0 to 4294967295\n"},
      {"{\"tasks\": 99999999999999999999}",
       "line 1: tasks: out_of_range, expected integer from 0 to 4294967295\n"},
      {"{\"tasks\": 1.5}", "line 1: tasks: wrong_type, expected integer from 0 to 4294967295\n"},
      {"{\"host\": \"a\",\n\"host\": \"b\"}", "line 2: host: malformed_document, expected each key once\n"},
      {"{\"host\": [\"a\"]}", "line 1: host: wrong_type, expected string\n"},
      {"[]", "line 1: wrong_type, expected object\n"},
      {"3", "line 1: wrong_type, expected object\n"},
      {"{\"host\": \"\xff\"}", "line 1: host: malformed_document, expected JSON\n"},
      {"", "line 1: malformed_document, expected '[', '{', or a literal\n"},
  };
  for (const expectation &Expectation : JobExpectations)
    if (auto When = section(Expectation.Text))
      CPPUNIT_ASSERT_EQUAL(Expectation.Issues, readIssues<schema::job_document>(Expectation.Text));
  const expectation SettingsExpectations[] = {
      {"{\"callers\": {\n\"retention\": 1}}",
       "line 2: callers.retention: unknown_field, expected one of answer_retention_s, default_deadline_ms\n"},
      {"{\"callers\": {\n\"key\": [{\"a\": 1}, 2], \"answer_retention_s\": \"3\"}}",
       "line 2: callers.key: unknown_field, expected one of answer_retention_s, default_deadline_ms\n"
       "line 2: callers.answer_retention_s: wrong_type, expected integer from 0 to 4294967295\n"},
      {"{\"log\": \"a\"}", "line 1: log: wrong_type, expected object\n"},
  };
  for (const expectation &Expectation : SettingsExpectations)
    if (auto When = section(Expectation.Text))
      CPPUNIT_ASSERT_EQUAL(Expectation.Issues, readIssues<schema::daemon_settings>(Expectation.Text));

  if (auto When = section("when an array element is invalid")) {
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 3: ended[1].event: out_of_range, expected one of RUN_UNKNOWN, RUN_DONE, "
                    "RUN_FAILED, RUN_GONE, RUN_NOT_STARTED\n"
                    "line 4: ended[2]: wrong_type, expected object\n"),
        readIssues<schema::adopt_request>(
            "{\"ended\": [{\"server\": \"a\"},\n{\"server\": \"b\",\n\"event\": \"GONE\"},\n7]}"));
  }
  if (auto When = section("when a repeated field is not an array")) {
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: vms: wrong_type, expected array\n"),
                         readIssues<schema::fleet_report>("{\"vms\": {\"vm\": \"a\"}}"));
  }
  if (auto When = section("when the document is incomplete")) {
    schema::job_document Job;
    auto Issues = wire::readDocument("{\n\"host\": \"a\",\n", Job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Issues.size());
    CPPUNIT_ASSERT(Issues[0].Code == errc::MalformedDocument);
    // The issue is on the last line of the text, not on the empty line after its final newline.
    CPPUNIT_ASSERT_EQUAL(2, Issues[0].Line);
  }
  if (auto When = section("when there are more issues than the limit")) {
    std::string Text = "{";
    for (int Index = 0; Index < 5000; ++Index)
      Text += fmt::format(R"({}"x{}":1)", Index > 0 ? "," : "", Index);
    schema::daemon_settings Settings;
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, wire::readDocument(Text + "}", Settings).size());
  }
  if (auto When = section("when objects are nested very deeply")) {
    std::string Text = "{\"host\":";
    Text.append(200'000, '[');
    schema::job_document Job;
    CPPUNIT_ASSERT(!wire::readDocument(Text, Job).empty());
  }
});

// Guards against a daemon that starts with settings that it cannot work with.
const test_case Settings("settings reader: daemon settings", [] {
  auto Issues = [](const std::string &Text) {
    schema::daemon_settings Settings;
    return wire::formatIssues(wire::readSettings(Text, Settings));
  };
  if (auto When = section("when the settings are empty or valid")) {
    CPPUNIT_ASSERT_EQUAL(std::string(), Issues("{}"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Issues(R"({"log":{"level":"warning"},"placement":{"late_factor":2.5},
      "callers":{"answer_retention_s":60},"burn":{"objective_percent":99.9}})"));
  }
  if (auto When = section("when the log level is unknown"))
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 2: log.level: out_of_range, expected one of debug, info, warning, error\n"),
        Issues("{\"log\": {\n\"level\": \"loud\"}}"));
  if (auto When = section("when a share is above 1"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 2: placement.max_wait_share: out_of_range, expected 0 to 1\n"),
                         Issues("{\"placement\": {\n\"max_wait_share\": 1.5}}"));
  if (auto When = section("when a wait for a rack may take longer than the time to the objective"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: locality.max_wait_share: out_of_range, expected 0 to 1\n"),
                         Issues(R"({"locality": {"max_wait_share": 2}})"));
  if (auto When = section("when a factor is negative"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: placement.late_factor: out_of_range, expected 0 to 10\n"),
                         Issues(R"({"placement": {"late_factor": -1}})"));
  if (auto When = section("when an objective of 100 percent leaves no error budget"))
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: burn.objective_percent: out_of_range, expected 0 to 99.999\n"),
                         Issues(R"({"burn": {"objective_percent": 100}})"));
});

} // namespace
