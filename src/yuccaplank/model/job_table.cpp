#include "yuccaplank/model/job_table.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace yuccaplank::model {
namespace {

using runtime::errc;
using runtime::time_point;

// Heap use of a record beside its id and answer: nodes of the maps, strings, and the queue of ended jobs.
constexpr std::uint64_t RecordOverheadBytes = 320;

struct record {
  std::uint64_t DocumentHash = 0;
  bool Ended = false;
  std::vector<waiter_id> Waiters;
  // Encoded, since the objects of an answer take more than three times its encoded size.
  std::string Answer;
  std::uint64_t Bytes = 0;

  [[nodiscard]] schema::job_answer decodeAnswer() const {
    schema::job_answer Decoded;
    Decoded.ParseFromString(Answer);
    return Decoded;
  }
};

// Sequence numbers below End were issued at Issued or before.
struct issue_mark {
  std::uint64_t End;
  time_point Issued;
};

struct ended_job {
  std::string Id;
  std::uint64_t Sequence;
  time_point Ended;
};

class job_table_impl final : public job_table {
public:
  job_table_impl(const runtime::clock &Clock, std::string Domain, schema::incarnation Self,
                 job_table_options Options)
      : Clock(Clock), Domain(std::move(Domain)), Self(std::move(Self)), Options(Options) {}

  std::uint64_t issue(std::uint32_t Count) override {
    std::uint64_t First = NextSequence;
    NextSequence += Count;
    Marks.push_back({NextSequence, Clock.now()});
    return First;
  }

  submission submit(const job_id &Id, std::uint64_t DocumentHash, waiter_id Waiter) override {
    auto Found = Records.find(Id.Text);
    if (Found != Records.end())
      return resubmit(Found->second, Id, DocumentHash, Waiter);
    if (auto Verdict = verdictWithoutRecord(Id); Verdict.Kind == submission_kind::Rejected)
      return Verdict;
    record &Record = Records[Id.Text];
    Record.DocumentHash = DocumentHash;
    addWaiter(Record, Id.Text, Waiter);
    ++Running;
    return {submission_kind::Start, {}};
  }

  std::vector<waiter_id> withdraw(const std::string &Id) override {
    auto Found = Records.find(Id);
    if (Found == Records.end() || Found->second.Ended)
      return {};
    auto Waiters = takeWaiters(Found->second);
    Records.erase(Found);
    --Running;
    return Waiters;
  }

  [[nodiscard]] bool contains(const std::string &Id) const override { return Records.contains(Id); }

  schema::job_answer query(const job_id &Id, waiter_id Waiter) override {
    auto Found = Records.find(Id.Text);
    if (Found == Records.end()) {
      auto Verdict = verdictWithoutRecord(Id);
      if (Verdict.Kind == submission_kind::Rejected)
        return Verdict.Answer;
      // Nothing was submitted under the id so far.
      return wire::makeAnswer(Id.Text, schema::OUTCOME_REFUSED, errc::NotFound);
    }
    if (Found->second.Ended)
      return Found->second.decodeAnswer();
    addWaiter(Found->second, Id.Text, Waiter);
    return wire::makeAnswer(Id.Text, schema::OUTCOME_PENDING, errc::Ok);
  }

  void removeWaiter(waiter_id Waiter) override {
    auto Found = JobOfWaiter.find(Waiter);
    if (Found == JobOfWaiter.end())
      return;
    std::erase(Records[Found->second].Waiters, Waiter);
    JobOfWaiter.erase(Found);
  }

  std::vector<waiter_id> finish(const std::string &Id, const schema::job_answer &Answer) override {
    auto Found = Records.find(Id);
    if (Found == Records.end() || Found->second.Ended)
      return {};
    record &Record = Found->second;
    Record.Ended = true;
    Record.Answer = Answer.SerializeAsString();
    Record.Bytes = RecordOverheadBytes + 2 * Id.size() + Record.Answer.size();
    RetainedBytes += Record.Bytes;
    --Running;
    auto Parsed = parseJobId(Id);
    bool Issued = Parsed && Parsed.value().Kind == id_kind::Issued;
    Ended.push_back({Id, Issued ? Parsed.value().Sequence : 0, Clock.now()});
    auto Waiters = takeWaiters(Record);
    expire();
    return Waiters;
  }

  void expire() override {
    time_point Now = Clock.now();
    raiseHorizon(Now);
    while (!Ended.empty() &&
           (Ended.front().Ended + Options.Retention <= Now || RetainedBytes > Options.MaxRetainedBytes))
      dropOldest();
  }

  [[nodiscard]] job_table_usage usage() const override { return {Running, Ended.size(), RetainedBytes}; }

private:
  submission resubmit(record &Record, const job_id &Id, std::uint64_t DocumentHash, waiter_id Waiter) {
    if (Record.DocumentHash != DocumentHash)
      return {submission_kind::Rejected, wire::makeAnswer(Id.Text, schema::OUTCOME_REFUSED, errc::IdReused)};
    if (Record.Ended)
      return {submission_kind::Ended, Record.decodeAnswer()};
    addWaiter(Record, Id.Text, Waiter);
    return {submission_kind::Joined, {}};
  }

  // An id below the horizon without a record is treated as used, so that records need not be kept for ever.
  submission verdictWithoutRecord(const job_id &Id) const {
    if (Id.Kind == id_kind::CallerKey)
      return {submission_kind::Start, {}};
    if (!sameIncarnation(Id.Authority, Self) || Id.Domain != Domain || Id.Sequence >= NextSequence)
      return {submission_kind::Rejected, wire::makeAnswer(Id.Text, schema::OUTCOME_REFUSED, errc::InvalidId)};
    if (Id.Sequence < Horizon || UsedSequences.contains(Id.Sequence))
      return {submission_kind::Rejected,
              wire::makeAnswer(Id.Text, schema::OUTCOME_UNKNOWN, errc::RecordExpired)};
    return {submission_kind::Start, {}};
  }

  void addWaiter(record &Record, const std::string &Id, waiter_id Waiter) {
    if (Waiter == 0)
      return;
    Record.Waiters.push_back(Waiter);
    JobOfWaiter[Waiter] = Id;
  }

  std::vector<waiter_id> takeWaiters(record &Record) {
    for (waiter_id Waiter : Record.Waiters)
      JobOfWaiter.erase(Waiter);
    return std::move(Record.Waiters);
  }

  void raiseHorizon(time_point Now) {
    std::uint64_t Before = Horizon;
    while (!Marks.empty() && Marks.front().Issued + Options.IdValidity <= Now) {
      Horizon = Marks.front().End;
      Marks.pop_front();
    }
    if (Horizon == Before)
      return;
    std::erase_if(UsedSequences, [&](std::uint64_t Sequence) { return Sequence < Horizon; });
  }

  void dropOldest() {
    ended_job &Oldest = Ended.front();
    auto Found = Records.find(Oldest.Id);
    RetainedBytes -= Found->second.Bytes;
    Records.erase(Found);
    // The answer is gone, but its id must not start again before the horizon has passed it.
    if (Oldest.Sequence >= Horizon)
      UsedSequences.insert(Oldest.Sequence);
    Ended.pop_front();
  }

  const runtime::clock &Clock;
  std::string Domain;
  schema::incarnation Self;
  job_table_options Options;
  std::unordered_map<std::string, record> Records;
  std::unordered_map<waiter_id, std::string> JobOfWaiter;
  std::deque<ended_job> Ended;
  std::deque<issue_mark> Marks;
  std::unordered_set<std::uint64_t> UsedSequences;
  // Sequence 0 is never issued, so that 0 can stand for jobs without a sequence.
  std::uint64_t NextSequence = 1;
  std::uint64_t Horizon = 1;
  std::uint64_t RetainedBytes = 0;
  std::size_t Running = 0;
};

} // namespace

std::unique_ptr<job_table> makeJobTable(const runtime::clock &Clock, const std::string &Domain,
                                        const schema::incarnation &Self, job_table_options Options) {
  return std::make_unique<job_table_impl>(Clock, Domain, Self, Options);
}

} // namespace yuccaplank::model
