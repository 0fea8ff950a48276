// The platform's store over HTTP, with its limits and its faults.
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
  /// Every call gets 503; nothing is done.
  Down,
  /// Connections are reset.
  Reset,
  /// Calls get no answer; nothing is done.
  Silent,
};

struct store_faults {
  store_mode Mode = store_mode::Normal;
  runtime::duration Delay{};
  /// Share of writes that are carried out and not answered.
  double LostAnswers = 0;
  /// Share of writes that are not answered and carried out seconds later, if their condition still holds.
  double LateWrites = 0;
};

struct store_options {
  /// "ip:port"; port 0 takes a free port.
  std::string Listen;
  /// Calls of all clients together.
  std::uint32_t ReadsPerSecond = 2000;
  std::uint32_t WritesPerSecond = 600;
  runtime::duration TransactionDelay = std::chrono::milliseconds(8);
  std::uint64_t Seed = 1;
};

struct store_counters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Calls beyond the rates, answered with 429.
  std::uint64_t Rejected = 0;
};

class store_service {
public:
  virtual ~store_service() = default;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Writes as the platform itself: no rates, no faults.
  virtual void put(const std::string &Table, const std::string &Key, const std::string &Value) = 0;
  virtual void remove(const std::string &Table, const std::string &Key) = 0;
  virtual void forgetHistory() = 0;
  virtual void setFaults(store_faults Faults) = 0;
  [[nodiscard]] virtual const row_store &rows() const = 0;
  [[nodiscard]] virtual const store_counters &counters() const = 0;
};

/// Errors are those of wire::makeHttpServer.
runtime::result<std::unique_ptr<store_service>> makeStoreService(runtime::loop &Loop,
                                                                 const store_options &Options);

} // namespace yuccaplank::standin
