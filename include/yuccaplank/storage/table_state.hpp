// State behind the stand-ins of the platform: the transactional table and the lagging VM list. No I/O.
#pragma once

#include "yuccaplank/runtime/clock.hpp"
#include "yuccaplank/storage/table.hpp"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::storage {

/// Rows with revisions. Every committed transaction takes one revision for all of its rows.
class table_state {
public:
  /// Applies the transaction, or reports the rows that fail their checks.
  transaction_reply commit(const table_transaction &Transaction);
  /// Revision 0 for an absent row.
  [[nodiscard]] table_row read(const std::string &Key) const;
  /// Rows in the order of their keys.
  [[nodiscard]] std::vector<table_row> rows(std::string_view Prefix) const;
  /// Rows written after a revision, and the current revision of the table.
  [[nodiscard]] table_changes changes(std::string_view Prefix, std::uint64_t After) const;

private:
  std::map<std::string, table_row, std::less<>> Rows;
  std::uint64_t Revision = 0;

  friend std::string writeBackup(const table_state &State);
  friend runtime::result<table_state> readBackup(std::string_view Text);
};

/// JSON copy of a whole table, and its inverse. A table restored from an old copy has an old revision too.
std::string writeBackup(const table_state &State);
/// Errors: errc::MalformedDocument.
runtime::result<table_state> readBackup(std::string_view Text);

/// List whose changes become visible after a lag.
class lagging_vm_list {
public:
  explicit lagging_vm_list(runtime::duration Lag) : Lag(Lag) {}
  /// The version is set to the next one.
  void publish(schema::vm_list List, runtime::time_point Now);
  /// The newest list whose lag has passed.
  [[nodiscard]] schema::vm_list visible(runtime::time_point Now) const;

private:
  struct entry {
    runtime::time_point VisibleFrom;
    schema::vm_list List;
  };
  runtime::duration Lag;
  std::uint64_t Version = 0;
  // Ordered by time; the last entry that is visible counts.
  std::deque<entry> Entries;
};

} // namespace yuccaplank::storage
