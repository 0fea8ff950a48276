// HTTP/1.1 client on h2o with a connection pool per address.
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

/// How far a failed request had progressed. This alone decides whether a caller may retry it.
enum class transfer_stage : std::uint8_t {
  /// No byte of the request was written: there was no connection, or it closed before the first byte.
  NothingWritten,
  /// At least one byte may have been written; the server may have acted on the request.
  MaybeWritten,
};

/// A request to an HTTP server.
struct http_call {
  std::string Method = "GET";
  /// Server address in the form "ip:port".
  std::string Address;
  /// Path, including the query.
  std::string Path;
  std::vector<http_header> Headers;
  std::string Body;
  /// Value of the Host header; if empty, Address is used.
  std::string Host;
  /// Limit for the whole exchange; zero means no limit.
  runtime::duration Timeout{};
};

/// A complete reply, or an error with the stage that the request had reached.
struct http_call_result {
  /// Not set if a complete reply was received.
  std::error_code Error;
  /// Only meaningful if Error is set.
  transfer_stage Stage = transfer_stage::MaybeWritten;
  int Status = 0;
  std::vector<http_header> Headers;
  std::string Body;

  /// Returns the value of a header, given its lower-case name; empty if the header is missing.
  [[nodiscard]] std::string_view header(std::string_view Name) const;
};

/// Identifies a call until its callback has run or the call is cancelled.
using call_id = std::uint64_t;

/// Timeouts and limits of a client.
struct http_client_options {
  runtime::duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Idle connections are not reused after this time and are closed at most 1 s later. The timeout must be
  /// shorter than the keep-alive timeout of the servers: if a server closes a connection while a request is
  /// being written, it is unknown whether the request was processed.
  runtime::duration IdleTimeout = std::chrono::seconds(2);
  std::size_t MaxReplyBytes = 16U << 20U;
};

/// HTTP client for any number of addresses, running on one event loop.
class http_client {
public:
  virtual ~http_client() = default;
  /// Sends a request. OnDone runs exactly once and never from within call(); it does not run if the call is
  /// cancelled.
  virtual call_id call(http_call Call, std::function<void(http_call_result)> OnDone) = 0;
  /// Closes the connection of a call and discards its callback.
  virtual void cancel(call_id Call) = 0;
  /// Number of open connections to an address, including idle ones.
  [[nodiscard]] virtual std::size_t connections(const std::string &Address) const = 0;
};

/// Creates a client. The loop must outlive it.
std::unique_ptr<http_client> makeHttpClient(runtime::loop &Loop, http_client_options Options = {});

} // namespace yuccaplank::wire
