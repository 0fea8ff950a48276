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

constexpr std::uint64_t Job = 7;

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
  [[nodiscard]] std::string dispatcherFor(std::uint64_t) const override { return Dispatcher; }
  [[nodiscard]] std::uint32_t session(const std::string &) const override { return Session; }
  void answer(std::uint64_t, const job_answer &Answer) override { Answers.push_back(Answer); }

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
  void answerFrom(const std::string &Vm, job_outcome Outcome, std::uint32_t OfSession = 1) const {
    job_answer Answer;
    Answer.Outcome = Outcome;
    Relay->onAnswer(Vm, makeRelayedAnswer(Job, OfSession, Answer).relayed());
  }
  [[nodiscard]] std::vector<std::string> passedTo() const {
    std::vector<std::string> Vms;
    for (const auto &[Vm, Message] : Sent)
      if (Message.has_relay())
        Vms.push_back(Vm);
    return Vms;
  }
};

using names = std::vector<std::string>;

// Guards against a job that runs on behalf of two dispatching VMs at a time, and against a caller without
// answer.
const test_case Lost("job relay: the dispatching VM is lost", [] {
  vm Vm;
  Vm.submit(milliseconds(4000));
  CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
  Vm.Executor->advance(milliseconds(100));
  Vm.Dispatcher = "d2";
  Vm.Relay->onVmLost("d1");
  Vm.Executor->advance(milliseconds(1299));
  CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
  if (auto When = section("when its runs have certainly ended, another VM gets the job with its age")) {
    Vm.Executor->advance(milliseconds(1));
    CPPUNIT_ASSERT((Vm.passedTo() == names{"d1", "d2"}));
    CPPUNIT_ASSERT_EQUAL(1400U, Vm.Sent.back().second.relay().age_ms());
    if (auto Then = section("a late answer of the former VM changes nothing")) {
      Vm.answerFrom("d1", job_outcome::Refused);
      CPPUNIT_ASSERT(Vm.Answers.empty());
    }
    if (auto Then = section("a refusal of the latter is no proof that nothing has run")) {
      Vm.answerFrom("d2", job_outcome::Refused);
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    }
    if (auto Then = section("its result is the caller's answer")) {
      Vm.answerFrom("d2", job_outcome::Completed);
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Completed);
    }
  }
  if (auto When = section("when contact is back before, the job stays where it is")) {
    schema::resume_session Resume;
    Vm.Relay->resume("d1", Resume);
    CPPUNIT_ASSERT_EQUAL(1, Resume.relayed_size());
    Vm.Executor->advance(milliseconds(500));
    CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
    if (auto Then = section("unless that VM has given it up, which is no proof that its runs have ended")) {
      Vm.Relay->onAnswer("d1", makeNotHeld(Job).relayed());
      Vm.Executor->advance(milliseconds(1299));
      CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
      Vm.Executor->advance(milliseconds(1));
      CPPUNIT_ASSERT((Vm.passedTo() == names{"d1", "d2"}));
    }
  }
});

// Guards against jobs that wait out the time of a loss, or go to and fro without end, when the dispatching VM
// lags and takes nothing.
const test_case Declined("job relay: the dispatching VM does not take the job", [] {
  vm Vm;
  Vm.submit();
  auto Decline = [&Vm] { Vm.Relay->onAnswer("d1", makeNotTaken(Vm.Sent.back().second.relay()).relayed()); };
  if (auto When = section("another one has it soon")) {
    Decline();
    Vm.Dispatcher = "d2";
    Vm.Executor->advance(milliseconds(29));
    CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
    Vm.Executor->advance(milliseconds(1));
    CPPUNIT_ASSERT((Vm.passedTo() == names{"d1", "d2"}));
    if (auto Then = section("and its refusal tells that nothing has run")) {
      Vm.answerFrom("d2", job_outcome::Refused);
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
    }
  }
  if (auto When = section("at the deadline nothing has run")) {
    for (int Pass = 0; Pass < 103; ++Pass) {
      Decline();
      Vm.Executor->advance(milliseconds(30));
    }
    Decline();
    Vm.Executor->advance(milliseconds(11));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
  }
  if (auto When = section("what concerns an earlier session is ignored")) {
    auto Earlier = Vm.Sent.back().second.relay();
    Earlier.set_session(9);
    Vm.Relay->onAnswer("d1", makeNotTaken(Earlier).relayed());
    Vm.Executor->advance(milliseconds(100));
    CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
  }
});

// Guards against jobs that wait for ever, and against a refusal as "not run" of a job that may have run.
const test_case Alone("job relay: no dispatching VM in contact", [] {
  vm Vm;
  Vm.Dispatcher.clear();
  Vm.submit();
  if (auto When = section("when none appears, the job is refused as not run")) {
    Vm.Executor->advance(milliseconds(800));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
    CPPUNIT_ASSERT(Vm.Answers.at(0).Reason == end_reason::NoPlacer);
  }
  if (auto When = section("when one appears, it gets the job")) {
    Vm.Executor->advance(milliseconds(700));
    Vm.Dispatcher = "d1";
    Vm.Relay->onDispatcherFound();
    Vm.Executor->advance(milliseconds(700));
    CPPUNIT_ASSERT(Vm.Answers.empty());
    CPPUNIT_ASSERT(Vm.passedTo() == names{"d1"});
    if (auto Then = section("and when that is lost and none is left, the job is not refused as not run")) {
      Vm.Dispatcher.clear();
      Vm.Relay->onVmLost("d1");
      Vm.Executor->advance(milliseconds(2000));
      CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    }
  }
});

// Guards against work for callers who have left, and against answers after the deadline.
const test_case Ends("job relay: callers leave, deadlines pass", [] {
  vm Vm;
  Vm.submit();
  if (auto When = section("when the caller leaves, the dispatching VM is told")) {
    CPPUNIT_ASSERT(Vm.Relay->cancel(Job, end_reason::CallerLeft));
    CPPUNIT_ASSERT(Vm.Sent.back().second.has_withdraw_relayed());
    CPPUNIT_ASSERT(!Vm.Relay->contains(Job));
  }
  if (auto When = section("when no answer comes, the caller has one soon after the deadline")) {
    Vm.Executor->advance(milliseconds(3100));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    CPPUNIT_ASSERT(Vm.Sent.back().second.has_withdraw_relayed());
  }
  if (auto When = section("an answer with values that are not known counts as timed out")) {
    schema::relayed_answer Answer;
    Answer.set_end(static_cast<schema::relayed_end>(99));
    Answer.set_reason(99);
    CPPUNIT_ASSERT(answerOf(Answer).Outcome == job_outcome::TimedOut);
    CPPUNIT_ASSERT(answerOf(Answer).Reason == end_reason::None);
  }
});

} // namespace
