#include "yuccaplank/dispatch/fleet_view.hpp"
#include "yuccaplank/dispatch/job_coordinator.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <set>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr std::uint64_t Job = 7;
run_key runOf(std::uint32_t Index, std::uint32_t Run) { return {{Job, Index}, Run}; }

struct vm final : coordinator_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::vector<std::pair<std::string, schema::dispatch_message>> Sent;
  std::vector<job_answer> Answers;
  std::string Placer = "placer";
  std::set<std::string> Unreachable;
  std::unique_ptr<job_coordinator> Jobs = makeJobCoordinator(*Executor, *this);

  void send(const std::string &Vm, schema::dispatch_message Message) override {
    Sent.emplace_back(Vm, std::move(Message));
  }
  [[nodiscard]] std::string placer() const override { return Placer; }
  [[nodiscard]] bool reachable(const std::string &Vm) const override { return !Unreachable.contains(Vm); }
  [[nodiscard]] std::uint32_t session(const std::string &) const override { return 1; }
  void answer(std::uint64_t, const job_answer &Answer) override { Answers.push_back(Answer); }

  void submit(std::uint32_t Tasks) const {
    queue_settings Queue;
    Queue.Name = "queue";
    Queue.MaxAttempts = 2;
    job_request Request;
    Request.Job = Job;
    Request.TaskCount = Tasks;
    Request.EstimateMs = 100;
    Request.Deadline = milliseconds(3000);
    Jobs->submit(Queue, Request);
  }
  void grant(const run_key &Run, const std::string &Owner = "owner", std::uint64_t Token = 5) const {
    schema::grant Grant;
    *Grant.mutable_task() = toMessage(Run);
    Grant.set_server("s1");
    Grant.set_owner(Owner);
    Grant.set_token(Token);
    Jobs->onGrant(Placer, Grant);
  }
  void event(const run_key &Run, schema::run_event Event, const std::string &Owner = "owner",
             const std::string &Server = "s1") const {
    schema::task_event Message;
    *Message.mutable_task() = toMessage(Run);
    Message.set_event(Event);
    Message.set_server(Server);
    Jobs->onEvent(Owner, Message);
  }
  // Claim of another owner under a token, with what runs on the server.
  void adopt(const std::string &Owner, std::uint64_t Token, const std::vector<run_key> &Running) const {
    schema::adopt_request Request;
    Request.set_server("s1");
    Request.set_token(Token);
    for (const run_key &Run : Running)
      *Request.add_running() = toMessage(Run);
    Jobs->onAdopt(Owner, Request);
  }
  // Run numbers of task 0 in the order in which it was told to the placer.
  [[nodiscard]] std::vector<std::uint32_t> placedRuns() const {
    std::vector<std::uint32_t> Runs;
    for (const auto &[Vm, Message] : Sent)
      if (Message.has_place())
        for (const schema::task_run &Task : Message.place().tasks())
          if (Task.index() == 0)
            Runs.push_back(Task.run());
    return Runs;
  }
  [[nodiscard]] std::size_t count(bool (schema::dispatch_message::*Has)() const) const {
    std::size_t Count = 0;
    for (const auto &[Vm, Message] : Sent)
      Count += (Message.*Has)() ? 1 : 0;
    return Count;
  }
};

// Guards against a second run beside the first when an owner tells the end of an earlier submission's run,
// which had the same number on another server.
const test_case OtherServer("job coordinator: an end on another server", [] {
  vm Vm;
  Vm.submit(1);
  Vm.grant(runOf(0, 1));
  Vm.event(runOf(0, 1), schema::RUN_GONE, "owner", "s2");
  CPPUNIT_ASSERT(Vm.placedRuns() == std::vector<std::uint32_t>{1});
  Vm.event(runOf(0, 1), schema::RUN_DONE);
  CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Completed);
});

// Guards against partial answers, and against a job that is failed before its attempts are used up.
const test_case Answers("job coordinator: answers", [] {
  vm Vm;
  Vm.submit(2);
  Vm.grant(runOf(0, 1));
  Vm.grant(runOf(1, 1));
  Vm.event(runOf(0, 1), schema::RUN_DONE);
  CPPUNIT_ASSERT(Vm.Answers.empty());
  if (auto When = section("when the last task is done, the job is completed")) {
    Vm.event(runOf(1, 1), schema::RUN_DONE);
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Completed);
  }
  if (auto When = section("when a task fails as often as allowed, the job has failed at once")) {
    Vm.event(runOf(1, 1), schema::RUN_FAILED);
    CPPUNIT_ASSERT(Vm.Answers.empty());
    Vm.grant(runOf(1, 2));
    Vm.event(runOf(1, 2), schema::RUN_FAILED);
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Failed);
  }
  if (auto When = section("when the deadline passes, its runs are stopped and the answer is no refusal")) {
    Vm.Executor->advance(milliseconds(3000));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::TimedOut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.count(&schema::dispatch_message::has_stop));
  }
  if (auto When = section("when the caller leaves, its runs are stopped")) {
    Vm.Jobs->cancel(Job, end_reason::CallerLeft);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.count(&schema::dispatch_message::has_stop));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Jobs->size());
  }
});

// Guards against "not run" about a job of which a start order has left.
const test_case Refusal("job coordinator: refusals are true", [] {
  vm Vm;
  Vm.submit(2);
  schema::reject_job Rejection;
  Rejection.set_job(Job);
  Rejection.set_reason(schema::REJECT_NO_ROOM_IN_TIME);
  if (auto When = section("when nothing has begun, the job is refused at once")) {
    Vm.Jobs->onReject(Rejection);
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
  }
  if (auto When = section("when a grant has crossed the rejection, the other task is told again")) {
    Vm.grant(runOf(0, 1));
    Vm.Jobs->onReject(Rejection);
    CPPUNIT_ASSERT(Vm.Answers.empty());
    CPPUNIT_ASSERT(Vm.Sent.back().second.place().started());
  }
  if (auto When = section("when the owner is out of reach, the grant is declined and nothing has begun")) {
    Vm.Unreachable.insert("owner");
    Vm.grant(runOf(0, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.count(&schema::dispatch_message::has_decline));
    Vm.Jobs->onReject(Rejection);
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
  }
});

// Guards against waiting for ever without a placer.
const test_case NoPlacer("job coordinator: no placer in sight", [] {
  vm Vm;
  Vm.Placer.clear();
  Vm.submit(1);
  if (auto When = section("when one appears soon, the job goes on")) {
    Vm.Executor->advance(milliseconds(200));
    Vm.Placer = "placer";
    Vm.Jobs->onPlacerChanged();
    Vm.Executor->advance(milliseconds(200));
    CPPUNIT_ASSERT(Vm.Answers.empty());
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1} == Vm.placedRuns()));
  }
  if (auto When = section(
          "when none does within the introduction of a fleet that has just started, the job is refused")) {
    Vm.Executor->advance(milliseconds(700));
    CPPUNIT_ASSERT(Vm.Answers.empty());
    Vm.Executor->advance(milliseconds(100));
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Refused);
  }
});

// Guards against two runs of one task when messages about owners overtake each other.
const test_case Owners("job coordinator: a server changes its owner", [] {
  vm Vm;
  Vm.submit(1);
  Vm.grant(runOf(0, 1));
  if (auto When = section("when the new owner lists the run, it goes on there")) {
    Vm.adopt("new", 6, {runOf(0, 1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.count(&schema::dispatch_message::has_adopted));
    Vm.event(runOf(0, 1), schema::RUN_DONE, "owner");
    CPPUNIT_ASSERT(Vm.Answers.empty());
    Vm.event(runOf(0, 1), schema::RUN_DONE, "new");
    CPPUNIT_ASSERT(Vm.Answers.at(0).Outcome == job_outcome::Completed);
  }
  if (auto When = section("when the new owner does not list it, it never runs and is placed again")) {
    Vm.adopt("new", 6, {});
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1, 2} == Vm.placedRuns()));
  }
  if (auto When = section("when a claim arrives that is older than the order, it says nothing of the run")) {
    Vm.adopt("former", 4, {});
    Vm.adopt("owner", 5, {});
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1} == Vm.placedRuns()));
  }
  if (auto When = section("when the owner yields under an older claim, the run is not concerned")) {
    schema::yield_server Yield;
    Yield.set_server("s1");
    Yield.set_token(4);
    Vm.Jobs->onYield("owner", Yield);
    Vm.Executor->advance(milliseconds(1200));
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1} == Vm.placedRuns()));
  }
  if (auto When = section("when the owner yields one run, others on the server are not concerned")) {
    schema::yield_server Yield;
    Yield.set_server("s1");
    *Yield.mutable_run() = toMessage(runOf(3, 1));
    Vm.Jobs->onYield("owner", Yield);
    Vm.Executor->advance(milliseconds(1200));
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1} == Vm.placedRuns()));
  }
});

// Guards against a second run before the first has certainly ended, and against waiting for ever.
const test_case Lost("job coordinator: the owner is lost", [] {
  vm Vm;
  Vm.submit(1);
  Vm.grant(runOf(0, 1));
  Vm.Jobs->onVmLost("owner");
  Vm.Executor->advance(milliseconds(1099));
  CPPUNIT_ASSERT((std::vector<std::uint32_t>{1} == Vm.placedRuns()));
  if (auto When = section("after its lease and its owner's limit the run is placed again")) {
    Vm.Executor->advance(milliseconds(1));
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1, 2} == Vm.placedRuns()));
    if (auto Then = section("and what is heard of the former run changes nothing")) {
      Vm.event(runOf(0, 1), schema::RUN_DONE);
      CPPUNIT_ASSERT(Vm.Answers.empty());
    }
  }
  if (auto When = section("when contact is back before, the run is counted on again")) {
    Vm.Jobs->onVmResumed("owner", {});
    CPPUNIT_ASSERT_EQUAL(1, Vm.Sent.back().second.resume().runs_size());
    Vm.Executor->advance(milliseconds(500));
    CPPUNIT_ASSERT((std::vector<std::uint32_t>{1} == Vm.placedRuns()));
  }
});

} // namespace
