// HTTP server on h2o. Each request carries a token, with which its reply can be sent at any later time.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/wire/receive_budget.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaplank::wire {

/// Identifies a request that has not been answered yet.
using request_token = std::uint64_t;

/// A header field.
struct http_header {
  std::string Name;
  std::string Value;
};

/// A completely received request.
struct http_request {
  request_token Token = 0;
  std::string Method;
  /// Requested host, including the port if the client sent one.
  std::string Host;
  /// Percent-decoded path without the query.
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Query;
  std::vector<http_header> Headers;
  std::string Body;
  /// Upper bound of the time that the request spent unread in the socket buffer.
  runtime::duration MaxUnreadTime{};

  /// Returns the value of a header, given its lower-case name; empty if the header is missing.
  [[nodiscard]] std::string_view header(std::string_view Name) const;
  /// Returns the value of a query parameter; empty if the parameter is missing.
  [[nodiscard]] std::string_view query(std::string_view Name) const;
};

/// A reply. Headers holds additional headers besides Content-Type and Content-Length.
struct http_reply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::vector<http_header> Headers;
  std::string Body;
};

/// Address and limits of a server.
struct http_server_options {
  /// Listening address in the form "ip:port"; port 0 selects a free port.
  std::string Address;
  std::size_t MaxBodyBytes = 1U << 20U;
  std::size_t MaxConnections = 4096;
  runtime::duration RequestTimeout = std::chrono::seconds(5);
  /// Time after shutdown() during which idle connections stay open: a caller's next request ends its
  /// connection with a reply, where closing at once would break requests that are under way.
  runtime::duration IdleCloseDelay = std::chrono::milliseconds(500);
  /// Whether new connections beyond MaxConnections take the place of those that have had no request for the
  /// longest time, rather than being refused.
  bool ReplaceIdleConnections = false;
  /// Whether HTTP/2 is served. Budget does not include the bodies of its streams.
  bool Http2 = true;
  /// Size of the receive buffer of each connection in the kernel, which doubles it; 0 selects the kernel's
  /// default.
  int ReceiveBufferBytes = 0;
  /// Limits unfinished requests, usually those of several servers. Optional.
  std::shared_ptr<receive_budget> Budget;
};

/// Counts since the start of a server.
struct http_server_counts {
  /// Requests that were not delivered because the server had closed their connection.
  std::uint64_t DroppedOnClosing = 0;
  /// Requests that were not delivered because their caller had closed the connection.
  std::uint64_t DroppedCallerLeft = 0;
  /// Connections that were closed for others, or refused, at the limit of connections.
  std::uint64_t ConnectionsReplaced = 0;
  std::uint64_t ConnectionsRefused = 0;
};

/// HTTP server. Replies to requests whose connection has closed are discarded.
class http_server {
public:
  virtual ~http_server() = default;
  /// Sends the reply to a request, at most once per token.
  virtual void reply(request_token Token, http_reply Reply) = 0;
  /// Closes the connection of a request without replying; OnClosed is not called.
  virtual void closeWithoutReply(request_token Token) = 0;
  /// Listening port.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Stops accepting connections. Requests can still be answered, then their connections close; idle
  /// connections close after IdleCloseDelay.
  virtual void shutdown() = 0;
  /// Number of requests that have not been answered yet.
  [[nodiscard]] virtual std::size_t pendingRequests() const = 0;
  /// Number of open connections, including idle ones.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  [[nodiscard]] virtual http_server_counts counts() const = 0;
};

/// Handlers run on the event loop. A request whose connection the caller or the server has closed is not
/// delivered: its caller may have sent it to another server. OnClosed reports that the connection of an
/// unanswered request has closed. A client that closes only its sending side is treated as disconnected.
struct http_server_handlers {
  std::function<void(http_request)> OnRequest;
  std::function<void(request_token)> OnClosed;
};

/// Creates a server that is already listening. Errors: errc::MalformedDocument for a malformed address,
/// otherwise the system error.
runtime::result<std::unique_ptr<http_server>> makeHttpServer(runtime::loop &Loop, http_server_options Options,
                                                             http_server_handlers Handlers);

} // namespace yuccaplank::wire
