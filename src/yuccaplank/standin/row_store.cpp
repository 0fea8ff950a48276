#include "row_store.hpp"
#include "yuccaplank/platform/store_client.hpp"

#include <algorithm>

namespace yuccaplank::standin {

std::uint64_t row_store::currentVersion(const row_name &Name) const {
  auto Found = Rows.find(Name);
  return Found == Rows.end() || Found->second.Deleted ? 0 : Found->second.Version;
}

// Each changed row gets a new version, and the history keeps only the latest change of each row.
void row_store::applyChange(stored_row Row) {
  stored_row &Stored = Rows[Row.Name];
  Changes.erase(Stored.Version);
  Row.Version = ++Version;
  Changes[Row.Version] = Row.Name;
  Stored = std::move(Row);
}

std::optional<std::uint64_t> row_store::commit(const row_transaction &Transaction) {
  bool ExpectationsHold = std::ranges::all_of(Transaction.Expected, [this](const expected_row &Expected) {
    return currentVersion(Expected.Name) == Expected.Version;
  });
  if (!ExpectationsHold)
    return std::nullopt;
  for (const stored_row &Put : Transaction.Puts)
    applyChange({Put.Name, Put.Value, 0, false});
  for (const row_name &Name : Transaction.Removed)
    if (currentVersion(Name) != 0)
      applyChange({Name, "", 0, true});
  return Version;
}

row_page row_store::rows(std::string_view Table, std::string_view Part, std::string_view From) const {
  row_page Page;
  Page.Version = Version;
  row_name First{std::string(Table), std::string(Part), std::string(From)};
  for (auto Row = Rows.lower_bound(First); Row != Rows.end(); ++Row) {
    if (Row->first.Table != Table || Row->first.Part != Part)
      break;
    if (Row->second.Deleted)
      continue;
    if (Page.Rows.size() == platform::MaxPageRows) {
      Page.HasMore = true;
      break;
    }
    Page.Rows.push_back(Row->second);
  }
  return Page;
}

std::optional<row_page> row_store::changes(std::string_view Table, std::uint64_t After) const {
  if (After < ForgottenUpTo)
    return std::nullopt;
  row_page Page;
  Page.Version = Version;
  for (auto Change = Changes.upper_bound(After); Change != Changes.end(); ++Change)
    if (Change->second.Table == Table)
      Page.Rows.push_back(Rows.at(Change->second));
  return Page;
}

std::vector<stored_row> row_store::currentRows(const std::vector<expected_row> &Expected) const {
  std::vector<stored_row> Result;
  for (const expected_row &Row : Expected) {
    auto Found = Rows.find(Row.Name);
    Result.push_back(Found == Rows.end() ? stored_row{Row.Name, "", 0, true} : Found->second);
  }
  return Result;
}

void row_store::forgetHistory() {
  ForgottenUpTo = Version;
  Changes.clear();
  std::erase_if(Rows, [](const auto &Row) { return Row.second.Deleted; });
}

} // namespace yuccaplank::standin
