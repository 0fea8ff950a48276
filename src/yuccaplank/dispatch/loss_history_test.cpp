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

// Time on a server's clock at which runs that were lost there have ended.
constexpr std::int64_t LostAtMs = 5000;

struct vm {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  loss_history History{Executor->clock(), {.MaxServers = 8}};

  void record(const schema::lost_server &Server) {
    schema::lost_servers Message;
    *Message.add_servers() = Server;
    History.record(Message);
  }
  void lose(const std::string &Server, schema::server_loss Loss = schema::LOSS_RESTARTED,
            std::int64_t Start = 1, const std::vector<run_key> &Runs = {{Task, 1}},
            std::int64_t LostAtClockMs = LostAtMs, bool Begun = true) {
    server_loss_report Report{Server, Start, Loss, LostAtClockMs, {}};
    for (const run_key &Run : Runs)
      Report.Runs.push_back({Run, Begun});
    record(toMessage(Report));
  }
  // The server replies to this VM, which tells itself and Other what that settles.
  bool reply(const std::string &Server, std::int64_t Start, std::int64_t ClockMs, vm *Other = nullptr) {
    auto Settled = History.settle(Server, Start, ClockMs);
    if (!Settled)
      return false;
    if (Other)
      Other->record(*Settled);
    record(*Settled);
    return true;
  }
  [[nodiscard]] bool isGivenUp(const task_key &Key = Task) const {
    return History.verdict(Key) == loss_verdict::GivenUp;
  }
};

// Guards against a task that crashes one server after the other, and against a task that is given up although
// the same crash is reported twice.
const test_case Limits("loss history: a task is given up", [] {
  vm Vm;
  if (auto When = section("when two servers have crashed under it")) {
    Vm.lose("s1");
    CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspect);
    Vm.lose("s2");
    CPPUNIT_ASSERT(Vm.isGivenUp() && Vm.History.verdict(Job) == loss_verdict::GivenUp);
    CPPUNIT_ASSERT(!Vm.isGivenUp({Job, 0}) && Vm.History.verdict(OtherJob) == loss_verdict::Clear);
  }
  if (auto When = section("when two incarnations of one server have crashed under it")) {
    Vm.lose("s1", schema::LOSS_RESTARTED, 1);
    Vm.lose("s1", schema::LOSS_RESTARTED, 2);
    CPPUNIT_ASSERT(Vm.isGivenUp());
  }
  if (auto When = section("not when one crash is reported twice")) {
    Vm.lose("s1");
    Vm.lose("s1");
    CPPUNIT_ASSERT(!Vm.isGivenUp());
  }
  if (auto When = section("not when one of them had not confirmed the start, but then nothing starts")) {
    Vm.lose("s1");
    Vm.lose("s2", schema::LOSS_RESTARTED, 1, {{Task, 2}}, LostAtMs, false);
    CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspended);
    vm Other;
    Other.History.record(Vm.History.recent());
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Suspended);
    Vm.lose("s2", schema::LOSS_RESTARTED, 1, {{Task, 2}});
    CPPUNIT_ASSERT(Vm.isGivenUp());
  }
  if (auto When =
          section("when servers that refused connections or were silent turn out to have restarted")) {
    Vm.lose("s1", schema::LOSS_REFUSED);
    Vm.lose("s2", schema::LOSS_SILENT);
    CPPUNIT_ASSERT(Vm.reply("s1", 2, 10) && !Vm.isGivenUp());
    CPPUNIT_ASSERT(Vm.reply("s2", 2, 10) && Vm.isGivenUp());
  }
});

// Guards against jobs that fail because connections to their servers were refused or reset on a path that was
// cut, and against tasks that crash a server after the other while nothing is known of the former ones.
const test_case Suspension("loss history: a task is suspended while crashes are open", [] {
  vm Vm;
  Vm.lose("s1", schema::LOSS_REFUSED);
  CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspect);
  Vm.lose("s2", schema::LOSS_REFUSED);
  CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspended);
  if (auto When = section("a reply of the same incarnation takes the loss back")) {
    CPPUNIT_ASSERT(Vm.reply("s1", 1, LostAtMs + 1));
    CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspect);
    CPPUNIT_ASSERT(Vm.reply("s2", 1, LostAtMs + 1));
    CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Clear);
    CPPUNIT_ASSERT(!Vm.reply("s2", 1, LostAtMs + 2));
    if (auto Then = section("but not a later one of the same incarnation")) {
      Vm.lose("s1", schema::LOSS_REFUSED, 1, {{Task, 3}}, LostAtMs + 2000);
      Vm.lose("s2", schema::LOSS_REFUSED, 1, {{Task, 4}}, LostAtMs + 2000);
      CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspended);
    }
  }
  if (auto When = section("a reply from before the end of the lost runs takes nothing back")) {
    CPPUNIT_ASSERT(!Vm.reply("s1", 1, LostAtMs));
    CPPUNIT_ASSERT(Vm.History.verdict(Task) == loss_verdict::Suspended);
  }
  if (auto When = section("a reply settles the loss on other VMs, whichever arrives first")) {
    vm Other;
    Vm.reply("s1", 1, LostAtMs + 1, &Other);
    Other.lose("s1", schema::LOSS_REFUSED);
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Clear);
    Vm.reply("s2", 2, 10, &Other);
    Other.lose("s2", schema::LOSS_REFUSED);
    Other.lose("s3");
    CPPUNIT_ASSERT(Other.isGivenUp());
  }
  if (auto When = section("silent servers count, too, from the fourth on")) {
    vm Other;
    for (const char *Server : {"s1", "s2", "s3"})
      Other.lose(Server, schema::LOSS_SILENT);
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Clear);
    Other.lose("s4", schema::LOSS_SILENT);
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Suspended);
    Other.reply("s1", 1, LostAtMs + 1);
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Clear);
  }
  if (auto When = section("a loss without a time on the server's clock is taken back seconds later")) {
    vm Other;
    Other.lose("s1", schema::LOSS_REFUSED, 1, {{Task, 1}}, 0);
    CPPUNIT_ASSERT(!Other.reply("s1", 1, LostAtMs));
    Other.Executor->advance(seconds(2));
    vm Third;
    Third.lose("s1", schema::LOSS_REFUSED, 1, {{Task, 1}}, 0);
    CPPUNIT_ASSERT(Other.reply("s1", 1, LostAtMs, &Third));
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Clear);
    CPPUNIT_ASSERT(Third.History.verdict(Task) == loss_verdict::Clear);
  }
  if (auto When = section("a crash that an earlier build tells may be a refused connection")) {
    vm Other;
    for (const char *Server : {"s1", "s2"}) {
      schema::lost_server Lost = toMessage({Server, 1, schema::LOSS_RESTARTED, 0, {{{Task, 1}, true}}});
      Lost.set_certain(false);
      Other.record(Lost);
    }
    CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Suspended);
    if (auto Then = section("and its runs may never have begun, also when the servers have restarted")) {
      for (const char *Server : {"s1", "s2"})
        CPPUNIT_ASSERT(Other.reply(Server, 2, 10));
      CPPUNIT_ASSERT(Other.History.verdict(Task) == loss_verdict::Suspended);
    }
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
  CPPUNIT_ASSERT(Other.isGivenUp());
  if (auto Then = section("counts no longer because a loss is settled late")) {
    Vm.lose("s1", schema::LOSS_REFUSED, 5, {{Task, 1}});
    Vm.Executor->advance(seconds(50));
    CPPUNIT_ASSERT(Vm.reply("s1", 6, 10));
    Vm.Executor->advance(seconds(11));
    CPPUNIT_ASSERT(Vm.History.forgetExpired() && Vm.History.verdict(Task) == loss_verdict::Clear);
  }
  if (auto Then = section("includes what settles the losses")) {
    Vm.lose("s3", schema::LOSS_REFUSED, 1, {{{OtherJob, 0}, 1}});
    Vm.reply("s3", 1, LostAtMs + 1);
    vm Third;
    Third.lose("s3", schema::LOSS_REFUSED, 1, {{{OtherJob, 0}, 1}});
    Third.History.record(Vm.History.recent());
    CPPUNIT_ASSERT(Third.History.verdict(OtherJob) == loss_verdict::Clear && Third.isGivenUp());
  }
  if (auto Then = section("counts for a minute after the loss, not after the message")) {
    Other.Executor->advance(seconds(31));
    Other.lose("s3", schema::LOSS_RESTARTED, 1, {{{OtherJob, 0}, 1}});
    CPPUNIT_ASSERT(!Other.isGivenUp());
    CPPUNIT_ASSERT_EQUAL(2, Other.History.recent().servers_size());
  }
  if (auto Then = section("is limited in number, the latest losses first")) {
    for (int Index = 0; Index < 20; ++Index) {
      Other.Executor->advance(milliseconds(1));
      Other.lose(std::to_string(Index), schema::LOSS_RESTARTED, 1, {{{OtherJob, 0}, 1}});
    }
    CPPUNIT_ASSERT_EQUAL(8, Other.History.recent().servers_size());
    CPPUNIT_ASSERT(Other.History.verdict(Job) == loss_verdict::Clear && Other.isGivenUp({OtherJob, 0}));
  }
  if (auto Then = section("is limited in number, but a settled loss makes room first")) {
    for (int Index = 0; Index < 20; ++Index) {
      std::string Server = std::to_string(Index);
      Other.lose(Server, schema::LOSS_REFUSED, 1, {{{OtherJob, 0}, 1}});
      CPPUNIT_ASSERT(Other.reply(Server, 1, LostAtMs + 1));
    }
    CPPUNIT_ASSERT(Other.isGivenUp());
  }
});

} // namespace
