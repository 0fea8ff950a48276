#include "yuccaplank/model/job_table.hpp"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <cppunit/TestAssert.h>

#include <limits>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::model;
using runtime::errc;
using yuccaplank::testing::section;
using yuccaplank::testing::story;
using waiters = std::vector<waiter_id>;

namespace {

constexpr std::uint64_t Document = 17;
constexpr std::uint64_t OtherDocument = 18;

schema::incarnation makeIncarnation(const std::string &Vm, std::int64_t StartedMs, std::uint32_t Nonce) {
  schema::incarnation Value;
  Value.set_vm(Vm);
  Value.set_started_ms(StartedMs);
  Value.set_nonce(Nonce);
  return Value;
}

job_id parsed(const std::string &Text) { return parseJobId(Text).value(); }

struct table_site {
  explicit table_site(job_table_options Options = {}) : Table(makeJobTable(Clock, "d1", Self, Options)) {}

  job_id issueOne() const { return numbered(Table->issue(1)); }
  [[nodiscard]] job_id numbered(std::uint64_t Sequence) const {
    return parsed(issuedId("d1", Self, Sequence));
  }
  [[nodiscard]] submission_kind submit(const job_id &Id, std::uint64_t Hash = Document,
                                       waiter_id Waiter = 0) const {
    return Table->submit(Id, Hash, Waiter).Kind;
  }
  [[nodiscard]] waiters finish(const job_id &Id, const std::string &Payload = "result") const {
    auto Answer = wire::makeAnswer(Id.Text, schema::OUTCOME_DONE, errc::Ok);
    Answer.add_results()->set_payload(Payload);
    return Table->finish(Id.Text, Answer);
  }
  void run(const job_id &Id, const std::string &Payload = "result") const {
    CPPUNIT_ASSERT(submit(Id) == submission_kind::Start);
    CPPUNIT_ASSERT(finish(Id, Payload).empty());
  }
  void assertRejected(const job_id &Id, schema::outcome_kind Outcome, errc Reason) const {
    submission Submission = Table->submit(Id, Document, 1);
    CPPUNIT_ASSERT_MESSAGE(Id.Text, Submission.Kind == submission_kind::Rejected);
    for (const schema::job_answer &Answer : {Submission.Answer, Table->query(Id, 1)}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id.Text, Outcome, Answer.outcome());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id.Text, std::string(runtime::errcName(Reason)), Answer.reason());
    }
    CPPUNIT_ASSERT_MESSAGE(Id.Text, !Table->contains(Id.Text));
  }
  void assertExpired(const job_id &Id) const {
    assertRejected(Id, schema::OUTCOME_UNKNOWN, errc::RecordExpired);
  }

  runtime::manual_clock Clock;
  schema::incarnation Self = makeIncarnation("vm1", 1'700'000'000'000, 9);
  std::unique_ptr<job_table> Table;
};

// Guards against a job that runs twice or whose callers get no answer when it is submitted again.
const story Submissions("job table: submissions", [] {
  table_site Site;
  auto Id = Site.issueOne();
  if (auto Given = section("given issued ids that were not submitted")) {
    CPPUNIT_ASSERT_EQUAL(std::string("not_found"), Site.Table->query(Id, 1).reason());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("ids do not overlap", Id.Sequence + 1, Site.Table->issue(5));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("ids do not overlap", Id.Sequence + 6, Site.Table->issue(1));
  }
  if (auto Given = section("given a first submission")) {
    CPPUNIT_ASSERT(Site.submit(Id, Document, 1) == submission_kind::Start);
    if (auto When = section("when it is submitted again while it runs")) {
      CPPUNIT_ASSERT(Site.submit(Id, Document, 2) == submission_kind::Joined);
      CPPUNIT_ASSERT_EQUAL(schema::OUTCOME_PENDING, Site.Table->query(Id, 3).outcome());
      CPPUNIT_ASSERT_EQUAL(schema::OUTCOME_PENDING, Site.Table->query(Id, 0).outcome());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Site.Table->usage().Running);
      CPPUNIT_ASSERT(Site.finish(Id) == (waiters{1, 2, 3}));
    }
    if (auto When = section("when it is submitted again after its end")) {
      CPPUNIT_ASSERT(Site.finish(Id) == waiters{1});
      submission Again = Site.Table->submit(Id, Document, 2);
      CPPUNIT_ASSERT(Again.Kind == submission_kind::Ended);
      CPPUNIT_ASSERT_EQUAL(std::string("result"), Again.Answer.results(0).payload());
      CPPUNIT_ASSERT_EQUAL(schema::OUTCOME_DONE, Site.Table->query(Id, 2).outcome());
    }
    if (auto When = section("when the id is used with another document")) {
      submission Other = Site.Table->submit(Id, OtherDocument, 2);
      CPPUNIT_ASSERT(Other.Kind == submission_kind::Rejected);
      CPPUNIT_ASSERT_EQUAL(schema::OUTCOME_REFUSED, Other.Answer.outcome());
      CPPUNIT_ASSERT_EQUAL(std::string("id_reused"), Other.Answer.reason());
      CPPUNIT_ASSERT(Site.finish(Id) == waiters{1});
      CPPUNIT_ASSERT(Site.submit(Id, OtherDocument) == submission_kind::Rejected);
    }
    if (auto When = section("when it finishes twice")) {
      CPPUNIT_ASSERT(Site.finish(Id, "first") == waiters{1});
      auto Usage = Site.Table->usage();
      CPPUNIT_ASSERT(Site.finish(Id, "second").empty());
      CPPUNIT_ASSERT_EQUAL(std::string("first"), Site.Table->query(Id, 0).results(0).payload());
      CPPUNIT_ASSERT_EQUAL(Usage.RetainedBytes, Site.Table->usage().RetainedBytes);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Site.Table->usage().Running);
      CPPUNIT_ASSERT_MESSAGE("an ended job cannot be withdrawn", Site.Table->withdraw(Id.Text).empty());
      CPPUNIT_ASSERT(Site.submit(Id) == submission_kind::Ended);
    }
    if (auto When = section("when admission refuses it")) {
      CPPUNIT_ASSERT(Site.Table->withdraw(Id.Text) == waiters{1});
      CPPUNIT_ASSERT(Site.Table->withdraw(Id.Text).empty());
      CPPUNIT_ASSERT_MESSAGE("nothing has run, so another document may follow",
                             Site.submit(Id, OtherDocument, 3) == submission_kind::Start);
      CPPUNIT_ASSERT(Site.finish(Id) == waiters{3});
    }
    if (auto When = section("when a waiting caller goes")) {
      CPPUNIT_ASSERT(Site.submit(Id, Document, 2) == submission_kind::Joined);
      Site.Table->removeWaiter(1);
      Site.Table->removeWaiter(1);
      Site.Table->removeWaiter(77);
      CPPUNIT_ASSERT(Site.finish(Id) == waiters{2});
      Site.Table->removeWaiter(2);
    }
  }
});

// Guards against records that are kept for ever, and against a second start once a record is gone.
const story Retention("job table: retention", [] {
  job_table_options Options;
  Options.Retention = 10s;
  Options.IdValidity = 60s;
  if (auto Given = section("given a finished job")) {
    table_site Site(Options);
    auto Id = Site.issueOne();
    Site.run(Id);
    Site.Clock.advance(10s - 1ms);
    Site.Table->expire();
    CPPUNIT_ASSERT(Site.submit(Id) == submission_kind::Ended);
    if (auto When = section("when its retention has passed")) {
      Site.Clock.advance(1ms);
      Site.Table->expire();
      Site.assertExpired(Id);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Site.Table->usage().RetainedBytes);
      Site.Clock.advance(60s);
      Site.Table->expire();
      Site.assertExpired(Id);
    }
  }
  if (auto Given = section("given outcomes beyond the limit of bytes")) {
    constexpr std::size_t PayloadBytes = 10'000;
    Options.MaxRetainedBytes = 3 * PayloadBytes;
    table_site Site(Options);
    std::vector<job_id> Ids;
    for (int Count = 0; Count < 5; ++Count) {
      Ids.push_back(Site.issueOne());
      Site.run(Ids.back(), std::string(PayloadBytes, 'x'));
      CPPUNIT_ASSERT(Site.Table->usage().RetainedBytes <= Options.MaxRetainedBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Site.Table->usage().Retained);
    for (std::size_t Index : {0, 1, 2})
      Site.assertExpired(Ids[Index]);
    for (std::size_t Index : {3, 4})
      CPPUNIT_ASSERT(Site.submit(Ids[Index]) == submission_kind::Ended);
    if (auto When = section("when one outcome alone is larger than the limit")) {
      auto Large = Site.issueOne();
      Site.run(Large, std::string(4 * PayloadBytes, 'x'));
      Site.assertExpired(Large);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Site.Table->usage().RetainedBytes);
    }
  }
  if (auto Given = section("given a job that runs past its retention and the validity of its id")) {
    table_site Site(Options);
    auto Id = Site.issueOne();
    CPPUNIT_ASSERT(Site.submit(Id) == submission_kind::Start);
    Site.Clock.advance(120s);
    Site.Table->expire();
    CPPUNIT_ASSERT(Site.submit(Id, Document, 5) == submission_kind::Joined);
    CPPUNIT_ASSERT(Site.finish(Id) == waiters{5});
    CPPUNIT_ASSERT(Site.submit(Id) == submission_kind::Ended);
  }
});

// Guards against a start under an id whose record may have been dropped, or that this incarnation never
// issued.
const story Validity("job table: validity of ids", [] {
  job_table_options Options;
  Options.IdValidity = 60s;
  table_site Site(Options);
  if (auto Given = section("given ids of two ages that were never submitted")) {
    auto Old = Site.issueOne();
    Site.Clock.advance(1s);
    auto Young = Site.issueOne();
    Site.Clock.advance(59s);
    Site.Table->expire();
    Site.assertExpired(Old);
    CPPUNIT_ASSERT(Site.submit(Young) == submission_kind::Start);
  }
  if (auto Given = section("given ids that were not issued here")) {
    auto Issued = Site.issueOne();
    auto Refused = [&](const job_id &Id) {
      Site.assertRejected(Id, schema::OUTCOME_REFUSED, errc::InvalidId);
    };
    Refused(Site.numbered(Issued.Sequence + 1));
    Refused(Site.numbered(std::numeric_limits<std::uint64_t>::max()));
    Refused(parsed(issuedId("d2", Site.Self, Issued.Sequence)));
    for (const auto &Other :
         {makeIncarnation("vm2", 1'700'000'000'000, 9), makeIncarnation("vm1", 1'700'000'000'001, 9),
          makeIncarnation("vm1", 1'700'000'000'000, 8)})
      Refused(parsed(issuedId("d1", Other, Issued.Sequence)));
    // Sequence 0 is below the horizon from the start.
    Site.assertExpired(Site.numbered(0));
    CPPUNIT_ASSERT(Site.submit(Issued) == submission_kind::Start);
  }
  if (auto Given = section("given a caller key, whose claim the table has granted")) {
    auto Key = parsed("k.order-7");
    CPPUNIT_ASSERT(Site.submit(Key, Document, 1) == submission_kind::Start);
    CPPUNIT_ASSERT(Site.submit(Key, Document, 2) == submission_kind::Joined);
    CPPUNIT_ASSERT(Site.submit(Key, OtherDocument, 3) == submission_kind::Rejected);
    CPPUNIT_ASSERT(Site.finish(Key) == (waiters{1, 2}));
    CPPUNIT_ASSERT(Site.submit(Key) == submission_kind::Ended);
    // Evicted keys are the claim's concern; they must not use up sequence numbers.
    Site.Clock.advance(601s);
    Site.Table->expire();
    CPPUNIT_ASSERT(!Site.Table->contains(Key.Text));
    CPPUNIT_ASSERT(Site.submit(Site.issueOne()) == submission_kind::Start);
  }
});

} // namespace
