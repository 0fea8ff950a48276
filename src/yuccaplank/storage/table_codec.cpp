#include "yuccaplank/storage/table_codec.hpp"

#include <nlohmann/json.hpp>

namespace yuccaplank::storage {
namespace {

using nlohmann::json;
using runtime::errc;

std::string dump(const json &Object) { return Object.dump(-1, ' ', false, json::error_handler_t::replace); }

// Applies Read to the parsed text. Members that are absent or of a wrong type are exceptions of the library.
template <typename Function> auto parse(std::string_view Text, Function Read) {
  using value = decltype(Read(json()));
  try {
    return runtime::result<value>(Read(json::parse(Text)));
  } catch (const json::exception &) {
    return runtime::result<value>(errc::MalformedDocument);
  }
}

std::uint64_t revisionOf(const json &Object) {
  const json &Value = Object.at("revision");
  if (!Value.is_number_unsigned())
    throw json::type_error::create(302, "revision", &Value);
  return Value.get<std::uint64_t>();
}

json rowToJson(const table_row &Row) {
  return {{"key", Row.Key}, {"revision", Row.Revision}, {"value", Row.Value}};
}

table_row rowFromJson(const json &Object) {
  return {Object.at("key").get<std::string>(), revisionOf(Object), Object.at("value").get<std::string>()};
}

json rowsToJson(const std::vector<table_row> &Rows) {
  json Array = json::array();
  for (const table_row &Row : Rows)
    Array.push_back(rowToJson(Row));
  return Array;
}

std::vector<table_row> rowsFromJson(const json &Array) {
  std::vector<table_row> Rows;
  Rows.reserve(Array.size());
  for (const json &Object : Array)
    Rows.push_back(rowFromJson(Object));
  return Rows;
}

} // namespace

std::string writeTransaction(const table_transaction &Transaction) {
  json Checks = json::array();
  for (const table_check &Check : Transaction.Checks)
    Checks.push_back({{"key", Check.Key}, {"revision", Check.Revision}});
  json Puts = json::array();
  for (const table_put &Put : Transaction.Puts)
    Puts.push_back({{"key", Put.Key}, {"value", Put.Value}});
  return dump({{"checks", std::move(Checks)}, {"puts", std::move(Puts)}});
}

runtime::result<table_transaction> readTransaction(std::string_view Text) {
  return parse(Text, [](const json &Object) {
    table_transaction Transaction;
    for (const json &Check : Object.at("checks"))
      Transaction.Checks.push_back({Check.at("key").get<std::string>(), revisionOf(Check)});
    for (const json &Put : Object.at("puts"))
      Transaction.Puts.push_back({Put.at("key").get<std::string>(), Put.at("value").get<std::string>()});
    return Transaction;
  });
}

std::string writeTransactionReply(const transaction_reply &Reply) {
  if (Reply.Committed)
    return dump({{"revision", Reply.Revision}});
  return dump({{"conflicts", rowsToJson(Reply.Conflicts)}});
}

runtime::result<transaction_reply> readTransactionReply(std::string_view Text) {
  return parse(Text, [](const json &Object) {
    transaction_reply Reply;
    Reply.Committed = !Object.contains("conflicts");
    if (Reply.Committed)
      Reply.Revision = revisionOf(Object);
    else
      Reply.Conflicts = rowsFromJson(Object["conflicts"]);
    return Reply;
  });
}

std::string writeRow(const table_row &Row) { return dump(rowToJson(Row)); }

runtime::result<table_row> readRow(std::string_view Text) { return parse(Text, rowFromJson); }

std::string writeRows(const std::vector<table_row> &Rows) { return dump({{"rows", rowsToJson(Rows)}}); }

runtime::result<std::vector<table_row>> readRows(std::string_view Text) {
  return parse(Text, [](const json &Object) { return rowsFromJson(Object.at("rows")); });
}

std::string writeChanges(const table_changes &Changes) {
  return dump({{"revision", Changes.Revision}, {"rows", rowsToJson(Changes.Rows)}});
}

runtime::result<table_changes> readChanges(std::string_view Text) {
  return parse(Text, [](const json &Object) {
    return table_changes{revisionOf(Object), rowsFromJson(Object.at("rows"))};
  });
}

} // namespace yuccaplank::storage
