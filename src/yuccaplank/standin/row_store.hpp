// Rows of the platform's store as its pages describe them: tables, one counter of versions, a history that
// can be lost. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace yuccaplank::standin {

struct row_name {
  std::string Table;
  std::string Part;
  std::string Key;
  bool operator<(const row_name &Other) const {
    return std::tie(Table, Part, Key) < std::tie(Other.Table, Other.Part, Other.Key);
  }
};

struct stored_row {
  row_name Name;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false;
};

struct expected_row {
  row_name Name;
  /// 0 when the row must not exist.
  std::uint64_t Version = 0;
};

struct row_transaction {
  std::vector<expected_row> Expected;
  std::vector<stored_row> Puts;
  std::vector<row_name> Removed;
};

struct row_page {
  std::vector<stored_row> Rows;
  std::uint64_t Version = 0;
  bool HasMore = false;
};

class row_store {
public:
  /// Version of the transaction; nothing, and no change, when a row has another version than expected.
  std::optional<std::uint64_t> commit(const row_transaction &Transaction);
  /// Rows of a part with keys of at least From.
  [[nodiscard]] row_page rows(std::string_view Table, std::string_view Part, std::string_view From) const;
  /// Rows of a table changed after a version, in order, dropped ones among them; nothing when that history is
  /// gone.
  [[nodiscard]] std::optional<row_page> changes(std::string_view Table, std::uint64_t After) const;
  /// Current rows of a transaction's expectations.
  [[nodiscard]] std::vector<stored_row> currentRows(const std::vector<expected_row> &Expected) const;
  void forgetHistory();
  [[nodiscard]] std::uint64_t version() const { return Version; }

private:
  [[nodiscard]] std::uint64_t currentVersion(const row_name &Name) const;
  void applyChange(stored_row Row);

  // Dropped rows stay until the history is forgotten.
  std::map<row_name, stored_row> Rows;
  std::map<std::uint64_t, row_name> Changes;
  std::uint64_t Version = 0;
  std::uint64_t ForgottenUpTo = 0;
};

} // namespace yuccaplank::standin
