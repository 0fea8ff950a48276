#include "job_relay.hpp"
#include "relay_messages.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <vector>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr job_id Job(7);

struct vm final : relay_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::vector<std::pair<std::string, schema::dispatch_message>> Sent;
  std::vector<job_answer> Answers;
  std::string Dispatcher = "d1";
  std::uint32_t Session = 1;
  std::unique_ptr<job_relay> Relay = makeJobRelay(*Executor, *this);

  void send(const std::string &Vm, schema::dispatch_message Message) override {
    Sent.emplace_back(Vm, std::move(Message));
  }
  [[nodiscard]] std::string dispatcherFor(job_id) const override { return Dispatcher; }
  [[nodiscard]] std::uint32_t session(const std::string &) const override { return Session; }
  void answer(job_id, const job_answer &Answer) override { Answers.push_back(Answer); }

  void submit(runtime::duration Deadline = milliseconds(3000)) const {
    queue_settings Queue;
    Queue.Name = "queue";
    job_request Request;
    Request.Job = Job;
    Request.TaskCount = 2;
    Request.EstimateMs = 100;
    Request.Deadline = Deadline;
    CPPUNIT_ASSERT(Relay->submit(Queue, Request));
  }
  void answerFrom(const std::string &Vm, job_outcome Outcome, std::uint32_t SessionOfAnswer = 1) const {
    job_answer Answer;
    Answer.Outcome = Outcome;
    Relay->onAnswer(Vm, makeRelayedAnswer(Job, SessionOfAnswer, Answer).relayed());
  }
  [[nodiscard]] std::vector<std::string> dispatchersRelayedTo() const {
    std::vector<std::string> Vms;
    for (const auto &[Vm, Message] : Sent)
      if (Message.has_relay())
        Vms.push_back(Vm);
    return Vms;
  }
};

using names = std::vector<std::string>;

// Guards against a job that two dispatching VMs run at the same time, and against a caller without an answer,
// after contact with the first dispatching VM was lost.
const test_case Lost("job relay: contact with the dispatching VM is lost", [] {
  vm Vm;
  Vm.submit(milliseconds(4000));
  CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
  Vm.Executor->advance(milliseconds(100));
  Vm.Dispatcher = "d2";
  Vm.Relay->onVmLost("d1");
  Vm.Executor->advance(milliseconds(1299));
  CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
  if (auto When = section("after the orphan timeout, another VM gets the job with its age")) {
    Vm.Executor->advance(milliseconds(1));
    CPPUNIT_ASSERT((Vm.dispatchersRelayedTo() == names{"d1", "d2"}));
    CPPUNIT_ASSERT_EQUAL(1400U, Vm.Sent.back().second.relay().age_ms());
    if (auto Then = section("a late answer of the former VM is ignored")) {
      Vm.answerFrom("d1", job_outcome::Refused);
      CPPUNIT_ASSERT(Vm.Answers.empty());
    }
    if (auto Then =
            section("a refusal by the second VM becomes a timeout, since the first may have run tasks")) {
      Vm.answerFrom("d2", job_outcome::Refused);
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    }
    if (auto Then = section("the result of the second VM is the caller's answer")) {
      Vm.answerFrom("d2", job_outcome::Completed);
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Completed);
    }
  }
  if (auto When =
          section("when contact returns before the orphan timeout, the job stays with the first VM")) {
    schema::resume_session Resume;
    Vm.Relay->onVmResumed("d1", Resume);
    CPPUNIT_ASSERT_EQUAL(1, Resume.relayed_size());
    Vm.Executor->advance(milliseconds(500));
    CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
    if (auto Then =
            section("if that VM no longer holds the job, it is relayed after another orphan timeout")) {
      Vm.Relay->onAnswer("d1", makeNotHeldAnswer(Job).relayed());
      Vm.Executor->advance(milliseconds(1299));
      CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
      Vm.Executor->advance(milliseconds(1));
      CPPUNIT_ASSERT((Vm.dispatchersRelayedTo() == names{"d1", "d2"}));
    }
  }
});

// Guards against jobs that wait for the whole orphan timeout, or are relayed without end, when the
// dispatching VM lags and takes no jobs.
const test_case Declined("job relay: the dispatching VM does not take the job", [] {
  vm Vm;
  Vm.submit();
  auto DeclineJob = [&Vm] {
    Vm.Relay->onAnswer("d1", makeNotTakenAnswer(Vm.Sent.back().second.relay()).relayed());
  };
  if (auto When = section("another VM gets the job after a short delay")) {
    DeclineJob();
    Vm.Dispatcher = "d2";
    Vm.Executor->advance(milliseconds(29));
    CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
    Vm.Executor->advance(milliseconds(1));
    CPPUNIT_ASSERT((Vm.dispatchersRelayedTo() == names{"d1", "d2"}));
    if (auto Then = section("and its refusal is the caller's answer, since nothing has run")) {
      Vm.answerFrom("d2", job_outcome::Refused);
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
    }
  }
  if (auto When = section("if no VM takes the job until the deadline, it is refused as not run")) {
    for (int Attempt = 0; Attempt < 103; ++Attempt) {
      DeclineJob();
      Vm.Executor->advance(milliseconds(30));
    }
    DeclineJob();
    Vm.Executor->advance(milliseconds(11));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
  }
  if (auto When = section("a message about an earlier session is ignored")) {
    auto Earlier = Vm.Sent.back().second.relay();
    Earlier.set_session(9);
    Vm.Relay->onAnswer("d1", makeNotTakenAnswer(Earlier).relayed());
    Vm.Executor->advance(milliseconds(100));
    CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
  }
});

// Guards against jobs that wait for ever for a dispatching VM, and against refusing a job as "not run"
// although its tasks may have run under a lost VM.
const test_case Alone("job relay: no dispatching VM in contact", [] {
  vm Vm;
  Vm.Dispatcher.clear();
  Vm.submit();
  if (auto When = section("when none appears, the job is refused as not run")) {
    Vm.Executor->advance(milliseconds(800));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
    CPPUNIT_ASSERT(Vm.Answers.at(0).Reason == end_reason::NoPlacer);
  }
  if (auto When = section("when a dispatching VM appears, it gets the job")) {
    Vm.Executor->advance(milliseconds(700));
    Vm.Dispatcher = "d1";
    Vm.Relay->onDispatcherFound();
    Vm.Executor->advance(milliseconds(700));
    CPPUNIT_ASSERT(Vm.Answers.empty());
    CPPUNIT_ASSERT(Vm.dispatchersRelayedTo() == names{"d1"});
    if (auto Then = section("and when it is lost and there is no other, the job has timed out")) {
      Vm.Dispatcher.clear();
      Vm.Relay->onVmLost("d1");
      Vm.Executor->advance(milliseconds(2000));
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    }
  }
});

// Guards against running tasks for callers that have left, and against a caller that waits long after the
// deadline because the dispatching VM does not answer.
const test_case Ends("job relay: the caller leaves or the deadline passes", [] {
  vm Vm;
  Vm.submit();
  if (auto When = section("when the caller leaves, the job is withdrawn from the dispatching VM")) {
    CPPUNIT_ASSERT(Vm.Relay->cancel(Job, end_reason::CallerLeft));
    CPPUNIT_ASSERT(Vm.Sent.back().second.has_withdraw_relayed());
    CPPUNIT_ASSERT(!Vm.Relay->contains(Job));
  }
  if (auto When =
          section("when the dispatching VM does not answer, the job times out soon after the deadline")) {
    Vm.Executor->advance(milliseconds(3100));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    CPPUNIT_ASSERT(Vm.Sent.back().second.has_withdraw_relayed());
  }
  if (auto When = section("an answer with unknown values counts as timed out")) {
    schema::relayed_answer Answer;
    Answer.set_end(static_cast<schema::relayed_end>(99));
    Answer.set_reason(99);
    CPPUNIT_ASSERT(toJobAnswer(Answer).Outcome == job_outcome::TimedOut);
    CPPUNIT_ASSERT(toJobAnswer(Answer).Reason == end_reason::None);
  }
});

// Guards against relayed jobs that lose the rack of their data, and against a preference where an older build
// sends none.
const test_case DataLocality("job relay: data locality in relayed jobs", [] {
  job_request Request;
  CPPUNIT_ASSERT(toJobRequest(makeRelayJob({}, Request, 1).relay()).Rack.empty());
  CPPUNIT_ASSERT(!toJobRequest(schema::relay_job()).SameRack);
  Request.Rack = "r1-3";
  Request.SameRack = true;
  job_request Received = toJobRequest(makeRelayJob({}, Request, 1).relay());
  CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), Received.Rack);
  CPPUNIT_ASSERT(Received.SameRack);
});

} // namespace
