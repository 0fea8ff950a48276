#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/story.hpp"

#include <algorithm>

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::cli_run;
using testing::lostConnection;
using testing::refusedConnection;
using testing::replyWith;
using testing::scripted_reply;
using testing::section;
using testing::silence;
using testing::story;

namespace {

constexpr auto Repeatable =
    R"({"service":"proofs","repeatable":true,"tasks":[{"name":"t1","kind":"a","payload":"x"}]})";
constexpr auto NotRepeatable =
    R"({"service":"proofs","repeatable":false,"tasks":[{"name":"t1","kind":"a","payload":"x"}]})";
constexpr auto Done = R"({"outcome":"done","results":[{"name":"t1","payload":"r"}]})";
constexpr auto Failed = R"({"outcome":"failed","may_have_run":true,"reason":"server_error"})";
constexpr auto Unknown = R"({"outcome":"unknown","may_have_run":true,"reason":"authority_gone"})";
constexpr auto Refused = R"({"outcome":"refused","run":false,"reason":"queue_full","retry_after_ms":100})";
constexpr auto Draining = R"({"outcome":"refused","run":false,"reason":"draining","retry_after_ms":100})";
constexpr auto Impossible = R"({"outcome":"refused","run":false,"reason":"no_fit_server"})";
constexpr auto Pending = R"({"outcome":"pending"})";

// Entry VMs that issue the ids i.d.vm.1-1.1, i.d.vm.1-1.2, … and answer submissions one after another; the
// last reply repeats.
struct entry_script {
  std::vector<scripted_reply> Submissions;
  std::size_t NextSubmission = 0;
  int Ids = 0;

  scripted_reply operator()(const wire::http_call &Call) {
    if (Call.Method == "POST")
      return replyWith(200, R"({"ids":["i.d.vm.1-1.)" + std::to_string(++Ids) + R"("],"valid_s":600})");
    std::size_t Index = std::min(NextSubmission++, Submissions.size() - 1);
    return Submissions[Index];
  }
};

struct submit_case {
  explicit submit_case(std::vector<scripted_reply> Submissions, const std::string &Document = Repeatable)
      : Script{std::move(Submissions)}, Run([this](const wire::http_call &Call) { return Script(Call); }) {
    Run.Files["job.json"] = Document;
  }
  int submit(std::vector<std::string> Options = {}) {
    std::vector<std::string> Arguments{"submit", "job.json", "--entry", "127.0.0.1:1,127.0.0.1:2"};
    Arguments.insert(Arguments.end(), Options.begin(), Options.end());
    return Run.run(Arguments);
  }
  // Paths of submissions, without repetition.
  std::vector<std::string> submittedPaths() {
    std::vector<std::string> Paths;
    for (const wire::http_call &Call : Run.Client.Calls)
      if (Call.Method == "PUT" && std::find(Paths.begin(), Paths.end(), Call.Path) == Paths.end())
        Paths.push_back(Call.Path);
    return Paths;
  }
  std::size_t submissions() {
    return static_cast<std::size_t>(std::count_if(Run.Client.Calls.begin(), Run.Client.Calls.end(),
                                                  [](const auto &Call) { return Call.Method == "PUT"; }));
  }

  entry_script Script;
  cli_run Run;
};

// Guards against an exit status that hides whether the job may have run.
const story ExitStatus("submit: exit status by outcome", [] {
  struct expectation {
    scripted_reply Reply;
    int Status;
  };
  const std::vector<expectation> Expectations = {
      {replyWith(200, Done), 0},       {replyWith(502, Failed), 3},  {replyWith(503, Refused), 4},
      {replyWith(422, Impossible), 4}, {replyWith(410, Unknown), 5}, {silence(), 5},
      {lostConnection(), 5},           {refusedConnection(), 4},     {replyWith(502, "<html>"), 5},
      {replyWith(200, "{}"), 5},
  };
  for (const expectation &Expected : Expectations) {
    submit_case Case({Expected.Reply});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Expected.Reply.Result.Body, Expected.Status, Case.submit());
    CPPUNIT_ASSERT(Expected.Status == 0 || Case.Run.Err.starts_with("yuccaplank: "));
  }
  submit_case Case({replyWith(200, Done)});
  CPPUNIT_ASSERT_EQUAL(0, Case.submit());
  CPPUNIT_ASSERT_EQUAL(std::string("t1\tr\n"), Case.Run.Out);
  CPPUNIT_ASSERT_EQUAL(std::string("POST 127.0.0.1:1 /v1/ids?count=1"), Case.Run.Client.lines().at(0));
  CPPUNIT_ASSERT_EQUAL(std::string("PUT 127.0.0.1:1 /v1/jobs/i.d.vm.1-1.1"), Case.Run.Client.lines().at(1));
});

// Guards against a second start of work whose first submission was lost.
const story LostConnection("submit: after a lost connection only the same id is used", [] {
  if (auto Given = section("given a second entry VM that answers")) {
    submit_case Case({lostConnection(), replyWith(200, Done)});
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--resubmit", "3"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"), Case.Run.Client.Calls.back().Address);
  }
  if (auto Given = section("given connections that are always lost")) {
    submit_case Case({lostConnection()});
    CPPUNIT_ASSERT_EQUAL(5, Case.submit({"--resubmit", "3", "--timeout", "3"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
    CPPUNIT_ASSERT(Case.submissions() > 2);
    CPPUNIT_ASSERT(Case.Run.Err.find("submit --id i.d.vm.1-1.1") != std::string::npos);
  }
  if (auto Given = section("given refusals by a draining VM after a lost connection")) {
    submit_case Case({lostConnection(), replyWith(503, Draining)});
    // The refusal concerns the repetition; the lost submission may have run.
    CPPUNIT_ASSERT_EQUAL(5, Case.submit({"--resubmit", "3", "--wait", "2"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
  }
  if (auto Given = section("given entry VMs that cannot be reached after a refusal of a repetition")) {
    submit_case Case({lostConnection(), replyWith(503, Refused), refusedConnection()});
    CPPUNIT_ASSERT_EQUAL(5, Case.submit({"--resubmit", "3", "--wait", "2"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
    CPPUNIT_ASSERT(Case.Run.Err.find("was refused and not run") == std::string::npos);
  }
  if (auto Given = section("given a proxy that answers in place of an entry VM")) {
    submit_case Case({replyWith(502, "<html>"), replyWith(200, Done)});
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--resubmit", "3"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
  }
  if (auto Given = section("given an accepted job whose queries are lost")) {
    submit_case Case({replyWith(202, Pending), lostConnection()});
    CPPUNIT_ASSERT_EQUAL(5, Case.submit({"--resubmit", "3", "--timeout", "2"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
  }
  if (auto Given = section("given entry VMs that cannot be reached after a lost connection")) {
    submit_case Case({lostConnection(), refusedConnection()});
    CPPUNIT_ASSERT_EQUAL(5, Case.submit({"--resubmit", "3", "--timeout", "2"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
  }
});

// Guards against repetition of work that the job does not allow, and against endless repetition.
const story NewIds("submit: new ids after failed and unknown outcomes", [] {
  if (auto Given = section("given a repeatable job")) {
    submit_case Case({replyWith(502, Failed), replyWith(410, Unknown), replyWith(200, Done)});
    if (auto When = section("when two resubmissions are allowed")) {
      CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--resubmit", "2"}));
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), Case.submittedPaths().size());
    }
    if (auto When = section("when one is allowed")) {
      CPPUNIT_ASSERT_EQUAL(5, Case.submit({"--resubmit", "1"}));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Case.submittedPaths().size());
    }
    if (auto When = section("when none is allowed")) {
      CPPUNIT_ASSERT_EQUAL(3, Case.submit());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submissions());
    }
  }
  if (auto Given = section("given a job that is not repeatable")) {
    for (const char *Outcome : {Failed, Unknown}) {
      submit_case Case({replyWith(502, Outcome), replyWith(200, Done)}, NotRepeatable);
      CPPUNIT_ASSERT_EQUAL(Outcome == Failed ? 3 : 5, Case.submit({"--resubmit", "5"}));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submissions());
    }
  }
});

// Guards against refusals that are retried too early, too long, or not at all.
const story Refusals("submit: refusals with a time to retry", [] {
  if (auto Given = section("given time to wait")) {
    submit_case Case({replyWith(503, Refused), replyWith(503, Refused), replyWith(200, Done)}, NotRepeatable);
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--wait", "1"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submittedPaths().size());
    CPPUNIT_ASSERT(Case.Run.Executor->clock().now().time_since_epoch() >= 200ms);
  }
  if (auto Given = section("given refusals for longer than the time to wait")) {
    submit_case Case({replyWith(503, Refused)});
    CPPUNIT_ASSERT_EQUAL(4, Case.submit({"--wait", "0.35"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Case.submissions());
  }
  if (auto Given = section("given a refusal that is final")) {
    submit_case Case({replyWith(422, Impossible), replyWith(200, Done)});
    CPPUNIT_ASSERT_EQUAL(4, Case.submit({"--wait", "10"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.submissions());
  }
  if (auto Given = section("given an authority that is draining")) {
    submit_case Case({replyWith(503, Draining), replyWith(200, Done)}, NotRepeatable);
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--wait", "1"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Case.submittedPaths().size());
  }
});

// Guards against ids that the caller did not choose.
const story GivenIds("submit: key, id and asynchronous submission", [] {
  submit_case Case({replyWith(202, Pending), replyWith(200, Done)});
  if (auto When = section("when a key is given")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--key", "order-7"}));
    CPPUNIT_ASSERT_EQUAL(std::string("PUT 127.0.0.1:1 /v1/jobs/k.order-7"), Case.Run.Client.lines().at(0));
    CPPUNIT_ASSERT(Case.Run.Client.lines().at(1).starts_with("GET 127.0.0.1:1 /v1/jobs/k.order-7?wait_ms="));
  }
  if (auto When = section("when an id is given")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--id", "i.d.vm.1-1.9"}));
    CPPUNIT_ASSERT_EQUAL(std::string("PUT 127.0.0.1:1 /v1/jobs/i.d.vm.1-1.9"), Case.Run.Client.lines().at(0));
  }
  if (auto When = section("when the answer is not awaited")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.submit({"--async"}));
    CPPUNIT_ASSERT_EQUAL(std::string("i.d.vm.1-1.1\n"), Case.Run.Out);
    CPPUNIT_ASSERT_EQUAL(std::string("prefer"), Case.Run.Client.Calls.at(1).Headers.at(1).Name);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Case.Run.Client.Calls.size());
  }
});

// Guards against a tool that sends a document which cannot be accepted, or hides why.
const story InvalidDocument("submit: invalid documents are refused locally", [] {
  submit_case Case({replyWith(200, Done)}, R"({"service":"proofs","tasks":[]})");
  CPPUNIT_ASSERT_EQUAL(4, Case.submit({"--json"}));
  CPPUNIT_ASSERT(Case.Run.Client.Calls.empty());
  CPPUNIT_ASSERT(Case.Run.Out.find(R"("outcome":"refused","run":false)") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(1, Case.Run.run({"submit", "missing.json", "--entry", "127.0.0.1:1"}));
});

// Guards against wrong statuses of the commands that follow a job.
const story Following("get, cancel, ids: exit status", [] {
  scripted_reply Reply;
  cli_run Run([&](const wire::http_call &) { return Reply; });
  auto Status = [&](const std::string &Command, scripted_reply Next) {
    Reply = std::move(Next);
    return Run.run({Command, "i.d.vm.1-1.1", "--entry", "127.0.0.1:1", "--timeout", "1"});
  };
  CPPUNIT_ASSERT_EQUAL(0, Status("get", replyWith(200, Done)));
  CPPUNIT_ASSERT_EQUAL(1, Status("get", replyWith(202, Pending)));
  CPPUNIT_ASSERT_EQUAL(3, Status("get", replyWith(502, Failed)));
  CPPUNIT_ASSERT_EQUAL(5, Status("get", replyWith(410, Unknown)));
  CPPUNIT_ASSERT_EQUAL(5, Status("get", refusedConnection()));
  CPPUNIT_ASSERT_EQUAL(0, Status("cancel", replyWith(502, R"({"outcome":"failed","reason":"cancelled"})")));
  CPPUNIT_ASSERT_EQUAL(0, Status("cancel", replyWith(409, R"({"outcome":"refused","reason":"cancelled"})")));
  CPPUNIT_ASSERT_EQUAL(4, Status("cancel", replyWith(404, R"({"outcome":"refused","reason":"not_found"})")));
  CPPUNIT_ASSERT_EQUAL(1, Status("cancel", replyWith(200, Done)));
  CPPUNIT_ASSERT_EQUAL(5, Status("cancel", replyWith(410, Unknown)));
  Reply = replyWith(200, R"({"ids":["a","b"],"valid_s":600})");
  Run.Out.clear();
  CPPUNIT_ASSERT_EQUAL(0, Run.run({"ids", "--entry", "127.0.0.1:1", "--count", "2"}));
  CPPUNIT_ASSERT_EQUAL(std::string("a\nb\n"), Run.Out);
  Reply = replyWith(503, Refused);
  CPPUNIT_ASSERT_EQUAL(4, Run.run({"ids", "--entry", "127.0.0.1:1"}));
});

} // namespace
