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

// Runs commands against a client that returns the replies in turn, and repeats the last one.
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
  int submit(std::vector<std::string> ExtraArguments = {}) {
    std::vector<std::string> Arguments{"submit",           "job.json", "--id",
                                       "5c0e7a21d94b36f8", "--entry",  "127.0.0.1:1,127.0.0.1:2"};
    Arguments.insert(Arguments.end(), ExtraArguments.begin(), ExtraArguments.end());
    return Run.run(Arguments);
  }
};

scripted_reply makeRefusal() {
  scripted_reply Reply = replyWith(503, "{}");
  Reply.Result.Headers.push_back({"retry-after", "2"});
  return Reply;
}

// Guards against a request that does not match the job document, for example in the number or the size of
// tasks.
const test_case Request("submit: the request contains the fields of the job document", [] {
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

// Guards against a job that runs twice because it is resent under another id, against a job that is not
// resent after a lost answer, and against a refusal that is reported although an earlier attempt may have
// run.
const test_case LostAnswers("submit: a job is resent after a lost answer", [] {
  if (auto Given = section("given an entry VM that closes the connection")) {
    scripted_run Script({lostConnection(), replyWith(200, Completed)});
    CPPUNIT_ASSERT_EQUAL(0, Script.submit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Script.Run.Client.Calls.size());
    CPPUNIT_ASSERT_EQUAL(Script.Run.Client.Calls[0].Path, Script.Run.Client.Calls[1].Path);
    CPPUNIT_ASSERT(Script.Run.Client.Calls[0].Address != Script.Run.Client.Calls[1].Address);
  }
  if (auto Given = section("given entry VMs that never answer, the outcome is unknown")) {
    scripted_run Script({lostConnection()});
    CPPUNIT_ASSERT_EQUAL(5, Script.submit({"--timeout", "5"}));
    CPPUNIT_ASSERT(Script.Run.Err.find("may have run") != std::string::npos);
  }
  if (auto Given =
          section("given a refusal after a lost answer, the outcome of the first attempt is unknown")) {
    scripted_run Script({lostConnection(), makeRefusal()});
    CPPUNIT_ASSERT_EQUAL(5, Script.submit());
  }
  if (auto Given = section("given unreachable entry VMs, the job has not run")) {
    scripted_run Script({refusedConnection()});
    CPPUNIT_ASSERT_EQUAL(4, Script.submit({"--timeout", "2"}));
  }
});

// Guards against a refusal that is reported as a failure of the job, and against retries although --wait
// does not allow them.
const test_case Refusals("submit: a refused job is resent only within --wait", [] {
  if (auto Given = section("given a refusal without --wait")) {
    scripted_run Script({makeRefusal()});
    CPPUNIT_ASSERT_EQUAL(4, Script.submit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Script.Run.Client.Calls.size());
  }
  if (auto Given = section("given a refusal with --wait")) {
    scripted_run Script({makeRefusal(), replyWith(200, Completed)});
    CPPUNIT_ASSERT_EQUAL(0, Script.submit({"--wait", "10"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Script.Run.Client.Calls.size());
  }
  if (auto Given = section("given a job that failed")) {
    scripted_run Script({replyWith(200, R"({"state":"failed"})")});
    CPPUNIT_ASSERT_EQUAL(3, Script.submit());
  }
  if (auto Given = section("given an invalid job document, nothing is sent")) {
    scripted_run Script({replyWith(200, Completed)});
    Script.Run.Files["job.json"] = R"({"host":"jobs.example","tasks":0})";
    CPPUNIT_ASSERT_EQUAL(4, Script.submit());
    CPPUNIT_ASSERT(Script.Run.Client.Calls.empty());
    CPPUNIT_ASSERT(Script.Run.Err.find("path: missing_field") != std::string::npos);
  }
});

// Guards against an answer that is printed as a different state, and against exit status 0 for an unknown
// job.
const test_case Queries("state, cancel, waiting: answers are printed as received", [] {
  scripted_run Script({replyWith(200, R"({"state":"running"})")});
  if (auto When = section("when the state of a job is requested")) {
    CPPUNIT_ASSERT_EQUAL(0, Script.Run.run({"state", "5c0e7a21d94b36f8", "--queue", "jobs.example/jobs/",
                                            "--entry", "127.0.0.1:1", "--json"}));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"id":"5c0e7a21d94b36f8","outcome":"pending"})"
                                     "\n"),
                         Script.Run.Out);
  }
  if (auto When = section("when an unknown job is cancelled")) {
    Script.Replies = {replyWith(410, "{}")};
    CPPUNIT_ASSERT_EQUAL(1, Script.Run.run({"cancel", "5c0e7a21d94b36f8", "--queue", "jobs.example/jobs/",
                                            "--entry", "127.0.0.1:1"}));
  }
  if (auto When = section("when the number of waiting jobs is requested")) {
    Script.Replies = {replyWith(200, R"({"waiting_count":12})")};
    CPPUNIT_ASSERT_EQUAL(0, Script.Run.run({"waiting", "jobs.example/jobs/", "--entry", "127.0.0.1:1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("12 jobs wait\n"), Script.Run.Out);
  }
});

} // namespace
