// Follows the rows of one table of the platform's store.
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
  /// Waiting time of one call; bounds how long a silent connection stays unnoticed.
  runtime::duration Wait = std::chrono::milliseconds(1000);
  /// Time between the beginnings of two calls at least; more changes in this time cost one call.
  runtime::duration Interval = std::chrono::milliseconds(20);
  /// Pause after a call that has failed.
  runtime::duration RetryDelay = std::chrono::milliseconds(150);
};

class table_watch {
public:
  virtual ~table_watch() = default;
  /// Waiting time of the next calls.
  virtual void setWait(runtime::duration Wait) = 0;
  /// Rows by key as last read.
  [[nodiscard]] virtual const std::map<std::string, platform::store_row> &rows() const = 0;
  /// Whether the last call succeeded.
  [[nodiscard]] virtual bool current() const = 0;
  /// When the store last became reachable again after failed calls; the epoch of the clock if it never did.
  [[nodiscard]] virtual runtime::time_point regainedAt() const = 0;
};

/// Starts at once. OnChange runs after the first read and after each change.
std::unique_ptr<table_watch> makeTableWatch(runtime::executor &Executor, platform::store_client &Store,
                                            table_watch_options Options, std::function<void()> OnChange);

} // namespace yuccaplank::entry
