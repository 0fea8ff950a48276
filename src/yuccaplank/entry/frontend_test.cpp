#include "frontend.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/testing/unanswered_orders.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <map>

using namespace yuccaplank;
using namespace yuccaplank::entry;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr const char *Body =
    R"({"specification":"x","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimated_ms":100}]})";

// An entry VM without other VMs and without servers.
struct vm final : dispatch::entry_vm_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  testing::unanswered_orders Orders;
  std::map<wire::request_token, wire::http_reply> Replies;
  std::unique_ptr<dispatch::entry_vm> Entry;
  std::unique_ptr<frontend> Frontend;
  wire::request_token LastToken = 0;
  schema::vm_status LastStatus;
  int Answered = 0;

  vm() {
    dispatch::entry_vm_options Options;
    Options.Vm = "vm";
    Options.Address = "vm:1";
    Entry = dispatch::makeEntryVm(*Executor, *this, Options);
    frontend_handlers Handlers;
    Handlers.Reply = [this](wire::request_token Token, wire::http_reply Reply) {
      Replies.emplace(Token, std::move(Reply));
    };
    Handlers.OnAnswered = [this](const dispatch::job_answer &, runtime::duration) { ++Answered; };
    frontend_options FrontendOptions;
    FrontendOptions.MaxSpecificationBytes = 400;
    FrontendOptions.MaxTasksInProgress = 12;
    Frontend = makeFrontend(*Executor, *Entry, std::move(Handlers), FrontendOptions);
  }

  void send(const std::string &, const std::string &, schema::dispatch_message Message) override {
    if (Message.has_status())
      LastStatus = Message.status();
  }
  void disconnect(const std::string &) override {}
  dispatch::server_orders &orders() override { return Orders; }
  void answer(dispatch::job_id Job, const dispatch::job_answer &Answer) override {
    Frontend->answer(Job, Answer);
  }
  void onTermRaised(std::uint32_t) override {}
  void onServersNeeded(bool) override {}
  void onStaleRegistration(const std::string &) override {}
  void onRollCallNeeded() override {}
  void onConfigurationOffered(const schema::configuration_copy &) override {}

  // An entry VM without a registration relays its callers' jobs.
  void configure(std::uint64_t Version = 1, bool Registered = true) const {
    dispatch::configuration Configuration;
    Configuration.Version = Version;
    dispatch::queue_settings Queue;
    Queue.Name = "queue";
    Queue.Host = "host.example";
    Queue.PathPrefix = "/p/";
    Queue.Pool = "pool";
    Configuration.Queues.push_back(Queue);
    Configuration.Limits.MaxBodyBytes = 1000;
    Entry->setConfiguration(Configuration, "");
    if (Registered)
      Entry->setRegistration(1, true);
    Executor->advance(milliseconds(750));
  }

  wire::request_token request(const std::string &Method, const std::string &Path,
                              const std::string &Text = "", runtime::duration MaxUnreadTime = {},
                              const std::string &Host = "host.example:80") {
    wire::http_request Request;
    Request.Token = ++LastToken;
    Request.Method = Method;
    Request.Host = Host;
    Request.Path = Path;
    Request.Body = Text;
    Request.MaxUnreadTime = MaxUnreadTime;
    Request.Headers = {{"deadline-milliseconds", "2000"}};
    Frontend->onRequest(Request);
    return LastToken;
  }
  [[nodiscard]] int statusOf(wire::request_token Token) const {
    auto Found = Replies.find(Token);
    return Found == Replies.end() ? 0 : Found->second.Status;
  }
};

const std::string JobPath = "/p/5c0e7a21d94b36f8";

// Guards against jobs that start, or requests that get no answer or a wrong status, although the request is
// malformed or cannot be served.
const test_case Refusals("frontend: requests that cannot be served are refused", [] {
  vm Vm;
  if (auto When = section("without a configuration, the reply is 503 with a retry delay")) {
    auto Token = Vm.request("POST", JobPath, Body);
    CPPUNIT_ASSERT_EQUAL(503, Vm.statusOf(Token));
    CPPUNIT_ASSERT_EQUAL(std::string("retry-after"), Vm.Replies.at(Token).Headers.at(0).Name);
  }
  if (auto When = section("given a configuration, the status shows the reason and no job is created")) {
    Vm.configure();
    CPPUNIT_ASSERT_EQUAL(404, Vm.statusOf(Vm.request("POST", "/other/5c0e7a21d94b36f8", Body)));
    CPPUNIT_ASSERT_EQUAL(404, Vm.statusOf(Vm.request("POST", "/p/xyz", Body)));
    CPPUNIT_ASSERT_EQUAL(405, Vm.statusOf(Vm.request("PATCH", JobPath, Body)));
    CPPUNIT_ASSERT_EQUAL(413, Vm.statusOf(Vm.request("POST", JobPath, std::string(1001, ' '))));
    for (const char *Malformed :
         {"", "{}", "[]", R"({"steps":[]})", R"({"best_effort":true,"steps":[{"count":0}]})"})
      CPPUNIT_ASSERT_EQUAL(400, Vm.statusOf(Vm.request("POST", JobPath, Malformed)));
    for (const char *Unsupported :
         {R"({"steps":[{"count":1}]})", R"({"best_effort":true,"steps":[{"count":1},{"count":1}]})",
          R"({"best_effort":true,"steps":[{"count":1,"gang":true}]})",
          R"({"best_effort":true,"repetitions":2,"steps":[{"count":1}]})"})
      CPPUNIT_ASSERT_EQUAL(503, Vm.statusOf(Vm.request("POST", JobPath, Unsupported)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Entry->jobs().size());
  }
});

// Guards against callers that get 404 because they write the host in another case.
const test_case Hosts("frontend: the case of a host does not matter", [] {
  vm Vm;
  Vm.configure();
  for (const char *Host : {"host.example", "HOST.example", "Host.Example:80"})
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Vm.request("GET", "/p/", "", {}, Host)));
  CPPUNIT_ASSERT_EQUAL(404, Vm.statusOf(Vm.request("GET", "/p/", "", {}, "host.exampl")));
  if (auto Then = section("but that of a path does")) {
    CPPUNIT_ASSERT_EQUAL(404, Vm.statusOf(Vm.request("GET", "/P/")));
  }
});

// Guards against tasks that servers are told under an id that no caller has sent, and against a cancel of
// another job, because ids that differ only in the case of their digits are taken for one.
const test_case Capitals("frontend: ids that differ in the case of their digits are those of two jobs", [] {
  vm Vm;
  Vm.configure();
  const std::string OtherPath = "/p/5C0E7A21D94B36F8";
  auto First = Vm.request("POST", JobPath, Body);
  auto Other = Vm.request("POST", OtherPath, Body);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Entry->jobs().size());
  if (auto When = section("when one of them is answered")) {
    Vm.Frontend->answer(dispatch::job_id(0x5c0e7a21d94b36f8), {});
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(First));
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Other));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"queued"})"),
                         Vm.Replies.at(Vm.request("GET", OtherPath)).Body);
  }
  if (auto When = section("when the one with capitals is cancelled")) {
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Vm.request("DELETE", OtherPath)));
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Other));
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(First));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
    CPPUNIT_ASSERT_EQUAL(410, Vm.statusOf(Vm.request("DELETE", "/p/5c0e7a21d94b36F8")));
  }
});

// Guards against tasks that an earlier build starts under another id during an upgrade, because it does not
// understand an id with capitals.
const test_case CapitalsInUpgrade("frontend: an id with capitals while VMs run an earlier build", [] {
  vm Vm;
  Vm.configure();
  const std::string CapitalPath = "/p/5C0E7A21D94B36F8";
  dispatch::registered_vm Old{"old:1", "", 1000, 1, dispatch::protocol_version::Initial};
  auto Running = Vm.request("POST", CapitalPath, Body);
  if (auto Given = section("given such a VM in the store")) {
    Vm.Entry->setRegisteredVms({{"old", Old}});
    if (auto Then = section("a job that is not here yet is refused as not run")) {
      auto Token = Vm.request("POST", "/p/00000000000000AB", Body);
      CPPUNIT_ASSERT_EQUAL(503, Vm.statusOf(Token));
      CPPUNIT_ASSERT_EQUAL(std::string("retry-after"), Vm.Replies.at(Token).Headers.at(0).Name);
      CPPUNIT_ASSERT_EQUAL(std::string("5"), Vm.Replies.at(Token).Headers.at(0).Value);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
    }
    if (auto Then = section("a caller of a job in progress waits for its answer")) {
      CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Vm.request("POST", CapitalPath, Body)));
      CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Running));
    }
    if (auto Then = section("an id in lower case is served")) {
      Vm.request("POST", JobPath, Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Entry->jobs().size());
    }
    if (auto When = section("when the VM has been upgraded, the job is served")) {
      Old.Protocol = dispatch::CurrentProtocolVersion;
      Vm.Entry->setRegisteredVms({{"old", Old}});
      Vm.request("POST", "/p/00000000000000AB", Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Entry->jobs().size());
    }
  }
  if (auto Given = section("given such a VM in contact that the store does not list, the job is refused")) {
    schema::vm_status Status;
    Status.set_vm("old");
    Status.set_address("old:1");
    Status.set_greeting_echo_ms(Vm.LastStatus.clock_ms());
    Status.set_clock_ms(1);
    schema::dispatch_message Message;
    *Message.mutable_status() = Status;
    Vm.Entry->onMessage("old", "1", Message);
    Message.mutable_status()->set_greeting_echo_ms(Vm.LastStatus.clock_ms());
    Vm.Entry->onMessage("old", "1", Message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->state().VmsInContact);
    CPPUNIT_ASSERT_EQUAL(503, Vm.statusOf(Vm.request("POST", "/p/00000000000000AB", Body)));
  }
});

// Guards against a job that runs twice because it was submitted twice, and against jobs that continue after
// all their callers have left.
const test_case Callers("frontend: several callers share one job", [] {
  vm Vm;
  Vm.configure();
  auto First = Vm.request("POST", JobPath, Body);
  auto Second = Vm.request("POST", JobPath, Body);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"waiting_count":1})"), Vm.Replies.at(Vm.request("GET", "/p/")).Body);
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"queued"})"), Vm.Replies.at(Vm.request("GET", JobPath)).Body);
  if (auto When = section("when one caller leaves, the job continues for the other")) {
    Vm.Frontend->onClosed(First);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
    if (auto Then = section("when the other leaves too, the job ends")) {
      Vm.Frontend->onClosed(Second);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Entry->jobs().size());
    }
  }
  if (auto When = section("when the job is cancelled, all callers receive an answer")) {
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Vm.request("DELETE", JobPath)));
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(First));
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Second));
    CPPUNIT_ASSERT_EQUAL(2, Vm.Answered);
    CPPUNIT_ASSERT_EQUAL(410, Vm.statusOf(Vm.request("GET", JobPath)));
    CPPUNIT_ASSERT_EQUAL(410, Vm.statusOf(Vm.request("DELETE", JobPath)));
  }
  if (auto When = section("when the job has completed, a caller that resends it receives the same answer")) {
    Vm.Frontend->answer(dispatch::job_id(0x5c0e7a21d94b36f8), {});
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), Vm.Replies.at(First).Body);
    auto Resent = Vm.request("POST", JobPath, Body);
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Resent));
  }
});

// Guards against a job that starts although its caller may have sent it to another VM, and against the reply
// "not run" for a job that runs.
const test_case ReadLate("frontend: a job whose request may have been read late is refused", [] {
  vm Vm;
  Vm.configure();
  if (auto When = section("a new job is refused with a retry delay")) {
    auto Token = Vm.request("POST", JobPath, Body, milliseconds(451));
    CPPUNIT_ASSERT_EQUAL(503, Vm.statusOf(Token));
    CPPUNIT_ASSERT_EQUAL(std::string("retry-after"), Vm.Replies.at(Token).Headers.at(0).Name);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Entry->jobs().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Vm.Frontend->jobsReadLate());
  }
  if (auto When = section("a request at the bound is accepted")) {
    Vm.request("POST", JobPath, Body, milliseconds(450));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
  }
  if (auto When = section("a caller of a job in progress waits for its answer")) {
    Vm.request("POST", JobPath, Body);
    auto Second = Vm.request("POST", JobPath, Body, milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Second));
    Vm.Frontend->answer(dispatch::job_id(0x5c0e7a21d94b36f8), {});
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Second));
  }
});

// Guards against a job that runs although it was cancelled, because a request for it arrives once more.
const test_case Cancelled("frontend: a request arrives again after its job was cancelled", [] {
  vm Vm;
  Vm.configure();
  if (auto Given = section("given a VM that has answered the job")) {
    auto First = Vm.request("POST", JobPath, Body);
    if (auto When = section("when the job was cancelled here, it stays cancelled")) {
      Vm.request("DELETE", JobPath);
      CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"cancelled"})"), Vm.Replies.at(First).Body);
      auto Late = Vm.request("POST", JobPath, Body);
      CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"cancelled"})"), Vm.Replies.at(Late).Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Entry->jobs().size());
      if (auto Then = section("until the answer is no longer kept")) {
        Vm.Executor->advance(frontend_options().AnswerRetention);
        // Answers expire when another one is kept.
        Vm.request("POST", "/p/0000000000000001", Body);
        Vm.request("DELETE", "/p/0000000000000001");
        Vm.request("POST", JobPath, Body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
      }
    }
    if (auto When = section("when another VM has cancelled it, it stays cancelled")) {
      Vm.Frontend->answer(dispatch::job_id(0x5c0e7a21d94b36f8),
                          {dispatch::job_outcome::Cancelled, dispatch::end_reason::Cancelled, 0, {}, false});
      CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(First));
      CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"cancelled"})"),
                           Vm.Replies.at(Vm.request("POST", JobPath, Body)).Body);
    }
    if (auto When = section("when its caller has left, the job runs again")) {
      Vm.Frontend->onClosed(First);
      auto Again = Vm.request("POST", JobPath, Body);
      CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Again));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
    }
  }
  if (auto Given = section("given a VM that has cancelled the job for a caller of another one")) {
    dispatch::job_request Request;
    Request.Job = dispatch::job_id(0x5c0e7a21d94b36f8);
    Request.TaskCount = 1;
    Request.Deadline = milliseconds(2000);
    Vm.Entry->jobs().submit(Vm.Entry->currentConfiguration()->Queues.front(), Request);
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(Vm.request("DELETE", JobPath)));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"cancelled"})"),
                         Vm.Replies.at(Vm.request("POST", JobPath, Body)).Body);
  }
  if (auto Given = section("given a cancel that found no job, the job runs")) {
    CPPUNIT_ASSERT_EQUAL(410, Vm.statusOf(Vm.request("DELETE", JobPath)));
    Vm.request("POST", JobPath, Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->jobs().size());
  }
});

std::string makeBody(std::size_t SpecificationBytes, int Tasks) {
  return fmt::format(
      R"({{"specification":"{}","best_effort":true,"steps":[{{"count":{},"cpu":1000,"estimated_ms":100}}]}})",
      std::string(SpecificationBytes, 'x'), Tasks);
}

// Guards against jobs of untrusted callers that take the memory of the VM, and against legal ones that are
// refused.
const test_case JobMemory("frontend: the memory of jobs in progress is limited", [] {
  vm Vm;
  Vm.configure();
  if (auto When = section("a specification over the limit is malformed")) {
    CPPUNIT_ASSERT_EQUAL(400, Vm.statusOf(Vm.request("POST", JobPath, makeBody(401, 1))));
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Vm.request("POST", JobPath, makeBody(400, 1))));
  }
  if (auto When = section("a single job is accepted whatever its tasks"))
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Vm.request("POST", JobPath, makeBody(1, 13))));
  if (auto When = section("jobs whose tasks exceed the limit are refused until others have ended")) {
    auto First = Vm.request("POST", "/p/0000000000000001", makeBody(1, 10));
    CPPUNIT_ASSERT_EQUAL(503, Vm.statusOf(Vm.request("POST", "/p/0000000000000002", makeBody(1, 3))));
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Vm.request("POST", "/p/0000000000000001", makeBody(1, 10))));
    Vm.Frontend->answer(dispatch::job_id(1), {});
    CPPUNIT_ASSERT_EQUAL(200, Vm.statusOf(First));
    auto Left = Vm.request("POST", "/p/0000000000000003", makeBody(1, 12));
    Vm.Frontend->onClosed(Left);
    CPPUNIT_ASSERT_EQUAL(0, Vm.statusOf(Vm.request("POST", "/p/0000000000000002", makeBody(1, 12))));
  }
  if (auto When = section("the tasks of a caller that leaves a relaying VM are counted off once")) {
    vm Relay;
    Relay.configure(1, false);
    Relay.Frontend->onClosed(Relay.request("POST", "/p/0000000000000001", makeBody(1, 12)));
    Relay.request("POST", "/p/0000000000000002", makeBody(1, 1));
    CPPUNIT_ASSERT_EQUAL(0, Relay.statusOf(Relay.request("POST", "/p/0000000000000003", makeBody(1, 11))));
  }
});

// Guards against memory that grows with each caller that leaves before its answer.
const test_case LeavingCallers("frontend: nothing is kept of callers that leave", [] {
  vm Vm;
  Vm.configure();
  for (std::uint64_t Id = 1; Id <= 1000; ++Id) {
    auto Token = Vm.request("POST", fmt::format("/p/{:016x}", Id), Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Frontend->pendingJobs());
    Vm.Frontend->onClosed(Token);
  }
  Vm.Executor->advance(milliseconds(100));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Frontend->pendingJobs());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Frontend->pendingCallers());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Vm.Entry->jobs().size());
});

// Guards against an older configuration that replaces a newer one, as a VM that is behind may offer it.
const test_case Versions("frontend: an older configuration is ignored", [] {
  vm Vm;
  Vm.configure(5);
  Vm.Entry->setConfiguration({}, "");
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Vm.Entry->currentConfiguration()->Version);
});

} // namespace
