// HTTP server on h2o. Requests arrive as values; replies are sent by token, at any later time.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaplank::wire {

/// Identifies a request that awaits its reply.
using request_token = std::uint64_t;

/// A header field.
struct http_header {
  std::string Name;
  std::string Value;
};

/// A complete request.
struct http_request {
  request_token Token = 0;
  std::string Method;
  /// Host that the request is for, with the port if the client sent one.
  std::string Host;
  /// Path without the query, percent-decoded.
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Query;
  std::vector<http_header> Headers;
  std::string Body;

  /// Value of a header by its lower-case name; empty when absent.
  [[nodiscard]] std::string_view header(std::string_view Name) const;
  /// Value of a query parameter; empty when absent.
  [[nodiscard]] std::string_view query(std::string_view Name) const;
};

/// A reply; headers besides the content type and length are optional.
struct http_reply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::vector<http_header> Headers;
  std::string Body;
};

/// Address and limits of a server.
struct http_server_options {
  /// "ip:port"; port 0 takes a free port.
  std::string Address;
  std::size_t MaxBodyBytes = 1U << 20U;
  std::size_t MaxConnections = 4096;
  runtime::duration RequestTimeout = std::chrono::seconds(5);
};

/// Listener. Replies to requests whose connection has closed are discarded.
class http_server {
public:
  virtual ~http_server() = default;
  /// Sends the reply of a request; at most one per token.
  virtual void reply(request_token Token, http_reply Reply) = 0;
  /// Closes the connection of a request without a reply; OnClosed is not called.
  virtual void closeWithoutReply(request_token Token) = 0;
  /// Port on which the server listens.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Stops accepting connections; requests in progress are still answered, then connections close.
  virtual void shutdown() = 0;
  /// Requests that await their reply.
  [[nodiscard]] virtual std::size_t pendingRequests() const = 0;
  /// Open connections, idle ones included.
  [[nodiscard]] virtual std::size_t connections() const = 0;
};

/// Handlers run on the loop. OnClosed tells that the connection of an unanswered request has closed; a client
/// that closes only its sending side counts as gone.
struct http_server_handlers {
  std::function<void(http_request)> OnRequest;
  std::function<void(request_token)> OnClosed;
};

/// Listens at once. Errors: errc::MalformedDocument for a malformed address, otherwise the system's
/// error.
runtime::result<std::unique_ptr<http_server>> makeHttpServer(runtime::loop &Loop, http_server_options Options,
                                                             http_server_handlers Handlers);

} // namespace yuccaplank::wire
