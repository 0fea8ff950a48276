#include "yuccaplank/load/checks.hpp"
#include "yuccaplank/testing/story.hpp"

using namespace yuccaplank;
using namespace yuccaplank::load;
using testing::section;
using testing::story;

namespace {

const std::string JobId = "i.d.vm.1-1.1";

schema::job twoTasks() {
  schema::job Job;
  for (const char *Name : {"a", "b"}) {
    schema::task &Task = *Job.add_tasks();
    Task.set_name(Name);
    Task.set_payload(std::string("payload of ") + Name);
  }
  return Job;
}

schema::job_answer rightAnswer(const schema::job &Job) {
  schema::job_answer Answer;
  Answer.set_outcome(schema::OUTCOME_DONE);
  for (const schema::task &Task : Job.tasks()) {
    schema::task_result &Result = *Answer.add_results();
    Result.set_name(Task.name());
    Result.set_payload(expectedResult(JobId, Task));
  }
  return Answer;
}

// Guards against answers that pass although a task is missing, repeated, out of order or crossed.
const story Answers("load checks: answers", [] {
  schema::job Job = twoTasks();
  schema::job_answer Answer = rightAnswer(Job);
  auto Kind = [&] {
    auto Breach = checkAnswer(JobId, Job, Answer);
    return Breach ? std::string(BreachNames[static_cast<std::size_t>(Breach->Kind)]) : std::string("none");
  };
  if (auto When = section("when the answer is right")) {
    CPPUNIT_ASSERT_EQUAL(std::string("none"), Kind());
    Answer.set_id(JobId);
    CPPUNIT_ASSERT_EQUAL(std::string("none"), Kind());
    CPPUNIT_ASSERT_EQUAL(std::string("i.d.vm.1-1.1/a:") + "ef46db3751d8e999", [] {
      schema::task Empty;
      Empty.set_name("a");
      return expectedResult(JobId, Empty);
    }());
  }
  if (auto When = section("when a result is missing")) {
    Answer.mutable_results()->RemoveLast();
    CPPUNIT_ASSERT_EQUAL(std::string("partial_answers"), Kind());
  }
  if (auto When = section("when a result is repeated")) {
    *Answer.add_results() = Answer.results(0);
    CPPUNIT_ASSERT_EQUAL(std::string("partial_answers"), Kind());
  }
  if (auto When = section("when a result replaces another")) {
    *Answer.mutable_results(1) = Answer.results(0);
    CPPUNIT_ASSERT_EQUAL(std::string("partial_answers"), Kind());
  }
  if (auto When = section("when a failed answer has results")) {
    Answer.set_outcome(schema::OUTCOME_FAILED);
    CPPUNIT_ASSERT_EQUAL(std::string("partial_answers"), Kind());
  }
  if (auto When = section("when the order is wrong")) {
    Answer.mutable_results()->SwapElements(0, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_answers"), Kind());
  }
  if (auto When = section("when two results are crossed")) {
    std::string First = Answer.results(0).payload();
    Answer.mutable_results(0)->set_payload(Answer.results(1).payload());
    Answer.mutable_results(1)->set_payload(First);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_answers"), Kind());
  }
  if (auto When = section("when the answer is another job's")) {
    Answer.set_id("i.d.vm.1-1.2");
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_answers"), Kind());
  }
  if (auto When = section("when the answer is not final")) {
    Answer.clear_results();
    Answer.set_outcome(schema::OUTCOME_PENDING);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_answers"), Kind());
  }
});

// Guards against false alarms for jobs of which one submission may have been accepted.
const story Ledger("load checks: refused jobs and jobs without outcome", [] {
  outcome_ledger Ledger;
  Ledger.addJob(JobId);
  if (auto When = section("when a submission was refused")) {
    Ledger.addEnd(JobId, submission_end::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Ledger.refusedOnly().size());
    CPPUNIT_ASSERT(Ledger.withoutOutcome().empty());
    if (auto And = section("and another failed")) {
      Ledger.addEnd(JobId, submission_end::Failed);
      CPPUNIT_ASSERT(Ledger.refusedOnly().empty());
    }
    if (auto And = section("and an attempt was lost")) {
      Ledger.addLostAttempt(JobId);
      CPPUNIT_ASSERT(Ledger.refusedOnly().empty());
    }
  }
  if (auto When = section("when nothing ended")) {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Ledger.withoutOutcome().size());
  }
  if (auto When = section("when no submission was answered")) {
    Ledger.addEnd(JobId, submission_end::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Ledger.withoutOutcome().size());
    CPPUNIT_ASSERT(Ledger.refusedOnly().empty());
  }
});

} // namespace
