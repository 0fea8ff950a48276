// JSON bodies of the platform's protocol (docs/design.md, section 4.3), shared by the client and the
// stand-in.
#pragma once

#include "yuccaplank/storage/table.hpp"

#include <string>
#include <string_view>

namespace yuccaplank::storage {

/// Readers return errc::MalformedDocument.
std::string writeTransaction(const table_transaction &Transaction);
runtime::result<table_transaction> readTransaction(std::string_view Text);

std::string writeTransactionReply(const transaction_reply &Reply);
runtime::result<transaction_reply> readTransactionReply(std::string_view Text);

std::string writeRow(const table_row &Row);
runtime::result<table_row> readRow(std::string_view Text);

/// `{"rows":[…]}`
std::string writeRows(const std::vector<table_row> &Rows);
runtime::result<std::vector<table_row>> readRows(std::string_view Text);

std::string writeChanges(const table_changes &Changes);
runtime::result<table_changes> readChanges(std::string_view Text);

} // namespace yuccaplank::storage
