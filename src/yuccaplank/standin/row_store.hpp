// In-memory model of the platform's store, according to its documentation: tables, one version counter for
// all rows, and a history that can be lost. It does no I/O.
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
  /// Expected version; 0 if the row must not exist.
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
  /// Applies a transaction and returns its version. If a row does not have the expected version, nothing is
  /// changed and nothing is returned.
  std::optional<std::uint64_t> commit(const row_transaction &Transaction);
  /// Returns the first page of the rows of a part, beginning with the key From.
  [[nodiscard]] row_page rows(std::string_view Table, std::string_view Part, std::string_view From) const;
  /// Returns the rows of a table that changed after a version, in the order of their changes and including
  /// deleted rows; nothing if that part of the history was lost.
  [[nodiscard]] std::optional<row_page> changes(std::string_view Table, std::uint64_t After) const;
  /// Returns the current state of the rows for which a transaction has expectations.
  [[nodiscard]] std::vector<stored_row> currentRows(const std::vector<expected_row> &Expected) const;
  void forgetHistory();
  [[nodiscard]] std::uint64_t version() const { return Version; }

private:
  [[nodiscard]] std::uint64_t currentVersion(const row_name &Name) const;
  void applyChange(stored_row Row);

  // Deleted rows are kept until the history is forgotten.
  std::map<row_name, stored_row> Rows;
  std::map<std::uint64_t, row_name> Changes;
  std::uint64_t Version = 0;
  std::uint64_t ForgottenUpTo = 0;
};

} // namespace yuccaplank::standin
