// The platform's transactional table service and VM list, as this system uses them.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::storage {

/// A row as read.
struct table_row {
  std::string Key;
  /// Revision of the last write; 0 for an absent row.
  std::uint64_t Revision = 0;
  std::string Value;
};

/// Precondition of a transaction: the row has this revision; 0 means that it is absent.
struct table_check {
  std::string Key;
  std::uint64_t Revision = 0;
};

/// A row to write.
struct table_put {
  std::string Key;
  std::string Value;
};

/// Writes all puts when all checks hold, otherwise nothing.
struct table_transaction {
  std::vector<table_check> Checks;
  std::vector<table_put> Puts;
};

/// Outcome of a transaction whose reply has arrived.
struct transaction_reply {
  bool Committed = false;
  std::uint64_t Revision = 0;
  /// Rows that failed their check.
  std::vector<table_row> Conflicts;
};

/// Rows written after a revision, and the current revision of the table.
struct table_changes {
  std::uint64_t Revision = 0;
  std::vector<table_row> Rows;
};

/// Client of the platform. Callbacks run exactly once. An error of commit() leaves open whether the write
/// took effect; the caller has to read back.
class table {
public:
  virtual ~table() = default;
  virtual void commit(table_transaction Transaction,
                      std::function<void(runtime::result<transaction_reply>)> OnDone) = 0;
  /// A row by its key; its revision is 0 when it is absent.
  virtual void read(std::string Key, std::function<void(runtime::result<table_row>)> OnDone) = 0;
  /// All rows whose key begins with Prefix.
  virtual void rows(std::string Prefix,
                    std::function<void(runtime::result<std::vector<table_row>>)> OnDone) = 0;
  /// Rows with the prefix that were written after a revision of the table.
  virtual void changes(std::string Prefix, std::uint64_t After,
                       std::function<void(runtime::result<table_changes>)> OnDone) = 0;
  /// The VM list as the platform shows it, with its lag.
  virtual void vms(std::function<void(runtime::result<schema::vm_list>)> OnDone) = 0;
  /// Requests sent since the start.
  struct counters {
    std::uint64_t Reads = 0;
    std::uint64_t Writes = 0;
  };
  [[nodiscard]] virtual counters totals() const = 0;
};

/// Address and timeout of a client.
struct table_options {
  /// "ip:port".
  std::string Address;
  runtime::duration Timeout = std::chrono::milliseconds(1500);
};

/// Client over HTTP. Errors: errc::PlatformUnavailable.
std::unique_ptr<table> makeTable(wire::http_client &Client, table_options Options);

} // namespace yuccaplank::storage
