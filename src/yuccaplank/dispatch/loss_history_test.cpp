#include "loss_history.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::section;
using testing::test_case;

namespace {

constexpr job_id Job(7);
constexpr job_id OtherJob(Job.digits() + 1);
constexpr task_key Task{Job, 1};

struct vm {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  loss_history History{Executor->clock(), {.MaxServers = 8}};

  void lose(const std::string &Server, schema::server_loss Loss = schema::LOSS_RESTARTED,
            std::int64_t Start = 1, const std::vector<run_key> &Runs = {{Task, 1}}) {
    server_loss_report Report{Server, Start, Loss, 0, {}};
    for (const run_key &Run : Runs)
      Report.Runs.push_back({Run, true});
    schema::lost_servers Message;
    *Message.add_servers() = toMessage(Report);
    History.record(Message);
  }
};

// Guards against a task that crashes one server after the other, and against a task that is given up although
// its servers are only cut off or the same crash is reported twice.
const test_case Limits("loss history: a task is given up", [] {
  vm Vm;
  if (auto When = section("when two servers have crashed under it")) {
    Vm.lose("s1");
    CPPUNIT_ASSERT(!Vm.History.isGivenUp(Task));
    Vm.lose("s2");
    CPPUNIT_ASSERT(Vm.History.isGivenUp(Task) && Vm.History.isAnyTaskGivenUp(Job));
    CPPUNIT_ASSERT(!Vm.History.isGivenUp({Job, 0}) && !Vm.History.isAnyTaskGivenUp(OtherJob));
  }
  if (auto When = section("when two incarnations of one server have crashed under it")) {
    Vm.lose("s1", schema::LOSS_RESTARTED, 1);
    Vm.lose("s1", schema::LOSS_RESTARTED, 2);
    CPPUNIT_ASSERT(Vm.History.isGivenUp(Task));
  }
  if (auto When = section("not when one crash is reported twice")) {
    Vm.lose("s1");
    Vm.lose("s1");
    CPPUNIT_ASSERT(!Vm.History.isGivenUp(Task));
  }
  if (auto When = section("not before the fourth silent server")) {
    for (const char *Server : {"s1", "s2", "s3"})
      Vm.lose(Server, schema::LOSS_SILENT);
    CPPUNIT_ASSERT(!Vm.History.isGivenUp(Task));
    Vm.lose("s4", schema::LOSS_SILENT);
    CPPUNIT_ASSERT(Vm.History.isGivenUp(Task));
  }
  if (auto When = section("when silent servers turn out to have crashed")) {
    Vm.lose("s1", schema::LOSS_SILENT);
    Vm.lose("s2", schema::LOSS_SILENT);
    Vm.lose("s1", schema::LOSS_RESTARTED);
    Vm.lose("s2", schema::LOSS_RESTARTED);
    CPPUNIT_ASSERT(Vm.History.isGivenUp(Task));
  }
});

// Guards against a VM that knows nothing of the crashes before it started, and against memory that grows.
const test_case Exchange("loss history: what a VM tells another one", [] {
  vm Vm;
  Vm.lose("s1");
  Vm.Executor->advance(seconds(30));
  Vm.lose("s2");
  vm Other;
  Other.History.record(Vm.History.recent());
  CPPUNIT_ASSERT(Other.History.isGivenUp(Task));
  if (auto Then = section("counts for a minute after the loss, not after the message")) {
    Other.Executor->advance(seconds(31));
    Other.lose("s3", schema::LOSS_RESTARTED, 1, {{{OtherJob, 0}, 1}});
    CPPUNIT_ASSERT(!Other.History.isGivenUp(Task));
    CPPUNIT_ASSERT_EQUAL(2, Other.History.recent().servers_size());
  }
  if (auto Then = section("is limited in number, the latest losses first")) {
    for (int Index = 0; Index < 20; ++Index) {
      Other.Executor->advance(milliseconds(1));
      Other.lose(std::to_string(Index), schema::LOSS_RESTARTED, 1, {{{OtherJob, 0}, 1}});
    }
    CPPUNIT_ASSERT_EQUAL(8, Other.History.recent().servers_size());
    CPPUNIT_ASSERT(!Other.History.isAnyTaskGivenUp(Job) && Other.History.isAnyTaskGivenUp(OtherJob));
  }
});

} // namespace
