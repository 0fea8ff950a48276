#include "yuccaplank/storage/documents.hpp"

#include "yuccaplank/wire/document_writer.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::storage {
namespace {

using runtime::errc;

using apply_callback = std::function<void(runtime::result<apply_reply>)>;

constexpr std::size_t MaxChangeIdLength = 128;
// A lost reply or a lost race needs one more commit; further ones in a row mean an outage.
constexpr int MaxCommits = 3;

std::string serviceKey(const std::string &Service) { return "service/" + Service; }
std::string historyPrefix(const std::string &Service) { return "history/" + Service + "/"; }

runtime::result<schema::service_revision> readRevision(const table_row &Row) {
  schema::service_revision Revision;
  if (!wire::readDocument(Row.Value, Revision).empty())
    return errc::Internal;
  return Revision;
}

// One apply from its first read to its reply. Keeps itself alive by the table's callbacks.
//
// The transaction checks the service's row and that the change is new. It can therefore be repeated after a
// lost reply: it takes effect at most once, even if the lost request arrives late.
class apply_attempt : public std::enable_shared_from_this<apply_attempt> {
  template <typename Reply> auto onReply(void (apply_attempt::*Member)(runtime::result<Reply>)) {
    return [Self = shared_from_this(), Member](runtime::result<Reply> Result) {
      if (!*Self->Closed)
        (*Self.*Member)(std::move(Result));
    };
  }

public:
  apply_attempt(const runtime::clock &Clock, table &Table, std::shared_ptr<const bool> Closed,
                apply_request Request, apply_callback OnDone)
      : Clock(Clock), Table(Table), Closed(std::move(Closed)), Request(std::move(Request)),
        OnDone(std::move(OnDone)),
        ChangeKey("change/" + this->Request.Document.service() + "/" + this->Request.ChangeId) {}

  // The service's row is read before the change's row. When the change is then still absent and the service
  // has moved on, an earlier request of this change can no longer take effect. In the other order it could do
  // so between the two reads and would be taken for a conflicting change.
  void start() { Table.read(serviceKey(Request.Document.service()), onReply(&apply_attempt::onServiceRead)); }

private:
  void onServiceRead(runtime::result<table_row> Result) {
    if (!Result)
      return OnDone(errc::PlatformUnavailable);
    Row = std::move(Result.value());
    Table.read(ChangeKey, onReply(&apply_attempt::onChangeRead));
  }

  void onChangeRead(runtime::result<table_row> Result) {
    if (!Result)
      return OnDone(errc::PlatformUnavailable);
    if (Result.value().Revision != 0)
      return finish(true, Result.value());
    schema::service_revision Current;
    if (Row.Revision != 0) {
      auto Read = readRevision(Row);
      if (!Read)
        return OnDone(Read.error());
      Current = std::move(Read.value());
    }
    std::uint64_t Highest = std::max(Current.revision(), Request.KnownRevision);
    if (Request.ExpectedRevision != Highest)
      return OnDone(apply_reply{false, std::move(Current)});
    if (Commits >= MaxCommits)
      return OnDone(errc::PlatformUnavailable);
    commit(Row.Revision, Highest + 1);
  }

  void commit(std::uint64_t RowRevision, std::uint64_t NewRevision) {
    ++Commits;
    const std::string &Service = Request.Document.service();
    Proposed.set_revision(NewRevision);
    Proposed.set_change_id(Request.ChangeId);
    Proposed.set_committed_ms(Clock.unixMs());
    *Proposed.mutable_document() = Request.Document;
    std::string Value = wire::writeDocument(Proposed);
    table_transaction Transaction;
    Transaction.Checks = {{serviceKey(Service), RowRevision}, {ChangeKey, 0}};
    Transaction.Puts = {{serviceKey(Service), Value},
                        {fmt::format("{}{:020}", historyPrefix(Service), NewRevision), Value},
                        {ChangeKey, Value}};
    Table.commit(std::move(Transaction), onReply(&apply_attempt::onCommitted));
  }

  void onCommitted(runtime::result<transaction_reply> Result) {
    if (!Result)
      return start();
    if (Result.value().Committed)
      return OnDone(apply_reply{true, Proposed});
    const auto &Conflicts = Result.value().Conflicts;
    auto Find = [&](const std::string &Key) {
      return std::find_if(Conflicts.begin(), Conflicts.end(),
                          [&](const table_row &Row) { return Row.Key == Key; });
    };
    if (auto Change = Find(ChangeKey); Change != Conflicts.end())
      return finish(true, *Change);
    if (auto Service = Find(serviceKey(Request.Document.service())); Service != Conflicts.end())
      return finish(false, *Service);
    OnDone(errc::PlatformUnavailable);
  }

  void finish(bool Committed, const table_row &Row) {
    auto Revision = readRevision(Row);
    if (!Revision)
      return OnDone(Revision.error());
    OnDone(apply_reply{Committed, std::move(Revision.value())});
  }

  const runtime::clock &Clock;
  table &Table;
  std::shared_ptr<const bool> Closed;
  apply_request Request;
  apply_callback OnDone;
  std::string ChangeKey;
  // The service's row as read last.
  table_row Row;
  schema::service_revision Proposed;
  int Commits = 0;
};

class documents_impl final : public documents {
public:
  documents_impl(const runtime::clock &Clock, table &Table) : Clock(Clock), Table(Table) {}
  documents_impl(const documents_impl &) = delete;
  documents_impl &operator=(const documents_impl &) = delete;
  ~documents_impl() override { *Closed = true; }

  void apply(apply_request Request, apply_callback OnDone) override {
    if (Request.ChangeId.empty() || Request.ChangeId.size() > MaxChangeIdLength ||
        Request.Document.service().empty())
      return OnDone(errc::MissingField);
    std::make_shared<apply_attempt>(Clock, Table, Closed, std::move(Request), std::move(OnDone))->start();
  }

  void changes(std::uint64_t After,
               std::function<void(runtime::result<schema::catalog_snapshot>)> OnDone) override {
    Table.changes("service/", After,
                  [this, Closed = Closed, After,
                   OnDone = std::move(OnDone)](const runtime::result<table_changes> &Result) {
                    if (*Closed)
                      return;
                    if (Result && Result.value().Revision < After)
                      return changes(0, OnDone);
                    OnDone(readSnapshot(Result));
                  });
  }

  void history(std::string Service,
               std::function<void(runtime::result<std::vector<schema::service_revision>>)> OnDone) override {
    Table.rows(historyPrefix(Service), [Closed = Closed, OnDone = std::move(OnDone)](
                                           const runtime::result<std::vector<table_row>> &Result) {
      if (!*Closed)
        OnDone(readHistory(Result));
    });
  }

private:
  // A row that cannot be read must not hide the others.
  static runtime::result<schema::catalog_snapshot>
  readSnapshot(const runtime::result<table_changes> &Result) {
    if (!Result)
      return errc::PlatformUnavailable;
    schema::catalog_snapshot Snapshot;
    Snapshot.set_table_revision(Result.value().Revision);
    for (const table_row &Row : Result.value().Rows)
      if (auto Revision = readRevision(Row))
        *Snapshot.add_services() = std::move(Revision.value());
    return Snapshot;
  }

  static runtime::result<std::vector<schema::service_revision>>
  readHistory(const runtime::result<std::vector<table_row>> &Result) {
    if (!Result)
      return errc::PlatformUnavailable;
    std::vector<schema::service_revision> Revisions;
    for (const table_row &Row : Result.value())
      if (auto Revision = readRevision(Row))
        Revisions.push_back(std::move(Revision.value()));
    return Revisions;
  }

  const runtime::clock &Clock;
  table &Table;
  std::shared_ptr<bool> Closed = std::make_shared<bool>(false);
};

} // namespace

std::unique_ptr<documents> makeDocuments(runtime::executor &Executor, table &Table) {
  return std::make_unique<documents_impl>(Executor.clock(), Table);
}

} // namespace yuccaplank::storage
