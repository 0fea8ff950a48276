#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/story.hpp"

#include <fmt/format.h>

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::cli_run;
using testing::lostConnection;
using testing::refusedConnection;
using testing::replyWith;
using testing::scripted_reply;
using testing::section;
using testing::story;

namespace {

std::string document(int Weight) {
  return fmt::format(R"({{"service":"proofs","team":"glass","pool":"p","weight":{}}})", Weight);
}

std::string revision(int Number, const std::string &Change, int Weight) {
  return fmt::format(R"({{"revision":{},"change_id":"{}","committed_ms":1700000000000,"document":{}}})",
                     Number, Change, document(Weight));
}

// An operator listener with service "proofs" at revision 4 and weight 1.
struct service_case {
  service_case() : Run([this](const wire::http_call &Call) { return answer(Call); }) {
    Run.Files["new.json"] = "// heavier\n" + document(2);
    Run.Files["same.json"] = document(1);
    Run.Files["bad.json"] = "{\n\"service\":\"proofs\",\n\"wieght\":2}";
  }
  scripted_reply answer(const wire::http_call &Call) {
    if (Call.Method == "PUT")
      return Puts.size() > 1 ? take() : Puts.front();
    if (Call.Path == "/v1/services/proofs/rollout")
      return replyWith(200, Rollout);
    if (Call.Path == "/v1/services/proofs/history")
      return replyWith(200, R"({"revisions":[)" + revision(3, "c3", 7) + "," + revision(4, "c4", 1) + "]}");
    return replyWith(Current.empty() ? 404 : 200, Current.empty() ? R"({"reason":"not_found"})" : Current);
  }
  scripted_reply take() {
    scripted_reply Reply = Puts.front();
    Puts.erase(Puts.begin());
    return Reply;
  }
  int run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--operator", "127.0.0.1:1", "--token", "secret"});
    return Run.run(Arguments);
  }
  std::vector<std::string> puts() {
    std::vector<std::string> Paths;
    for (const wire::http_call &Call : Run.Client.Calls)
      if (Call.Method == "PUT")
        Paths.push_back(Call.Path);
    return Paths;
  }

  std::string Current = revision(4, "c4", 1);
  std::string Rollout = R"({"vms":[{"vm":"vm1","revision":5},{"vm":"vm2","revision":5}],"silent":[]})";
  std::vector<scripted_reply> Puts{replyWith(200, revision(5, "change1", 2))};
  cli_run Run;
};

const std::string ApplyPath = "/v1/services/proofs?expected=4&change=change1";

// Guards against an apply without a look at the changes, and against a wrong expected revision.
const story Apply("service apply: shows and commits the changes", [] {
  service_case Case;
  if (auto When = section("when it is confirmed by --yes")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "new.json", "--yes"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("Changes against revision 4:\n~ weight: 1 -> 2\nproofs has revision 5\n"), Case.Run.Out);
    CPPUNIT_ASSERT_EQUAL(ApplyPath, Case.puts().at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"), Case.Run.Client.Calls.back().Headers.at(0).Value);
  }
  if (auto When = section("when it is a dry run")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "new.json", "--dry-run"}));
    CPPUNIT_ASSERT(Case.puts().empty());
  }
  if (auto When = section("when nobody can be asked")) {
    CPPUNIT_ASSERT_EQUAL(2, Case.run({"service", "apply", "new.json"}));
    CPPUNIT_ASSERT(Case.puts().empty());
  }
  if (auto When = section("when the operator declines")) {
    Case.Run.Terminal = true;
    CPPUNIT_ASSERT_EQUAL(1, Case.run({"service", "apply", "new.json"}));
    CPPUNIT_ASSERT(Case.puts().empty());
  }
  if (auto When = section("when nothing differs")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "same.json", "--yes"}));
    CPPUNIT_ASSERT(Case.puts().empty());
  }
  if (auto When = section("when the document is invalid")) {
    CPPUNIT_ASSERT_EQUAL(1, Case.run({"service", "apply", "bad.json", "--yes"}));
    CPPUNIT_ASSERT(Case.Run.Client.Calls.empty());
    CPPUNIT_ASSERT(Case.Run.Err.find("line 3: wieght: unknown_field") != std::string::npos);
  }
  if (auto When = section("when the service is new")) {
    Case.Current.clear();
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "new.json", "--yes"}));
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/services/proofs?expected=0&change=change1"), Case.puts().at(0));
  }
});

// Guards against a lost update, and against a conflict that does not show the other operator's change.
const story ApplyConflict("service apply: conflict", [] {
  service_case Case;
  Case.Puts = {replyWith(409, R"({"reason":"revision_conflict","current":)" + revision(6, "c6", 9) + "}")};
  CPPUNIT_ASSERT_EQUAL(6, Case.run({"service", "apply", "new.json", "--yes"}));
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.puts().size());
  CPPUNIT_ASSERT(Case.Run.Err.find("revision_conflict; revision 6 of change c6") != std::string::npos);
  CPPUNIT_ASSERT(Case.Run.Err.find("~ weight: 9 -> 2") != std::string::npos);
});

// Guards against a change that is applied twice or reported wrongly when replies are lost.
const story OpenOutcome("service apply: open outcomes are repeated with the same change id", [] {
  service_case Case;
  auto Unavailable = replyWith(503, R"({"reason":"platform_unavailable"})");
  if (auto When = section("when a later repetition is answered")) {
    Case.Puts = {lostConnection(), Unavailable, replyWith(200, revision(5, "change1", 2))};
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "new.json", "--yes"}));
    CPPUNIT_ASSERT(Case.puts() == std::vector<std::string>(3, ApplyPath));
  }
  if (auto When = section("when the outcome stays open")) {
    Case.Puts = {Unavailable};
    CPPUNIT_ASSERT_EQUAL(5, Case.run({"service", "apply", "new.json", "--yes", "--timeout", "5"}));
    CPPUNIT_ASSERT(Case.Run.Err.find("--change change1") != std::string::npos);
  }
  if (auto When = section("when the VM cannot be reached after a lost connection")) {
    Case.Puts = {lostConnection(), refusedConnection()};
    CPPUNIT_ASSERT_EQUAL(5, Case.run({"service", "apply", "new.json", "--yes", "--timeout", "5"}));
  }
  if (auto When = section("when an internal error is repeated")) {
    Case.Puts = {replyWith(503, R"({"reason":"internal"})")};
    CPPUNIT_ASSERT_EQUAL(5, Case.run({"service", "apply", "new.json", "--yes", "--timeout", "5"}));
  }
  if (auto When = section("when the VM is draining")) {
    Case.Puts = {replyWith(503, R"({"reason":"draining"})")};
    CPPUNIT_ASSERT_EQUAL(4, Case.run({"service", "apply", "new.json", "--yes"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.puts().size());
  }
  if (auto When = section("when nothing was ever written")) {
    Case.Puts = {refusedConnection()};
    CPPUNIT_ASSERT_EQUAL(4, Case.run({"service", "apply", "new.json", "--yes"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Case.puts().size());
  }
  if (auto When = section("when the change given turns out to be committed")) {
    Case.Current = revision(5, "mine", 2);
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "new.json", "--yes", "--change", "mine"}));
    CPPUNIT_ASSERT(Case.puts().empty());
  }
});

// Guards against a rollout that is called complete while a VM has the old document.
const story Waiting("service apply --wait: names the VMs not reached", [] {
  service_case Case;
  if (auto When = section("when every VM has the revision")) {
    CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "apply", "new.json", "--yes", "--wait"}));
    CPPUNIT_ASSERT(Case.Run.Out.ends_with("in force on 2 VMs\n"));
  }
  if (auto When = section("when one is behind and one is silent")) {
    Case.Rollout = R"({"vms":[{"vm":"vm1","revision":5},{"vm":"vm2","revision":4}],"silent":["vm3"]})";
    CPPUNIT_ASSERT_EQUAL(1, Case.run({"service", "apply", "new.json", "--yes", "--wait", "--timeout", "2"}));
    CPPUNIT_ASSERT(Case.Run.Err.find("did not reach: vm2, vm3.") != std::string::npos);
  }
});

// Guards against a rollback to a document other than the named one.
const story Rollback("service rollback: commits an earlier document", [] {
  service_case Case;
  CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "rollback", "proofs", "3", "--yes"}));
  CPPUNIT_ASSERT_EQUAL(ApplyPath, Case.puts().at(0));
  CPPUNIT_ASSERT(Case.Run.Client.Calls.back().Body.find("\"weight\": 7") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(1, Case.run({"service", "rollback", "proofs", "9", "--yes"}));
});

// Guards against commands that fail on the documented replies.
const story Reading("service show, list, diff, history, validate", [] {
  service_case Case;
  CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "show", "proofs"}));
  CPPUNIT_ASSERT(Case.Run.Out.starts_with("// revision 4, committed 2023-11-14T22:13:20Z, change c4\n{"));
  CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "history", "proofs"}));
  CPPUNIT_ASSERT(Case.Run.Out.find("proofs   3 ") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "diff", "new.json"}));
  CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "validate", "new.json"}));
  CPPUNIT_ASSERT_EQUAL(1, Case.run({"service", "validate", "bad.json"}));
  Case.Current = R"({"services":[)" + revision(4, "c4", 1) + "]}";
  Case.Run.Out.clear();
  CPPUNIT_ASSERT_EQUAL(0, Case.run({"service", "list"}));
  CPPUNIT_ASSERT(Case.Run.Out.find("\nproofs   4 ") != std::string::npos);
  Case.Current.clear();
  CPPUNIT_ASSERT_EQUAL(1, Case.run({"service", "show", "proofs"}));
});

} // namespace
