// Client of the platform's store, which keeps versioned rows in tables.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::platform {

/// Names of the tables that the platform fills, and of keys in them.
inline constexpr const char *OperatorTable = "op";
inline constexpr const char *ConfigurationKey = "config";
inline constexpr std::string_view EvacuationKeyPrefix = "evacuate/";
inline constexpr const char *ServerTable = "servers";

/// A row of a table. Only rows in the table's part with the empty name are read and written.
struct store_row {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false;
};

/// Maximum number of rows that one call returns.
inline constexpr std::size_t MaxPageRows = 500;

struct store_page {
  std::vector<store_row> Rows;
  /// Newest version in the store.
  std::uint64_t Version = 0;
  bool HasMore = false;
};

/// Errors of all calls: errc::PlatformUnavailable if the call failed or its outcome is unknown,
/// errc::NotFound if the store no longer keeps the requested history, errc::RevisionConflict if a row has
/// another version, and errc::MalformedDocument if the reply cannot be read.
class store_client {
public:
  virtual ~store_client() = default;
  /// Reads a page of a table's rows as of one moment, starting at the key From (inclusive; empty for the
  /// first).
  virtual void rows(const std::string &Table, const std::string &From,
                    std::function<void(runtime::result<store_page>)> OnDone) = 0;
  /// Reads the rows that changed after the version After. The store replies as soon as there are any, or
  /// without rows after LongPollTimeout.
  virtual void changes(const std::string &Table, std::uint64_t After, runtime::duration LongPollTimeout,
                       std::function<void(runtime::result<store_page>)> OnDone) = 0;
  /// Writes a row regardless of its previous value and returns its version. After errc::PlatformUnavailable
  /// the write may have been carried out, or may still be carried out later.
  virtual void put(const std::string &Table, const std::string &Key, const std::string &Value,
                   std::function<void(runtime::result<std::uint64_t>)> OnDone) = 0;
  /// Writes a row like put(), but only if it still has the given version; 0 if it must not exist yet.
  virtual void replace(const std::string &Table, const std::string &Key, const std::string &Value,
                       std::uint64_t Version, std::function<void(runtime::result<std::uint64_t>)> OnDone) = 0;
  /// Removes a row if it still has the given version.
  virtual void remove(const std::string &Table, const std::string &Key, std::uint64_t Version,
                      std::function<void(runtime::result<std::uint64_t>)> OnDone) = 0;
};

struct store_client_options {
  std::string Address;
  /// Timeout of a reply, in addition to the long-poll timeout of the call. It detects unresponsive
  /// connections.
  runtime::duration ReplyTimeout = std::chrono::milliseconds(500);
};

/// The client must outlive the result.
std::unique_ptr<store_client> makeStoreClient(wire::http_client &Client, store_client_options Options);

} // namespace yuccaplank::platform
