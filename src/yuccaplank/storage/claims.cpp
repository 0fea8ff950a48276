#include "yuccaplank/storage/claims.hpp"
#include "yuccaplank/model/job_id.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace yuccaplank::storage {
namespace {

using nlohmann::json;
using runtime::errc;

using callback = std::function<void(runtime::result<claim_owner>)>;

constexpr std::string_view KeyPrefix = "claim/";
// Commits of one batch. A lost reply needs one more; further losses in a row mean an outage.
constexpr int MaxCommits = 3;
// Keys whose claim has no known outcome. Forgetting one only means that a later claim of it is not taken for
// the first.
constexpr std::size_t MaxUnresolved = 100'000;

// The batch number tells whether the very transaction took effect, rather than an earlier one with the same
// key.
std::string writeClaim(const claim_owner &Owner, std::uint64_t Batch) {
  return json({{"vm", Owner.Authority.vm()},
               {"started_ms", Owner.Authority.started_ms()},
               {"nonce", Owner.Authority.nonce()},
               {"domain", Owner.Domain},
               {"batch", Batch}})
      .dump();
}

// A row with the batch that wrote it.
struct claim_row {
  claim_owner Owner;
  std::uint64_t Batch = 0;
};

runtime::result<claim_row> readClaim(const std::string &Text) {
  try {
    json Object = json::parse(Text);
    claim_row Row;
    claim_owner &Owner = Row.Owner;
    Row.Batch = Object.at("batch").get<std::uint64_t>();
    Owner.Authority.set_vm(Object.at("vm").get<std::string>());
    Owner.Authority.set_started_ms(Object.at("started_ms").get<std::int64_t>());
    Owner.Authority.set_nonce(Object.at("nonce").get<std::uint32_t>());
    Owner.Domain = Object.at("domain").get<std::string>();
    return Row;
  } catch (const json::exception &) {
    return errc::Internal;
  }
}

// Keys of the transaction in flight.
struct batch {
  std::uint64_t Number = 0;
  std::vector<std::string> Keys;
  int Commits = 0;
};

// Outlives the claims object while the table still holds callbacks.
class claim_batcher : public std::enable_shared_from_this<claim_batcher> {
  // Function that does nothing once the claims object is gone.
  auto onSelf(void (claim_batcher::*Member)()) {
    return [Self = shared_from_this(), Member] {
      if (!Self->Closed)
        (*Self.*Member)();
    };
  }
  template <typename Reply> auto onReply(void (claim_batcher::*Member)(runtime::result<Reply>)) {
    return [Self = shared_from_this(), Member](runtime::result<Reply> Result) {
      if (!Self->Closed)
        (*Self.*Member)(std::move(Result));
    };
  }

public:
  claim_batcher(runtime::executor &Executor, table &Table, claims_options Options)
      : Executor(Executor), Table(Table), Options(std::move(Options)) {}

  void claim(const std::string &Key, callback OnDone) {
    auto [Entry, New] = Waiting.try_emplace(std::string(KeyPrefix) + Key);
    Entry->second.push_back(std::move(OnDone));
    if (!New)
      return;
    Queue.push_back(Entry->first);
    if (Queue.size() >= Options.MaxBatch)
      flush();
    else if (Timer == 0)
      Timer = Executor.after(Options.BatchDelay, onSelf(&claim_batcher::onTimer));
  }

  // Nobody is called back any more.
  void close() {
    Executor.cancel(Timer);
    Waiting.clear();
    Queue.clear();
    Closed = true;
  }

private:
  void onTimer() {
    Timer = 0;
    flush();
  }

  // Sends the queued claims, unless a write is in flight, at whose end this is called again.
  void flush() {
    if (InFlight || Queue.empty())
      return;
    Executor.cancel(Timer);
    Timer = 0;
    InFlight.emplace();
    InFlight->Number = ++LastBatch;
    while (!Queue.empty() && InFlight->Keys.size() < Options.MaxBatch) {
      InFlight->Keys.push_back(std::move(Queue.front()));
      Queue.pop_front();
    }
    commit();
  }

  void commit() {
    ++InFlight->Commits;
    table_transaction Transaction;
    std::string Value = writeClaim(Options.Self, InFlight->Number);
    for (const std::string &Key : InFlight->Keys) {
      Transaction.Checks.push_back({Key, 0});
      Transaction.Puts.push_back({Key, Value});
    }
    Table.commit(std::move(Transaction), onReply(&claim_batcher::onCommitted));
  }

  void onCommitted(runtime::result<transaction_reply> Result) {
    if (!Result)
      return Table.read(InFlight->Keys.front(), onReply(&claim_batcher::onReadBack));
    if (Result.value().Committed)
      return endBatch(ownClaim());
    onConflicts(Result.value().Conflicts);
  }

  // Keys that are taken get their owner; the others are tried again without them.
  void onConflicts(const std::vector<table_row> &Conflicts) {
    std::map<std::string, runtime::result<claim_owner>> Owners;
    for (const table_row &Row : Conflicts)
      Owners.emplace(Row.Key, ownerOf(Row));
    std::vector<std::string> Free;
    std::vector<std::string> Taken;
    for (std::string &Key : InFlight->Keys)
      (Owners.contains(Key) ? Taken : Free).push_back(std::move(Key));
    InFlight->Keys = std::move(Free);
    if (Taken.empty())
      // A conflict that names no key of the transaction is no reply of this protocol.
      return endBatch(errc::PlatformUnavailable);
    if (!InFlight->Keys.empty())
      commit();
    else
      InFlight.reset();
    for (const std::string &Key : Taken)
      answer(Key, Owners.at(Key));
    if (!InFlight)
      flush();
  }

  // A transaction is atomic, so the first key tells for all of them whether it took effect. When it did not,
  // it may still do so later; the repeated transaction then conflicts with this incarnation's own claims.
  void onReadBack(runtime::result<table_row> Result) {
    if (!Result)
      return endUnresolved();
    if (Result.value().Value == writeClaim(Options.Self, InFlight->Number))
      return endBatch(ownClaim());
    if (InFlight->Commits >= MaxCommits)
      return endUnresolved();
    commit();
  }

  claim_owner ownClaim() const {
    claim_owner Owner = Options.Self;
    Owner.Inserted = true;
    return Owner;
  }

  // An own claim counts as inserted now when it comes from the batch in flight, or from one without a known
  // outcome.
  runtime::result<claim_owner> ownerOf(const table_row &Row) {
    auto Claim = readClaim(Row.Value);
    if (!Claim)
      return Claim.error();
    claim_owner Owner = Claim.value().Owner;
    auto Node = Unresolved.extract(Row.Key);
    bool Mine = model::sameIncarnation(Owner.Authority, Options.Self.Authority);
    std::uint64_t Batch = Claim.value().Batch;
    Owner.Inserted = Mine && (Batch == InFlight->Number || (!Node.empty() && Node.mapped().contains(Batch)));
    return Owner;
  }

  void endUnresolved() {
    for (const std::string &Key : InFlight->Keys)
      if (Unresolved.size() < MaxUnresolved)
        Unresolved[Key].insert(InFlight->Number);
    endBatch(errc::PlatformUnavailable);
  }

  void endBatch(const runtime::result<claim_owner> &Owner) {
    std::vector<std::string> Keys = std::move(InFlight->Keys);
    InFlight.reset();
    for (const std::string &Key : Keys)
      answer(Key, Owner);
    // A timer that is running collects further claims.
    if (Timer == 0)
      flush();
  }

  void answer(const std::string &Key, const runtime::result<claim_owner> &Owner) {
    auto Node = Waiting.extract(Key);
    if (Node.empty())
      return;
    for (callback &OnDone : Node.mapped())
      OnDone(Owner);
  }

  runtime::executor &Executor;
  table &Table;
  claims_options Options;
  std::map<std::string, std::vector<callback>> Waiting;
  std::deque<std::string> Queue;
  std::optional<batch> InFlight;
  // Batches per key that may have taken effect, or may still do so.
  std::map<std::string, std::set<std::uint64_t>> Unresolved;
  runtime::timer_id Timer = 0;
  std::uint64_t LastBatch = 0;
  bool Closed = false;
};

class claims_impl final : public claims {
public:
  claims_impl(runtime::executor &Executor, table &Table, claims_options Options)
      : Table(Table), Batcher(std::make_shared<claim_batcher>(Executor, Table, std::move(Options))) {}
  claims_impl(const claims_impl &) = delete;
  claims_impl &operator=(const claims_impl &) = delete;
  ~claims_impl() override { Batcher->close(); }

  void claim(std::string Key, callback OnDone) override { Batcher->claim(Key, std::move(OnDone)); }

  void find(std::string Key, callback OnDone) override {
    Table.read(std::string(KeyPrefix) + Key, [OnDone = std::move(OnDone)](runtime::result<table_row> Row) {
      if (!Row)
        return OnDone(Row.error());
      if (Row.value().Revision == 0)
        return OnDone(errc::NotFound);
      auto Claim = readClaim(Row.value().Value);
      OnDone(Claim ? runtime::result<claim_owner>(Claim.value().Owner) : Claim.error());
    });
  }

private:
  table &Table;
  std::shared_ptr<claim_batcher> Batcher;
};

} // namespace

std::unique_ptr<claims> makeClaims(runtime::executor &Executor, table &Table, claims_options Options) {
  return std::make_unique<claims_impl>(Executor, Table, std::move(Options));
}

} // namespace yuccaplank::storage
