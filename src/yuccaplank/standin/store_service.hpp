// HTTP service of the platform's store, with rate limits and injected faults.
#pragma once

#include "row_store.hpp"
#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace yuccaplank::standin {

enum class store_mode : std::uint8_t {
  Normal,
  /// Each call is answered with status 503 and not executed.
  Down,
  /// The connection of each call is closed without a reply.
  Reset,
  /// Calls are neither executed nor answered.
  Silent,
};

struct store_faults {
  store_mode Mode = store_mode::Normal;
  runtime::duration Delay{};
  /// Share of writes that are executed but not answered.
  double LostAnswers = 0;
  /// Share of writes that are not answered and are executed seconds later, if their expectations still hold.
  double LateWrites = 0;
};

struct store_options {
  /// Listening address in the form "ip:port"; port 0 selects a free port.
  std::string Listen;
  /// Rate limits for the calls of all clients together.
  std::uint32_t ReadsPerSecond = 2000;
  std::uint32_t WritesPerSecond = 600;
  runtime::duration TransactionDelay = std::chrono::milliseconds(8);
  std::uint64_t Seed = 1;
};

struct store_counters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Calls that exceeded a rate limit and were answered with status 429.
  std::uint64_t Rejected = 0;
};

class store_service {
public:
  virtual ~store_service() = default;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Writes a row as the platform itself does, without rate limits and faults.
  virtual void put(const std::string &Table, const std::string &Key, const std::string &Value) = 0;
  virtual void remove(const std::string &Table, const std::string &Key) = 0;
  virtual void forgetHistory() = 0;
  virtual void setFaults(store_faults Faults) = 0;
  [[nodiscard]] virtual const row_store &rows() const = 0;
  [[nodiscard]] virtual const store_counters &counters() const = 0;
};

/// Starts the service. Errors are those of wire::makeHttpServer.
runtime::result<std::unique_ptr<store_service>> makeStoreService(runtime::loop &Loop,
                                                                 const store_options &Options);

} // namespace yuccaplank::standin
