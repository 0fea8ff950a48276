#include "job_waiters.hpp"
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
// Memory for 4 jobs of one task.
constexpr std::uint64_t MaxRelayedBytes = 6000;

struct vm final : coordinator_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::vector<std::pair<std::string, schema::dispatch_message>> Sent;
  int CallerAnswers = 0;
  std::unique_ptr<job_coordinator> Jobs = makeJobCoordinator(*Executor, *this);
  job_waiters Waiters{*Jobs,
                      [this](const std::string &Vm, schema::dispatch_message Message) {
                        Sent.emplace_back(Vm, std::move(Message));
                      },
                      [this](job_id, const job_answer &) { ++CallerAnswers; }, MaxRelayedBytes};

  void send(const std::string &, schema::dispatch_message) override {}
  [[nodiscard]] std::string placer() const override { return "placer"; }
  [[nodiscard]] bool reachable(const std::string &) const override { return true; }
  [[nodiscard]] std::uint32_t session(const std::string &) const override { return 1; }
  [[nodiscard]] loss_verdict verdict(const task_key &) const override { return loss_verdict::Clear; }
  [[nodiscard]] loss_verdict verdict(job_id) const override { return loss_verdict::Clear; }
  [[nodiscard]] std::string describeLosses(job_id) const override { return {}; }
  void answer(job_id Id, const job_answer &Answer) override { Waiters.onAnswer(Id, Answer); }

  static job_request request() {
    job_request Request;
    Request.Job = Job;
    Request.TaskCount = 1;
    Request.Deadline = milliseconds(3000);
    return Request;
  }
  void relay(const std::string &Vm, std::uint32_t Session = 1) {
    Waiters.onRelayJob(Vm, makeRelayJob({}, request(), Session).relay());
  }
  void resume(const std::string &Vm, std::uint32_t Session, const std::vector<job_id> &Expected) {
    schema::resume_session Resume;
    Resume.set_session(Session);
    for (job_id Id : Expected)
      addRelayedJob(Resume, Id);
    Waiters.onResume(Vm, Resume);
  }
  void complete() const {
    schema::grant Grant;
    *Grant.mutable_task() = toMessage({{Job, 0}, 1});
    Grant.set_owner("owner");
    Jobs->onGrant("placer", Grant);
    schema::task_event Event;
    *Event.mutable_task() = Grant.task();
    Event.set_event(schema::RUN_DONE);
    Jobs->onEvent("owner", Event);
  }
  [[nodiscard]] const schema::relayed_answer &lastAnswer() const { return Sent.back().second.relayed(); }
};

// Guards against an answer that reaches only one of several waiters, and against a job that ends while one of
// them still waits.
const test_case Several("job waiters: a caller and a relaying VM wait for one job", [] {
  vm Vm;
  Vm.relay("r1");
  CPPUNIT_ASSERT(Vm.Waiters.submit({}, vm::request()));
  CPPUNIT_ASSERT(!Vm.Waiters.submit({}, vm::request()));
  if (auto When = section("when the job ends, both get the answer")) {
    Vm.complete();
    CPPUNIT_ASSERT_EQUAL(1, Vm.CallerAnswers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Sent.size());
    CPPUNIT_ASSERT(Vm.lastAnswer().end() == schema::RELAYED_COMPLETED);
  }
  if (auto When = section("the job goes on when one of them leaves and ends when both have left")) {
    CPPUNIT_ASSERT(Vm.Waiters.removeCaller(Job, end_reason::CallerLeft));
    CPPUNIT_ASSERT(Vm.Jobs->contains(Job));
    Vm.Waiters.onWithdrawRelayed("r1", makeWithdrawal(Job, end_reason::CallerLeft).withdraw_relayed());
    CPPUNIT_ASSERT(!Vm.Jobs->contains(Job));
  }
});

// Guards against running a job a second time because its answer was lost with the session, and against
// running jobs that no VM or caller waits for.
const test_case Sessions("job waiters: the session with a relaying VM ends", [] {
  vm Vm;
  Vm.relay("r1");
  if (auto When = section("when the VM is lost, its job ends")) {
    Vm.Waiters.onVmLost("r1");
    CPPUNIT_ASSERT(!Vm.Jobs->contains(Job));
    if (auto Then = section("and a VM that still expects it is notified that it is not held")) {
      Vm.resume("r1", 2, {Job});
      CPPUNIT_ASSERT(Vm.lastAnswer().end() == schema::RELAYED_NOT_HELD);
    }
  }
  if (auto When = section("when the VM no longer expects the job, it ends")) {
    Vm.resume("r1", 2, {});
    CPPUNIT_ASSERT(!Vm.Jobs->contains(Job));
    if (auto Then = section("and a relay message of the former session is ignored")) {
      Vm.relay("r1", 1);
      CPPUNIT_ASSERT(!Vm.Jobs->contains(Job));
    }
  }
  if (auto When =
          section("when the VM expects a job that has ended in the meantime, the answer is sent again")) {
    Vm.complete();
    Vm.Sent.clear();
    Vm.resume("r1", 2, {Job});
    CPPUNIT_ASSERT(Vm.lastAnswer().end() == schema::RELAYED_COMPLETED);
    if (auto Then = section("and when the VM relays the job again, the job does not run again")) {
      Vm.relay("r1", 2);
      CPPUNIT_ASSERT(!Vm.Jobs->contains(Job));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Sent.size());
    }
  }
});

// Guards against a job that runs after it was cancelled, because the relaying VM did not receive the answer
// and relays the job again.
const test_case Cancelled("job waiters: a job was cancelled", [] {
  vm Vm;
  Vm.relay("r1");
  if (auto When = section("by a caller's request, the VM that relays it again receives the answer")) {
    Vm.Jobs->cancel(Job, end_reason::Cancelled);
    Vm.relay("r1", 2);
    CPPUNIT_ASSERT(!Vm.Jobs->contains(Job));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Sent.size());
    CPPUNIT_ASSERT(Vm.lastAnswer().end() == schema::RELAYED_CANCELLED);
  }
  if (auto When = section("because its caller left, the job runs when it is relayed again")) {
    Vm.Waiters.onWithdrawRelayed("r1", makeWithdrawal(Job, end_reason::CallerLeft).withdraw_relayed());
    Vm.relay("r1");
    CPPUNIT_ASSERT(Vm.Jobs->contains(Job));
  }
});

// Guards against relayed jobs that together exceed the memory of the dispatching VM, against a VM whose
// callers shut out those of others, and against refusals of jobs that have run.
const test_case RelayedMemory("job waiters: the memory of relayed jobs is limited", [] {
  vm Vm;
  auto Relay = [&](const std::string &From, std::uint64_t Id) {
    job_request Request = vm::request();
    Request.Job = job_id(Id);
    Vm.Waiters.onRelayJob(From, makeRelayJob({}, Request, 1).relay());
  };
  Relay("r1", 1);
  Relay("r1", 2);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Jobs->size());
  CPPUNIT_ASSERT(Vm.Sent.empty());
  if (auto When =
          section("a VM whose jobs take as much as is free is refused, as not run and with a delay")) {
    Relay("r1", 3);
    CPPUNIT_ASSERT(!Vm.Jobs->contains(job_id(3)));
    CPPUNIT_ASSERT(Vm.lastAnswer().end() == schema::RELAYED_REFUSED);
    CPPUNIT_ASSERT(Vm.lastAnswer().retry_after_ms() >= 1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Vm.Waiters.refusedForMemory());
  }
  if (auto When = section("another VM is still served")) {
    Relay("r1", 3);
    Relay("r2", 4);
    CPPUNIT_ASSERT(Vm.Jobs->contains(job_id(4)));
  }
  if (auto When = section("a VM that joins the waiters of a job in progress is not refused")) {
    Relay("r1", 3);
    Relay("r2", 4);
    Relay("r3", 5);
    Relay("r4", 6);
    CPPUNIT_ASSERT(!Vm.Jobs->contains(job_id(6)));
    std::size_t Sent = Vm.Sent.size();
    Relay("r4", 1);
    CPPUNIT_ASSERT_EQUAL(Sent, Vm.Sent.size());
  }
  if (auto When = section("the memory of a job that ends is free again")) {
    Vm.Waiters.onVmLost("r1");
    Relay("r1", 3);
    CPPUNIT_ASSERT(Vm.Jobs->contains(job_id(3)));
  }
});

} // namespace
