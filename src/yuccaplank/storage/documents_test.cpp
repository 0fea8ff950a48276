#include "yuccaplank/storage/documents.hpp"

#include "yuccaplank/storage/fake_table.hpp"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <map>
#include <set>
#include <vector>

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

storage::apply_request requestOf(const std::string &ChangeId, std::uint64_t Expected, std::uint64_t Known,
                                 std::uint32_t Weight) {
  storage::apply_request Request;
  Request.Document.set_service("proofs");
  Request.Document.set_weight(Weight);
  Request.ExpectedRevision = Expected;
  Request.KnownRevision = Known;
  Request.ChangeId = ChangeId;
  return Request;
}

struct documents_setup {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::shared_ptr<storage::fake_platform> Platform = storage::makeFakePlatform(*Executor);
  std::unique_ptr<storage::table> Table = Platform->makeClient();
  std::unique_ptr<storage::documents> Documents = storage::makeDocuments(*Executor, *Table);
  // Outcomes in the order of their arrival: "<change>:<committed or conflict>@<revision>/<weight>".
  std::string Log;

  void apply(const std::string &ChangeId, std::uint64_t Expected, std::uint64_t Known, std::uint32_t Weight) {
    Documents->apply(requestOf(ChangeId, Expected, Known, Weight),
                     [this, ChangeId](const runtime::result<storage::apply_reply> &Reply) {
                       if (!Reply) {
                         Log += fmt::format("{}:{} ", ChangeId, Reply.error().message());
                         return;
                       }
                       const auto &Current = Reply.value().Current;
                       Log += fmt::format("{}:{}@{}/{} ", ChangeId,
                                          Reply.value().Committed ? "committed" : "conflict",
                                          Current.revision(), Current.document().weight());
                     });
  }
  void applyAndWait(const std::string &ChangeId, std::uint64_t Expected, std::uint64_t Known,
                    std::uint32_t Weight) {
    apply(ChangeId, Expected, Known, Weight);
    Executor->advance(10s);
  }
  // Revisions of the history with their change ids.
  [[nodiscard]] std::string history() const {
    std::string Text;
    Documents->history("proofs",
                       [&](const runtime::result<std::vector<schema::service_revision>> &Revisions) {
                         for (const auto &Revision : Revisions.value())
                           Text += fmt::format("{}:{} ", Revision.revision(), Revision.change_id());
                       });
    Executor->advance(1s);
    return Text;
  }
};

// Guards against an operator's change that silently overwrites another's.
const story Racing("documents: racing applies", [] {
  documents_setup Setup;
  Setup.applyAndWait("c1", 0, 0, 10);
  CPPUNIT_ASSERT_EQUAL(std::string("c1:committed@1/10 "), Setup.Log);
  Setup.Log.clear();
  if (auto When = section("when two operators apply at the same moment")) {
    Setup.apply("c2", 1, 1, 20);
    Setup.apply("c3", 1, 1, 30);
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 c3:conflict@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
  }
  if (auto When = section("when an operator has seen an older revision")) {
    Setup.applyAndWait("c2", 1, 1, 20);
    Setup.applyAndWait("c3", 1, 2, 30);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 c3:conflict@2/20 "), Setup.Log);
  }
  if (auto When = section("when the VM knows less than the table")) {
    Setup.applyAndWait("c2", 1, 0, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 "), Setup.Log);
  }
  if (auto When = section("when a service is created that exists")) {
    Setup.applyAndWait("c2", 0, 0, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:conflict@1/10 "), Setup.Log);
  }
  if (auto When = section("when a request has no change id")) {
    Setup.applyAndWait("", 1, 1, 20);
    CPPUNIT_ASSERT_EQUAL(std::string(":missing_field "), Setup.Log);
  }
});

// Guards against changes that are applied twice, or reported as failed although they are in force.
const story LostReplies("documents: lost replies and outages", [] {
  documents_setup Setup;
  auto &Faults = Setup.Platform->faults();
  Setup.applyAndWait("c1", 0, 0, 10);
  Setup.Log.clear();
  if (auto When = section("when the reply is lost after the effect")) {
    Faults.LoseNextReplies = 1;
    Setup.applyAndWait("c2", 1, 1, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
  }
  if (auto When = section("when the request is lost without effect")) {
    Faults.LoseNextRequests = 1;
    Setup.applyAndWait("c2", 1, 1, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 "), Setup.Log);
  }
  if (auto When = section("when a delayed request takes effect after its time-out")) {
    Setup.apply("c2", 1, 1, 20);
    // Both reads are answered; the commit takes longer than its time-out.
    Setup.Executor->advance(3500us);
    Faults.ExtraDelay = 2s;
    Setup.Executor->advance(1ms);
    Faults.ExtraDelay = 0s;
    Setup.Executor->advance(10s);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
  }
  if (auto When = section("when a delayed request takes effect between the read back and the repetition")) {
    Setup.apply("c2", 1, 1, 20);
    Setup.Executor->advance(3500us);
    // Sent at 4 ms; read back until 1508 ms; the repetition arrives at 1509 ms.
    Faults.ExtraDelay = 1503500us;
    Setup.Executor->advance(1ms);
    Faults.ExtraDelay = 0s;
    Setup.Executor->advance(10s);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
    // c1, the delayed request, and the repetition.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Setup.Platform->totals().Writes);
  }
  if (auto When = section("when a delayed request takes effect between the two reads of the read back")) {
    Setup.apply("c2", 1, 1, 20);
    Setup.Executor->advance(3500us);
    // Sent at 4 ms; the reads arrive at 1505 ms and 1507 ms.
    Faults.ExtraDelay = 1501ms;
    Setup.Executor->advance(1ms);
    Faults.ExtraDelay = 0s;
    Setup.Executor->advance(10s);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
  }
  if (auto When = section("when a lost request lets another operator win")) {
    Faults.LoseNextRequests = 1;
    Setup.apply("c2", 1, 1, 20);
    Setup.Executor->advance(100ms);
    Setup.apply("c3", 1, 1, 30);
    Setup.Executor->advance(10s);
    CPPUNIT_ASSERT_EQUAL(std::string("c3:committed@2/30 c2:conflict@2/30 "), Setup.Log);
  }
  if (auto When = section("when a change is repeated")) {
    Setup.applyAndWait("c2", 1, 1, 20);
    Setup.applyAndWait("c2", 1, 2, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
  }
  if (auto When = section("when a change is repeated after another has replaced it")) {
    Setup.applyAndWait("c2", 1, 1, 20);
    Setup.applyAndWait("c3", 2, 2, 30);
    Setup.applyAndWait("c2", 1, 3, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:committed@2/20 c3:committed@3/30 c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 3:c3 "), Setup.history());
  }
  if (auto When = section("when the platform is down and comes back")) {
    Faults.Mode = storage::fake_mode::Down;
    Setup.applyAndWait("c2", 1, 1, 20);
    Faults.Mode = storage::fake_mode::Normal;
    Setup.applyAndWait("c2", 1, 1, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:platform_unavailable c2:committed@2/20 "), Setup.Log);
  }
  if (auto When = section("when the platform fails right after the effect")) {
    Faults.LoseNextReplies = 1;
    Setup.apply("c2", 1, 1, 20);
    Setup.Executor->advance(100ms);
    Faults.Mode = storage::fake_mode::Hang;
    Setup.Executor->advance(10s);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:platform_unavailable "), Setup.Log);
    Faults.Mode = storage::fake_mode::Normal;
    Setup.applyAndWait("c2", 1, 1, 20);
    CPPUNIT_ASSERT_EQUAL(std::string("c2:platform_unavailable c2:committed@2/20 "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("1:c1 2:c2 "), Setup.history());
  }
});

// Operator that applies changes one after another, each on what the last reply showed, and repeats those
// whose outcome is open.
struct operator_client {
  documents_setup &Setup;
  std::string Name;
  std::unique_ptr<storage::table> Table;
  std::unique_ptr<storage::documents> Documents;
  std::uint64_t Seen = 0;
  int Change = 0;
  std::set<std::string> Committed;
  std::set<std::string> Refused;

  operator_client(documents_setup &Setup, std::string Name)
      : Setup(Setup), Name(std::move(Name)), Table(Setup.Platform->makeClient()),
        Documents(storage::makeDocuments(*Setup.Executor, *Table)) {}

  void applyNext() {
    std::string Id = fmt::format("{}{}", Name, Change);
    Documents->apply(requestOf(Id, Seen, 0, 1),
                     [this, Id](const runtime::result<storage::apply_reply> &Reply) {
                       if (Reply) {
                         Seen = Reply.value().Current.revision();
                         (Reply.value().Committed ? Committed : Refused).insert(Id);
                         ++Change;
                       }
                       Setup.Executor->after(100ms, [this] { applyNext(); });
                     });
  }
};

// Guards against any wrong outcome under random delays, losses and outages: every change whose outcome is
// known is in the history exactly when it was reported as committed, and once.
const story RandomFaults("documents: random faults", [] {
  constexpr std::uint64_t Seed = 4711;
  constexpr int Steps = 3000;
  documents_setup Setup;
  pcg32 Random(Seed);
  std::vector<std::unique_ptr<operator_client>> Clients;
  for (const char *Name : {"a", "b", "c"}) {
    Clients.push_back(std::make_unique<operator_client>(Setup, Name));
    Clients.back()->applyNext();
  }
  auto &Faults = Setup.Platform->faults();
  for (int Step = 0; Step < Steps; ++Step) {
    Faults.LoseRepliesPercent = Random(4) * 15;
    Faults.LoseNextRequests = Random(8) == 0 ? 1 : 0;
    Faults.ExtraDelay = Random(4) == 0 ? std::chrono::milliseconds(1450 + Random(120)) : 0ms;
    Faults.Mode = static_cast<storage::fake_mode>(Random(10) == 0 ? Random(3) : 0);
    Setup.Executor->advance(std::chrono::milliseconds(Random(200)));
  }
  Faults = {};
  Setup.Executor->advance(10s);
  std::map<std::string, int> Applied;
  std::uint64_t Last = 0;
  for (const auto &Row : Setup.Platform->state().rows("history/proofs/")) {
    schema::service_revision Revision;
    CPPUNIT_ASSERT(wire::readDocument(Row.Value, Revision).empty());
    ++Applied[Revision.change_id()];
    CPPUNIT_ASSERT_EQUAL(++Last, Revision.revision());
  }
  std::size_t Outcomes = 0;
  for (const auto &Client : Clients) {
    for (const std::string &Id : Client->Committed)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, 1, Applied[Id]);
    for (const std::string &Id : Client->Refused)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, 0, Applied[Id]);
    Outcomes += Client->Committed.size() + Client->Refused.size();
  }
  CPPUNIT_ASSERT(Outcomes > 100);
});

// Guards against a configuration that reverts when the platform was restored from an old copy.
const story Restored("documents: platform restored from an old copy", [] {
  documents_setup Setup;
  Setup.applyAndWait("c1", 0, 0, 10);
  storage::table_state Copy = Setup.Platform->state();
  Setup.applyAndWait("c2", 1, 1, 20);
  Setup.applyAndWait("c3", 2, 2, 30);
  Setup.Platform->state() = Copy;
  Setup.Log.clear();
  if (auto When = section("when the operator has seen the revision in force")) {
    Setup.applyAndWait("c4", 3, 3, 40);
    CPPUNIT_ASSERT_EQUAL(std::string("c4:committed@4/40 "), Setup.Log);
  }
  if (auto When = section("when the operator has seen the table's old revision")) {
    Setup.applyAndWait("c4", 1, 3, 40);
    CPPUNIT_ASSERT_EQUAL(std::string("c4:conflict@1/10 "), Setup.Log);
  }
  if (auto When = section("when changes after a revision are read that the table no longer has")) {
    schema::catalog_snapshot Snapshot;
    Setup.Documents->changes(
        3, [&](const runtime::result<schema::catalog_snapshot> &Result) { Snapshot = Result.value(); });
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Snapshot.table_revision());
    CPPUNIT_ASSERT_EQUAL(1, Snapshot.services_size());
  }
});

// Guards against changes that a VM does not learn of, and against one bad row that hides the others.
const story Changes("documents: reading changes", [] {
  documents_setup Setup;
  Setup.applyAndWait("c1", 0, 0, 10);
  Setup.applyAndWait("c2", 1, 1, 20);
  auto Read = [&](std::uint64_t After) {
    std::string Text;
    Setup.Documents->changes(After, [&](const runtime::result<schema::catalog_snapshot> &Result) {
      if (!Result) {
        Text = Result.error().message();
        return;
      }
      Text = fmt::format("@{}", Result.value().table_revision());
      for (const auto &Revision : Result.value().services())
        Text += fmt::format(" {}:{}", Revision.document().service(), Revision.revision());
    });
    Setup.Executor->advance(2s);
    return Text;
  };
  if (auto When = section("when all are read"))
    CPPUNIT_ASSERT_EQUAL(std::string("@2 proofs:2"), Read(0));
  if (auto When = section("when nothing has changed"))
    CPPUNIT_ASSERT_EQUAL(std::string("@2"), Read(2));
  if (auto When = section("when a row is unreadable")) {
    Setup.Platform->state().commit({{}, {{"service/broken", "{"}}});
    CPPUNIT_ASSERT_EQUAL(std::string("@3 proofs:2"), Read(0));
  }
  if (auto When = section("when the platform is down")) {
    Setup.Platform->faults().Mode = storage::fake_mode::Down;
    CPPUNIT_ASSERT_EQUAL(std::string("platform_unavailable"), Read(0));
  }
  if (auto When = section("when the reader is gone before the reply")) {
    Setup.Documents->changes(0, [](const runtime::result<schema::catalog_snapshot> &) { CPPUNIT_FAIL(""); });
    Setup.Documents.reset();
    Setup.Executor->advance(2s);
  }
});

} // namespace
