#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <deque>

using namespace yuccaplank;
using testing::cli_run;
using testing::lostConnection;
using testing::refusedConnection;
using testing::replyWith;
using testing::scripted_reply;
using testing::section;
using testing::test_case;

namespace {

constexpr auto Job = R"({"host":"jobs.example","path":"/jobs/","specification":"27000 60", // one core short
  "tasks":2,"cores":27,"memory_mb":64,"declared_ms":60,"deadline_ms":2000})";
constexpr auto Completed = R"({"state":"completed"})";

// The replies in turn; the last one again and again.
struct scripted_run {
  std::deque<scripted_reply> Replies;
  cli_run Run{[this](const wire::http_call &) {
    scripted_reply Reply = Replies.front();
    if (Replies.size() > 1)
      Replies.pop_front();
    return Reply;
  }};

  explicit scripted_run(std::deque<scripted_reply> Replies) : Replies(std::move(Replies)) {
    Run.Files["job.json"] = Job;
  }
  int submit(std::vector<std::string> More = {}) {
    std::vector<std::string> Arguments{"submit",           "job.json", "--id",
                                       "5c0e7a21d94b36f8", "--entry",  "127.0.0.1:1,127.0.0.1:2"};
    Arguments.insert(Arguments.end(), More.begin(), More.end());
    return Run.run(Arguments);
  }
};

scripted_reply refusal() {
  scripted_reply Reply = replyWith(503, "{}");
  Reply.Result.Headers.push_back({"retry-after", "2"});
  return Reply;
}

// Guards against a job that is sent in another form than its document says.
const test_case Request("submit: the request", [] {
  scripted_run Script({replyWith(200, Completed)});
  CPPUNIT_ASSERT_EQUAL(0, Script.submit());
  const wire::http_call &Call = Script.Run.Client.Calls.at(0);
  CPPUNIT_ASSERT_EQUAL(std::string("POST"), Call.Method);
  CPPUNIT_ASSERT_EQUAL(std::string("jobs.example"), Call.Host);
  CPPUNIT_ASSERT_EQUAL(std::string("/jobs/5c0e7a21d94b36f8"), Call.Path);
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"best_effort":true,"specification":"27000 60","steps":[{"count":2,)"
                                   R"("cpu":27000,"estimated_ms":60,"memory_limit_mb":64}]})"),
                       Call.Body);
  CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8 completed\n"), Script.Run.Out);
});

// Guards against a job that is run again under another id, or given up although it can be sent again.
const test_case LostAnswers("submit: lost answers", [] {
  if (auto Given = section("given an entry VM that breaks the connection")) {
    scripted_run Script({lostConnection(), replyWith(200, Completed)});
    CPPUNIT_ASSERT_EQUAL(0, Script.submit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Script.Run.Client.Calls.size());
    CPPUNIT_ASSERT_EQUAL(Script.Run.Client.Calls[0].Path, Script.Run.Client.Calls[1].Path);
    CPPUNIT_ASSERT(Script.Run.Client.Calls[0].Address != Script.Run.Client.Calls[1].Address);
  }
  if (auto Given = section("given entry VMs that never answer")) {
    scripted_run Script({lostConnection()});
    CPPUNIT_ASSERT_EQUAL(5, Script.submit({"--timeout", "5"}));
    CPPUNIT_ASSERT(Script.Run.Err.find("may have run") != std::string::npos);
  }
  if (auto Given = section("given a refusal after a lost answer, which says nothing of the first attempt")) {
    scripted_run Script({lostConnection(), refusal()});
    CPPUNIT_ASSERT_EQUAL(5, Script.submit());
  }
  if (auto Given = section("given entry VMs that cannot be reached")) {
    scripted_run Script({refusedConnection()});
    CPPUNIT_ASSERT_EQUAL(4, Script.submit({"--timeout", "2"}));
  }
});

// Guards against refusals that are taken for failures, and against waiting longer than allowed.
const test_case Refusals("submit: refusals", [] {
  if (auto Given = section("given a refusal and no time to wait")) {
    scripted_run Script({refusal()});
    CPPUNIT_ASSERT_EQUAL(4, Script.submit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Script.Run.Client.Calls.size());
  }
  if (auto Given = section("given a refusal and time to wait")) {
    scripted_run Script({refusal(), replyWith(200, Completed)});
    CPPUNIT_ASSERT_EQUAL(0, Script.submit({"--wait", "10"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Script.Run.Client.Calls.size());
  }
  if (auto Given = section("given a job that failed")) {
    scripted_run Script({replyWith(200, R"({"state":"failed"})")});
    CPPUNIT_ASSERT_EQUAL(3, Script.submit());
  }
  if (auto Given = section("given a document that is not a job")) {
    scripted_run Script({replyWith(200, Completed)});
    Script.Run.Files["job.json"] = R"({"host":"jobs.example","tasks":0})";
    CPPUNIT_ASSERT_EQUAL(4, Script.submit());
    CPPUNIT_ASSERT(Script.Run.Client.Calls.empty());
    CPPUNIT_ASSERT(Script.Run.Err.find("path: missing_field") != std::string::npos);
  }
});

// Guards against answers that are shown as something else.
const test_case Queries("state, cancel, waiting: answers", [] {
  scripted_run Script({replyWith(200, R"({"state":"running"})")});
  if (auto When = section("when a job is asked for")) {
    CPPUNIT_ASSERT_EQUAL(0, Script.Run.run({"state", "5c0e7a21d94b36f8", "--queue", "jobs.example/jobs/",
                                            "--entry", "127.0.0.1:1", "--json"}));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"id":"5c0e7a21d94b36f8","outcome":"pending"})"
                                     "\n"),
                         Script.Run.Out);
  }
  if (auto When = section("when a job is cancelled that is not known")) {
    Script.Replies = {replyWith(410, "{}")};
    CPPUNIT_ASSERT_EQUAL(1, Script.Run.run({"cancel", "5c0e7a21d94b36f8", "--queue", "jobs.example/jobs/",
                                            "--entry", "127.0.0.1:1"}));
  }
  if (auto When = section("when a queue is asked for")) {
    Script.Replies = {replyWith(200, R"({"waiting_count":12})")};
    CPPUNIT_ASSERT_EQUAL(0, Script.Run.run({"waiting", "jobs.example/jobs/", "--entry", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("12 jobs wait\n"), Script.Run.Out);
  }
});

} // namespace
