// HTTP/1.1 client on h2o with pooled connections per address.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::wire {

/// How far a failed request had got. Whoever retries decides by this alone.
enum class transfer_stage : std::uint8_t {
  /// No connection could be established, or it closed before a byte of the request was written.
  NothingWritten,
  /// At least one byte may have been written; the server may have acted on the request.
  MaybeWritten,
};

/// A request.
struct http_call {
  std::string Method = "GET";
  /// "ip:port".
  std::string Address;
  /// Path with query.
  std::string Path;
  std::vector<http_header> Headers;
  std::string Body;
  /// Host that the request is for; empty takes the address.
  std::string Host;
  /// Time for the whole exchange; zero means no limit.
  runtime::duration Timeout{};
};

/// A complete reply, or the error and how far the request had got.
struct http_call_result {
  /// Empty when a complete reply has arrived.
  std::error_code Error;
  /// Valid when Error is set.
  transfer_stage Stage = transfer_stage::MaybeWritten;
  int Status = 0;
  std::vector<http_header> Headers;
  std::string Body;

  /// Value of a header by its lower-case name; empty when absent.
  [[nodiscard]] std::string_view header(std::string_view Name) const;
};

/// Identifies a call until its callback has run.
using call_id = std::uint64_t;

/// Limits and times of a client.
struct http_client_options {
  runtime::duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Idle connections are not used after this time and are closed at most 1 s later. It must be shorter than
  /// the servers' keep-alive, since a connection that the server closes while a request is written makes the
  /// outcome ambiguous.
  runtime::duration IdleTimeout = std::chrono::seconds(2);
  std::size_t MaxReplyBytes = 16U << 20U;
};

/// Client for any number of addresses. Runs on one loop.
class http_client {
public:
  virtual ~http_client() = default;
  /// OnDone runs exactly once, never from within call(), unless the call is abandoned.
  virtual call_id call(http_call Call, std::function<void(http_call_result)> OnDone) = 0;
  /// Closes the connection of a call and drops its callback.
  virtual void cancel(call_id Call) = 0;
  /// Open connections to an address, idle ones included.
  [[nodiscard]] virtual std::size_t connections(const std::string &Address) const = 0;
};

/// Client on a loop, which must outlive it.
std::unique_ptr<http_client> makeHttpClient(runtime::loop &Loop, http_client_options Options = {});

} // namespace yuccaplank::wire
