// Keeps a copy of one table of the platform's store up to date by long polling.
#pragma once

#include "yuccaplank/platform/store_client.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace yuccaplank::entry {

struct table_watch_options {
  std::string Table;
  /// The store answers a poll after this time even without changes; this bounds how long an unresponsive
  /// connection stays unnoticed.
  runtime::duration LongPollTimeout = std::chrono::milliseconds(1000);
  /// Minimum time between the starts of two polls; all changes within it take a single call.
  runtime::duration MinInterval = std::chrono::milliseconds(20);
  /// Delay before a failed call is repeated.
  runtime::duration RetryDelay = std::chrono::milliseconds(150);
};

class table_watch {
public:
  virtual ~table_watch() = default;
  /// Sets the timeout of later polls.
  virtual void setLongPollTimeout(runtime::duration Timeout) = 0;
  /// Rows by key, as last read.
  [[nodiscard]] virtual const std::map<std::string, platform::store_row> &rows() const = 0;
  /// Version of the store that the rows reflect.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  /// Whether the last call succeeded.
  [[nodiscard]] virtual bool lastCallSucceeded() const = 0;
  /// Time at which the store last became reachable again after failed calls; the epoch of the clock if it
  /// never did.
  [[nodiscard]] virtual runtime::time_point reconnectedAt() const = 0;
};

/// A call to the store that has ended.
struct table_read {
  bool Succeeded = false;
  /// When the call was sent, on the clock that counts suspension.
  runtime::time_point SentAt{};
};

/// Starts at once. OnChange runs after each complete read of the table and after each change, OnRead after
/// each call, and after OnChange.
std::unique_ptr<table_watch> makeTableWatch(runtime::executor &Executor, platform::store_client &Store,
                                            table_watch_options Options, std::function<void()> OnChange,
                                            std::function<void(const table_read &)> OnRead = nullptr);

} // namespace yuccaplank::entry
