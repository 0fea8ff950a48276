#include "yuccaplank/load/load_run.hpp"
#include "yuccaplank/testing/scripted_http_client.hpp"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <fmt/format.h>

#include <map>

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::load;
using testing::lostConnection;
using testing::replyWith;
using testing::scripted_reply;
using testing::section;
using testing::story;

namespace {

// Entry VMs and stand-in servers in one: answers every submission at once, as Answer says.
struct scripted_system {
  scripted_reply operator()(const wire::http_call &Call) {
    if (Call.Method == "POST")
      return issueIds();
    if (Call.Path == "/summary")
      return replyWith(200, Summary);
    if (Call.Path.starts_with("/tasks/"))
      return replyWith(200, StartedTasks);
    if (Call.Method == "DELETE") {
      ++Cancels;
      return replyWith(502, R"({"outcome":"failed","reason":"cancelled"})");
    }
    std::string Id = Call.Path.substr(std::string("/v1/jobs/").size());
    ++Submissions[Id];
    schema::job Job;
    CPPUNIT_ASSERT(wire::readJob(Call.Body, Job).empty());
    return Answer(Id, Job);
  }
  scripted_reply issueIds() {
    std::string List;
    for (int Count = 0; Count < Ids; ++Count)
      List += fmt::format("{}\"i.d.vm.1-1.{}\"", List.empty() ? "" : ",", ++LastId);
    return replyWith(200, R"({"ids":[)" + List + "]}");
  }

  std::function<scripted_reply(const std::string &Id, const schema::job &Job)> Answer;
  std::string Summary = R"({"started":0,"double_started":[]})";
  std::string StartedTasks = "[]";
  std::map<std::string, int> Submissions;
  int Ids = 10;
  int LastId = 0;
  int Cancels = 0;
};

schema::job_answer doneAnswer(const std::string &Id, const schema::job &Job) {
  schema::job_answer Answer;
  Answer.set_id(Id);
  Answer.set_outcome(schema::OUTCOME_DONE);
  for (const schema::task &Task : Job.tasks()) {
    schema::task_result &Result = *Answer.add_results();
    Result.set_name(Task.name());
    Result.set_payload(expectedResult(Id, Task));
  }
  return Answer;
}

scripted_reply replyDone(const std::string &Id, const schema::job &Job) {
  return replyWith(200, wire::writeAnswer(doneAnswer(Id, Job)));
}

scripted_reply replyRefused(const std::string &Id, const schema::job & /*Job*/) {
  return replyWith(
      503, wire::writeAnswer(wire::makeAnswer(Id, schema::OUTCOME_REFUSED, runtime::errc::QueueFull)));
}

struct run_case {
  run_case() {
    System.Answer = replyDone;
    Options.Entries = {"127.0.0.1:1", "127.0.0.1:2"};
    Options.Rate = 20;
    Options.Seconds = 2;
    Options.Concurrency = 100;
    Options.MinTasks = 2;
    Options.MaxTasks = 4;
    Options.AnswerTimeout = 2s;
    Options.Check = "127.0.0.1:9";
  }
  // Runs to the end and returns the exit status.
  int run() {
    auto Executor = runtime::makeManualExecutor();
    testing::scripted_http_client Client(*Executor, std::ref(System));
    auto Run = makeLoadRun(*Executor, Client, Options, [this](std::string_view Lines) { Timeline += Lines; });
    bool Done = false;
    Run->start([&] { Done = true; });
    Executor->advance(30s);
    CPPUNIT_ASSERT(Done);
    Result = Run->result();
    return exitStatusOf(Result);
  }
  std::uint64_t breaches(breach_kind Kind) {
    return Result.Measurements.Counts.Breaches[static_cast<std::size_t>(Kind)];
  }
  std::uint64_t jobs(submission_end End) {
    return Result.Measurements.Counts.Jobs[static_cast<std::size_t>(End)];
  }

  scripted_system System;
  load_options Options;
  load_result Result;
  std::string Timeline;
};

// Guards against false alarms, and against arrivals, resubmissions or cancellations that do not happen.
const story Sound("load: a system that keeps its promises", [] {
  run_case Case;
  if (auto When = section("when jobs are offered at a rate")) {
    Case.Options.Timeline = true;
    CPPUNIT_ASSERT_EQUAL(0, Case.run());
    CPPUNIT_ASSERT(Case.jobs(submission_end::Done) > 20);
    CPPUNIT_ASSERT(Case.jobs(submission_end::Done) < 70);
    CPPUNIT_ASSERT(Case.Timeline.starts_with(R"({"second":0,"done":)"));
  }
  if (auto When = section("when every job is resubmitted")) {
    Case.Options.ResubmitPercent = 100;
    CPPUNIT_ASSERT_EQUAL(0, Case.run());
    CPPUNIT_ASSERT(!Case.System.Submissions.empty());
    for (const auto &[Id, Count] : Case.System.Submissions)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, 2, Count);
  }
  if (auto When = section("when jobs are kept in flight and cancelled")) {
    Case.Options.Rate = 0;
    Case.Options.Concurrency = 3;
    Case.Options.CancelWaves = 2;
    CPPUNIT_ASSERT_EQUAL(0, Case.run());
    CPPUNIT_ASSERT(Case.jobs(submission_end::Done) > 1000);
    CPPUNIT_ASSERT_EQUAL(6, Case.System.Cancels);
  }
  if (auto When = section("when all jobs are refused and none has run")) {
    Case.System.Answer = replyRefused;
    CPPUNIT_ASSERT_EQUAL(0, Case.run());
    CPPUNIT_ASSERT(Case.jobs(submission_end::Refused) > 20);
  }
  if (auto When = section("when connections are lost and the id is submitted elsewhere")) {
    int Attempts = 0;
    Case.System.Answer = [&](const std::string &Id, const schema::job &Job) {
      return ++Attempts % 2 == 1 ? lostConnection() : replyDone(Id, Job);
    };
    CPPUNIT_ASSERT_EQUAL(0, Case.run());
    CPPUNIT_ASSERT(Case.jobs(submission_end::Done) > 20);
  }
});

// Guards against checks that do not see a breach. Each section breaks one promise.
const story Breaches("load: every kind of breach is found", [] {
  run_case Case;
  if (auto When = section("when a task starts twice")) {
    Case.System.Summary = R"({"started":9,"double_started":["i.d.vm.1-1.1/t0"]})";
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Case.breaches(breach_kind::DoubleStart));
  }
  if (auto When = section("when a done answer lacks a result")) {
    Case.System.Answer = [](const std::string &Id, const schema::job &Job) {
      schema::job_answer Answer = doneAnswer(Id, Job);
      Answer.mutable_results()->RemoveLast();
      return replyWith(200, wire::writeAnswer(Answer));
    };
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT(Case.breaches(breach_kind::PartialAnswer) > 20);
  }
  if (auto When = section("when a result belongs to another job")) {
    Case.System.Answer = [](const std::string &Id, const schema::job &Job) {
      schema::job_answer Answer = doneAnswer(Id + "0", Job);
      Answer.set_id(Id);
      return replyWith(200, wire::writeAnswer(Answer));
    };
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT(Case.breaches(breach_kind::WrongAnswer) > 20);
  }
  if (auto When = section("when only the answer to a resubmission is wrong")) {
    Case.Options.ResubmitPercent = 100;
    Case.System.Answer = [&](const std::string &Id, const schema::job &Job) {
      return Case.System.Submissions[Id] == 1 ? replyDone(Id, Job) : replyWith(200, R"({"outcome":"done"})");
    };
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(Case.System.Submissions.size()),
                         Case.breaches(breach_kind::PartialAnswer));
  }
  if (auto When = section("when a reply is not an answer")) {
    Case.System.Answer = [](const std::string &, const schema::job &) { return replyWith(200, "ok"); };
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT(Case.breaches(breach_kind::WrongAnswer) > 20);
  }
  if (auto When = section("when tasks of refused jobs have started")) {
    Case.System.Answer = replyRefused;
    Case.System.StartedTasks = R"(["t0"])";
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT_EQUAL(Case.jobs(submission_end::Refused), Case.breaches(breach_kind::RefusedButRun));
  }
  if (auto When = section("when jobs get no answer")) {
    Case.System.Answer = [](const std::string &, const schema::job &) { return lostConnection(); };
    CPPUNIT_ASSERT_EQUAL(3, Case.run());
    CPPUNIT_ASSERT_EQUAL(Case.jobs(submission_end::NoAnswer), Case.breaches(breach_kind::NoOutcome));
    CPPUNIT_ASSERT(Case.jobs(submission_end::NoAnswer) > 20);
  }
});

// Guards against a run that passes although its checks could not be made.
const story Incomplete("load: incomplete checks do not pass", [] {
  run_case Case;
  if (auto When = section("when the summary is malformed")) {
    Case.System.Summary = "{}";
    CPPUNIT_ASSERT_EQUAL(1, Case.run());
  }
  if (auto When = section("when the started tasks of refused jobs are not told")) {
    Case.System.Answer = replyRefused;
    Case.System.StartedTasks = R"({"reason":"unknown_path"})";
    CPPUNIT_ASSERT_EQUAL(1, Case.run());
  }
  if (auto When = section("when no job could be submitted")) {
    Case.System.Ids = 0;
    CPPUNIT_ASSERT_EQUAL(1, Case.run());
  }
});

} // namespace
