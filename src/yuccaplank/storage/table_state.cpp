#include "yuccaplank/storage/table_state.hpp"

#include "yuccaplank/storage/table_codec.hpp"

namespace yuccaplank::storage {

transaction_reply table_state::commit(const table_transaction &Transaction) {
  transaction_reply Reply;
  for (const table_check &Check : Transaction.Checks) {
    table_row Row = read(Check.Key);
    if (Row.Revision != Check.Revision)
      Reply.Conflicts.push_back(std::move(Row));
  }
  Reply.Committed = Reply.Conflicts.empty();
  if (!Reply.Committed)
    return Reply;
  Reply.Revision = ++Revision;
  for (const table_put &Put : Transaction.Puts)
    Rows[Put.Key] = {Put.Key, Revision, Put.Value};
  return Reply;
}

table_row table_state::read(const std::string &Key) const {
  auto Found = Rows.find(Key);
  return Found == Rows.end() ? table_row{Key, 0, {}} : Found->second;
}

std::vector<table_row> table_state::rows(std::string_view Prefix) const { return changes(Prefix, 0).Rows; }

table_changes table_state::changes(std::string_view Prefix, std::uint64_t After) const {
  table_changes Changes;
  Changes.Revision = Revision;
  for (auto Row = Rows.lower_bound(Prefix); Row != Rows.end() && Row->first.starts_with(Prefix); ++Row)
    if (Row->second.Revision > After)
      Changes.Rows.push_back(Row->second);
  return Changes;
}

std::string writeBackup(const table_state &State) { return writeChanges(State.changes("", 0)); }

runtime::result<table_state> readBackup(std::string_view Text) {
  auto Changes = readChanges(Text);
  if (!Changes)
    return Changes.error();
  table_state State;
  State.Revision = Changes.value().Revision;
  for (table_row &Row : Changes.value().Rows) {
    std::string Key = Row.Key;
    State.Rows.emplace(std::move(Key), std::move(Row));
  }
  return State;
}

void lagging_vm_list::publish(schema::vm_list List, runtime::time_point Now) {
  List.set_version(++Version);
  // Whoever reads the list until then sees the entry that is visible now.
  while (Entries.size() > 1 && Entries[1].VisibleFrom <= Now)
    Entries.pop_front();
  Entries.push_back({Now + Lag, std::move(List)});
}

schema::vm_list lagging_vm_list::visible(runtime::time_point Now) const {
  schema::vm_list List;
  for (const entry &Entry : Entries)
    if (Entry.VisibleFrom <= Now)
      List = Entry.List;
  return List;
}

} // namespace yuccaplank::storage
