// The platform's store: tables of rows that change under conditions.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::platform {

/// Tables that the platform fills, and keys in them.
inline constexpr const char *OperatorTable = "op";
inline constexpr const char *ConfigurationKey = "config";
inline constexpr const char *ServerTable = "servers";

/// A row; all rows read here lie in the part with the empty name.
struct store_row {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false;
};

/// Rows that one call returns at most.
inline constexpr std::size_t MaxPageRows = 500;

struct store_page {
  std::vector<store_row> Rows;
  /// Newest version of the store.
  std::uint64_t Version = 0;
  bool HasMore = false;
};

/// Errors of all calls: errc::PlatformUnavailable when nothing was done or nothing is known, errc::NotFound
/// when the history asked for is no longer there, errc::MalformedDocument for a reply that cannot be read.
class store_client {
public:
  virtual ~store_client() = default;
  /// Rows of a table as of one moment, from a key on (inclusive; empty for all).
  virtual void rows(const std::string &Table, const std::string &From,
                    std::function<void(runtime::result<store_page>)> OnDone) = 0;
  /// Rows changed after a version, as soon as there are any or the wait is over.
  virtual void changes(const std::string &Table, std::uint64_t After, runtime::duration Wait,
                       std::function<void(runtime::result<store_page>)> OnDone) = 0;
  /// Writes a row whatever it held; returns its version. After errc::PlatformUnavailable the write may have
  /// been or may still be carried out.
  virtual void put(const std::string &Table, const std::string &Key, const std::string &Value,
                   std::function<void(runtime::result<std::uint64_t>)> OnDone) = 0;
  /// Removes a row if it still has the version.
  virtual void remove(const std::string &Table, const std::string &Key, std::uint64_t Version,
                      std::function<void(runtime::result<std::uint64_t>)> OnDone) = 0;
};

struct store_client_options {
  std::string Address;
  /// Time for a reply beyond the waiting time of the call. A connection that has gone silent is noticed by
  /// it.
  runtime::duration ReplyTimeout = std::chrono::milliseconds(500);
};

/// The client must outlive the result.
std::unique_ptr<store_client> makeStoreClient(wire::http_client &Client, store_client_options Options);

} // namespace yuccaplank::platform
