#include "yuccaplank/wire/job_codec.hpp"

#include "yuccaplank/testing/story.hpp"

#include <fmt/format.h>

#include <string>

using namespace yuccaplank;
using runtime::errc;
using testing::section;
using testing::story;

namespace {

std::string issuesOf(const std::string &Text) {
  schema::job Job;
  return wire::formatIssues(wire::readJob(Text, Job));
}

std::string jobOf(int Tasks) {
  std::string Text = R"({"service":"s","tasks":[)";
  for (int Index = 0; Index < Tasks; ++Index)
    Text += fmt::format(R"({}{{"name":"t{}"}})", Index > 0 ? "," : "", Index);
  return Text + "]}";
}

// Guards against jobs that run although their documents are faulty.
const story Jobs("job codec: job documents", [] {
  struct expectation {
    std::string Text;
    std::string Issues;
  };
  const expectation Expectations[] = {
      {jobOf(100), ""},
      {jobOf(101), "line 1: tasks: too_many_tasks, expected 1 to 100 tasks\n"},
      {"{\"service\":\"s\",\n\"tasks\":[]}", "line 2: tasks: missing_field, expected 1 to 100 tasks\n"},
      {"{\"service\":\"s\"}", "line 1: tasks: missing_field, expected 1 to 100 tasks\n"},
      {"{\"service\":\"s\",\"tasks\":[{\"name\":\"a\"},\n{\"name\":\"b\"},\n{\"name\":\"a\"}]}",
       "line 3: tasks[2].name: duplicate_task_name, expected name that no other task of the job has\n"},
      {"{\"service\":\"s\",\"tasks\":[{\"name\":\"a\\r\\nx: y\"}]}",
       "line 1: tasks[0].name: out_of_range, expected 1 to 64 characters of A-Z, a-z, 0-9, '-', '_', '.'\n"},
      {"{\"service\":\"s\",\"tasks\":[{\"name\":\"a\"},\n{\"kind\":\"k\"}]}",
       "line 2: tasks[1].name: missing_field, expected 1 to 64 characters of A-Z, a-z, 0-9, '-', '_', '.'\n"},
      {"{\"service\":\"s\",\"deadline_ms\":0,\"tasks\":[{\"name\":\"a\"}]}",
       "line 1: deadline_ms: deadline_passed, expected integer of at least 1\n"},
      {"{\"service\":\"s\",\"deadline_ms\":-5,\"tasks\":[{\"name\":\"a\"}]}",
       "line 1: deadline_ms: deadline_passed, expected integer of at least 1\n"},
      {"{\"service\":\"s\",\"tasks\":[{\"name\":\"a\",\"declared_ms\":-1}]}",
       "line 1: tasks[0].declared_ms: out_of_range, expected number of at least 0\n"},
      {"{\"service\":\"s\",\"tasks\":[{\"name\":\"a\",\"payload\":{}}]}",
       "line 1: tasks[0].payload: wrong_type, expected string\n"},
  };
  for (const expectation &Expectation : Expectations)
    if (auto When = section(Expectation.Text))
      CPPUNIT_ASSERT_EQUAL(Expectation.Issues, issuesOf(Expectation.Text));

  if (auto When = section("when a job is written and read")) {
    schema::job Job;
    CPPUNIT_ASSERT(wire::readJob(R"({"service":"s","repeatable":true,"deadline_ms":5,"tasks":[{"name":"a",
      "kind":"k","payload":"{\"x\":\"\u00e9\\n\"}","declared_ms":1.5,"cores":1,"memory_mb":2,"accelerators":3}]})",
                                 Job)
                       .empty());
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":\"é\\n\"}"), Job.tasks(0).payload());
    schema::job Copy;
    CPPUNIT_ASSERT(wire::readJob(wire::writeJob(Job), Copy).empty());
    CPPUNIT_ASSERT_EQUAL(Job.SerializeAsString(), Copy.SerializeAsString());
  }
});

// Guards against answers that lose results or confuse "refused, not run" with "may have run".
const story Answers("job codec: answers", [] {
  if (auto When = section("when a job is done")) {
    schema::job_answer Answer;
    Answer.set_id("k.7");
    Answer.set_outcome(schema::OUTCOME_DONE);
    const std::string Payloads[] = {"text é", std::string("\xff\x00", 2), "\x80", std::string("abc\xc3")};
    for (const std::string &Payload : Payloads) {
      auto *Result = Answer.add_results();
      Result->set_name(fmt::format("t{}", Answer.results_size()));
      Result->set_payload(Payload);
    }
    std::string Text = wire::writeAnswer(Answer);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"id":"k.7","outcome":"done","results":[{"name":"t1","payload":"text é"},)"
                    R"({"name":"t2","payload_base64":"/wA="},{"name":"t3","payload_base64":"gA=="},)"
                    R"({"name":"t4","payload_base64":"YWJjww=="}]})"),
        Text);
    auto Read = wire::readAnswer(Text);
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(Answer.SerializeAsString(), Read.value().SerializeAsString());
  }
  if (auto When = section("when a job is refused")) {
    auto Answer = wire::makeAnswer("", schema::OUTCOME_REFUSED, errc::QueueFull, "queued_tasks", 1200);
    auto Reply = wire::answerReply(Answer);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"outcome":"refused","run":false,"reason":"queue_full","subject":"queued_tasks",)"
                    R"("retry_after_ms":1200})"),
        Reply.Body);
    CPPUNIT_ASSERT_EQUAL(503, Reply.Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Reply.Headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Reply.Headers[0].Value);
  }
  if (auto When = section("when a job fails")) {
    auto Answer = wire::makeAnswer("i", schema::OUTCOME_FAILED, errc::ConnectionLost, "t1");
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"id":"i","outcome":"failed","may_have_run":true,"reason":"connection_lost","subject":"t1"})"),
        wire::writeAnswer(Answer));
  }
  if (auto When = section("when answers have statuses")) {
    auto Status = [](schema::outcome_kind Outcome, errc Reason) {
      return wire::httpStatus(wire::makeAnswer("", Outcome, Reason));
    };
    CPPUNIT_ASSERT_EQUAL(200, Status(schema::OUTCOME_DONE, errc::Ok));
    CPPUNIT_ASSERT_EQUAL(202, Status(schema::OUTCOME_PENDING, errc::Ok));
    CPPUNIT_ASSERT_EQUAL(502, Status(schema::OUTCOME_FAILED, errc::ServerError));
    CPPUNIT_ASSERT_EQUAL(410, Status(schema::OUTCOME_UNKNOWN, errc::AuthorityGone));
    CPPUNIT_ASSERT_EQUAL(400, Status(schema::OUTCOME_REFUSED, errc::MalformedDocument));
    CPPUNIT_ASSERT_EQUAL(404, Status(schema::OUTCOME_REFUSED, errc::UnknownService));
    CPPUNIT_ASSERT_EQUAL(409, Status(schema::OUTCOME_REFUSED, errc::IdReused));
    CPPUNIT_ASSERT_EQUAL(413, Status(schema::OUTCOME_REFUSED, errc::BodyTooLarge));
    CPPUNIT_ASSERT_EQUAL(422, Status(schema::OUTCOME_REFUSED, errc::NoFitServer));
    CPPUNIT_ASSERT_EQUAL(429, Status(schema::OUTCOME_REFUSED, errc::QuotaExceeded));
    CPPUNIT_ASSERT_EQUAL(503, Status(schema::OUTCOME_REFUSED, errc::PlatformUnavailable));
  }
  if (auto When = section("when an answer is malformed")) {
    for (const char *Text :
         {"", "[]", "{}", R"({"outcome":"fine"})", R"({"outcome":1})", R"({"outcome":"done","results":[{}]})",
          R"({"outcome":"refused","retry_after_ms":-1})",
          R"({"outcome":"refused","retry_after_ms":4294967296})",
          R"({"outcome":"done","results":[{"name":"a","payload_base64":"?"}]})"})
      CPPUNIT_ASSERT(wire::readAnswer(Text).error() == errc::MalformedDocument);
  }
});

} // namespace
