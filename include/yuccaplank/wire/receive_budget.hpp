// Bounds the memory and the time that unfinished requests of several HTTP servers take.
#pragma once

#include "yuccaplank/runtime/loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace yuccaplank::wire {

struct receive_limits {
  /// Limit of the bytes of all unfinished requests.
  std::size_t MaxBytes = std::size_t{64} << 20U;
  /// Limit of the time from the first byte of a request to its last one.
  runtime::duration MaxTime = std::chrono::seconds(10);
};

enum class receive_refusal : std::uint8_t { None, Memory, Time };

/// A request of which a part has arrived.
struct unfinished_request {
  std::size_t Bytes = 0;
  runtime::time_point Since;
  /// Identifies the request for its source.
  std::size_t Source = 0;
  std::uint64_t Connection = 0;
  receive_refusal Refusal = receive_refusal::None;
};

/// Decides which requests are refused: those that have taken too long, and then the largest ones until the
/// rest is within the limit. Sizes that differ by less than a factor of 2 count as equal; of these, the
/// oldest are refused first, so that requests that make progress are finished.
void chooseRefused(std::vector<unfinished_request> &Requests, const receive_limits &Limits,
                   runtime::time_point Now);

/// A server with unfinished requests.
class receive_source {
public:
  virtual ~receive_source() = default;
  /// Appends the unfinished requests.
  virtual void collect(std::vector<unfinished_request> &Requests, runtime::time_point Now) = 0;
  virtual void refuse(const unfinished_request &Request) = 0;
};

struct receive_counts {
  std::uint64_t RefusedForMemory = 0;
  std::uint64_t RefusedForTime = 0;
};

/// Checks its sources after the iterations of the event loop. It has to be destroyed before the loop.
class receive_budget {
public:
  virtual ~receive_budget() = default;
  /// Sources are held weakly.
  virtual void add(std::weak_ptr<receive_source> Source) = 0;
  [[nodiscard]] virtual receive_counts counts() const = 0;
};

std::shared_ptr<receive_budget> makeReceiveBudget(runtime::loop &Loop, receive_limits Limits);

} // namespace yuccaplank::wire
