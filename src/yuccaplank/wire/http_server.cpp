#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
}

#include "hangup_watch.hpp"
#include "http_status.hpp"
#include "page_release.hpp"
#include "unread_bound.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/http_server.hpp"
#include "yuccaplank/wire/socket_address.hpp"
#include "yuccaplank/wire/url.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <new>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace yuccaplank::wire {
namespace {

using runtime::duration;
using runtime::time_point;

constexpr int ListenBacklog = 1024;
// Limit of connections accepted in one loop iteration, so that a burst does not delay requests in progress.
constexpr int AcceptBatch = 32;
// Concurrent requests of one HTTP/2 connection; equals h2o's limit for open streams.
constexpr std::size_t MaxStreamsPerConnection = 256;
// Limit for the path and the header names and values of a request. The limit of h2o itself is 408 KiB.
constexpr std::size_t MaxHeaderBytes = 16U << 10U;

// Shares of MaxConnections: connections that are closed at a time to make room, and connections that may be
// closing while others are accepted in their place.
constexpr std::size_t ReplacedShare = 32;
constexpr std::size_t ClosingShare = 8;
constexpr std::string_view NoMemoryReply = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                                           "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view RequestTimeoutReply = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
                                                 "Content-Length: 0\r\n\r\n";

class server_state;

// An accepted connection, owned by server_state until h2o closes the socket.
struct connection {
  server_state *Owner = nullptr;
  h2o_socket_t *Socket = nullptr;
  std::uint64_t Id = 0;
  int Fd = -1;
  std::size_t Pending = 0;
  // The unanswered request of an HTTP/1.1 connection, or 0.
  request_token Http1Request = 0;
  bool Http2 = false;
  bool PeerClosed = false;
  // The server has shut the connection down; h2o still reads what had arrived.
  bool Closing = false;
  accept_mark Accepted;
  // Time at which a part of the next request was first seen.
  std::optional<time_point> ReceivingSince;
  time_point LastActivity;
};

// A request in progress. It is allocated in the memory pool of the h2o request, so that its destructor runs
// when h2o frees the request.
struct pending_request {
  server_state *Owner = nullptr;
  connection *Connection = nullptr;
  h2o_req_t *Native = nullptr;
  request_token Token = 0;
  // h2o sends the headers and the body from here without copying them.
  http_reply Reply;
};

struct handler_entry {
  h2o_handler_t Super;
  server_state *Owner;
};

std::string_view view(const h2o_iovec_t &Text) { return {Text.base, Text.len}; }

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  for (char &Character : Lower)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Lower;
}

std::size_t headerBytes(const h2o_req_t &Request) {
  std::size_t Bytes = Request.path.len;
  for (std::size_t Index = 0; Index < Request.headers.size; ++Index)
    Bytes += Request.headers.entries[Index].name->len + Request.headers.entries[Index].value.len;
  return Bytes;
}

// All state that h2o refers to. It outlives the server object until the last connection has closed.
class server_state final : public receive_source, public std::enable_shared_from_this<server_state> {
public:
  server_state(runtime::loop &Loop, http_server_options OptionsIn, http_server_handlers HandlersIn)
      : Loop(Loop), Options(std::move(OptionsIn)), Handlers(std::move(HandlersIn)),
        Hangups(Loop, [this](std::uint64_t Id) { onHangup(Id); }), UnreadBound(Loop) {
    configure();
    Accept.ctx = &Context;
    Accept.hosts = Config.hosts;
  }
  server_state(const server_state &) = delete;
  server_state &operator=(const server_state &) = delete;
  ~server_state() override {
    closeListener();
    // After a graceful shutdown the timer for the second GOAWAY frame is still linked, which
    // h2o_context_dispose() does not expect.
    h2o_timeout_unlink(&Context.http2._graceful_shutdown_timeout);
    h2o_multithread_queue_t *Queue = Context.queue;
    h2o_context_dispose(&Context);
    // h2o 2.2 disposes of the queue of its context without freeing it.
    std::free(Queue);
    h2o_config_dispose(&Config);
  }

  runtime::result<void> listen() {
    if (auto Opened = Hangups.open(); !Opened)
      return Opened;
    auto Listening = listenOn(Options.Address, ListenBacklog);
    if (!Listening)
      return Listening.error();
    Port = Listening.value().Port;
    // Accepted connections inherit the size.
    if (Options.ReceiveBufferBytes > 0)
      setsockopt(Listening.value().Fd, SOL_SOCKET, SO_RCVBUF, &Options.ReceiveBufferBytes,
                 sizeof(Options.ReceiveBufferBytes));
    if (Options.Budget)
      Options.Budget->add(weak_from_this());
    Listener = h2o_evloop_socket_create(Loop.native(), Listening.value().Fd, H2O_SOCKET_FLAG_DONT_READ);
    Listener->data = this;
    h2o_socket_read_start(Listener, [](h2o_socket_t *Socket, const char *Error) {
      if (!Error)
        static_cast<server_state *>(Socket->data)->acceptConnections();
    });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void reply(request_token Token, http_reply Reply) {
    auto Found = Requests.find(Token);
    if (Found == Requests.end())
      return;
    pending_request &Request = *Found->second;
    Requests.erase(Found);
    Request.Connection->Http1Request = 0;
    Request.Reply = std::move(Reply);
    send(Request);
  }

  void closeWithoutReply(request_token Token) {
    auto Found = Requests.find(Token);
    if (Found == Requests.end())
      return;
    closeConnection(*Found->second->Connection);
    endRequest(Token);
  }

  void shutdown() {
    closeListener();
    if (Context.shutdown_requested)
      return;
    h2o_context_request_shutdown(&Context);
    closeIdleLater();
  }

  // Called when the server object is destroyed: no handler is called any more, and all connections close.
  void detach() {
    Handlers = {};
    shutdown();
    for (auto &[Id, Connection] : Connections)
      closeConnection(*Connection);
    std::vector<request_token> Tokens;
    for (auto &[Token, Request] : Requests)
      Tokens.push_back(Token);
    for (request_token Token : Tokens)
      endRequest(Token);
    if (SweepTimer)
      Loop.cancel(SweepTimer);
    if (!Connections.empty())
      SelfReference = shared_from_this();
  }

  // Implementation of receive_source.

  void collect(std::vector<unfinished_request> &Unfinished, time_point Now) override {
    for (auto &[Id, Connection] : Connections) {
      std::size_t Bytes = Connection->Socket->input->size;
      if (Bytes == 0 || Connection->Pending > 0 || Connection->Closing) {
        Connection->ReceivingSince.reset();
        continue;
      }
      if (!Connection->ReceivingSince)
        Connection->ReceivingSince = Now;
      unfinished_request Request;
      Request.Bytes = Bytes;
      Request.Since = *Connection->ReceivingSince;
      Request.Connection = Id;
      Unfinished.push_back(Request);
    }
  }

  // The reply is written past h2o, which has no request yet. No other reply is being written, since no
  // request is in progress on the connection.
  void refuse(const unfinished_request &Refused) override {
    auto Found = Connections.find(Refused.Connection);
    if (Found == Connections.end())
      return;
    std::string_view Reply = Refused.Refusal == receive_refusal::Time ? RequestTimeoutReply : NoMemoryReply;
    static_cast<void>(::send(Found->second->Fd, Reply.data(), Reply.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    closeConnection(*Found->second);
  }

  [[nodiscard]] std::uint16_t port() const { return Port; }
  [[nodiscard]] std::size_t pendingRequests() const { return Requests.size(); }
  [[nodiscard]] std::size_t connections() const { return Connections.size(); }
  [[nodiscard]] http_server_counts counts() const { return Counts; }

private:
  void configure() {
    h2o_config_init(&Config);
    Config.server_name = h2o_iovec_init("yuccaplank", sizeof("yuccaplank") - 1);
    // h2o refuses a body in chunks that reaches the limit, and one with an announced length that exceeds it.
    Config.max_request_entity_size = Options.MaxBodyBytes + 1;
    auto TimeoutMs = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(Options.RequestTimeout).count());
    Config.handshake_timeout = static_cast<std::uint64_t>(TimeoutMs);
    Config.http1.req_timeout = static_cast<std::uint64_t>(TimeoutMs);
    Config.http1.upgrade_to_http2 = Options.Http2 ? 1 : 0;
    Config.http2.idle_timeout = static_cast<std::uint64_t>(TimeoutMs);
    Config.http2.max_concurrent_requests_per_connection = MaxStreamsPerConnection;
    h2o_hostconf_t *Host =
        h2o_config_register_host(&Config, h2o_iovec_init("default", sizeof("default") - 1), 65535);
    h2o_pathconf_t *Path = h2o_config_register_path(Host, "/", 0);
    auto *Handler = reinterpret_cast<handler_entry *>(h2o_create_handler(Path, sizeof(handler_entry)));
    Handler->Owner = this;
    Handler->Super.on_req = [](h2o_handler_t *Super, h2o_req_t *Request) {
      return reinterpret_cast<handler_entry *>(Super)->Owner->dispatch(Request);
    };
    h2o_context_init(&Context, Loop.native(), &Config);
  }

  void acceptConnections() {
    accept_mark Mark = UnreadBound.beginBatch();
    for (int Count = 0; Count < AcceptBatch && Listener; ++Count) {
      h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener);
      if (!Socket) {
        UnreadBound.onQueueEmptied();
        return;
      }
      if (!makeRoom()) {
        h2o_socket_close(Socket);
        continue;
      }
      addConnection(Socket, Mark);
      h2o_accept(&Accept, Socket);
    }
  }

  // Returns whether a connection can be added.
  bool makeRoom() {
    std::size_t Open = Connections.size() - ClosingConnections;
    if (Open < Options.MaxConnections)
      return true;
    std::size_t Replaced = 0;
    // Connections that are being closed still have their descriptors, so their number is limited too.
    if (Options.ReplaceIdleConnections && ClosingConnections <= Options.MaxConnections / ClosingShare)
      Replaced = closeLongestIdle(std::max<std::size_t>(1, Options.MaxConnections / ReplacedShare));
    ++(Replaced > 0 ? Counts.ConnectionsReplaced : Counts.ConnectionsRefused);
    log(runtime::log_level::Warning, "too_many_connections",
        {{"port", std::int64_t{Port}},
         {"limit", static_cast<std::int64_t>(Options.MaxConnections)},
         {"closed", static_cast<std::int64_t>(Replaced)}});
    return Replaced > 0;
  }

  // Closes the connections without a request in progress that have had none for the longest time. Several are
  // closed at once, because the search takes time in proportion to the connections.
  std::size_t closeLongestIdle(std::size_t Count) {
    std::vector<connection *> Idle;
    for (auto &[Id, Connection] : Connections)
      if (Connection->Pending == 0 && !Connection->Closing)
        Idle.push_back(Connection.get());
    Count = std::min(Count, Idle.size());
    std::ranges::partial_sort(Idle, Idle.begin() + static_cast<std::ptrdiff_t>(Count), {},
                              &connection::LastActivity);
    for (std::size_t Index = 0; Index < Count; ++Index)
      closeConnection(*Idle[Index]);
    return Count;
  }

  void addConnection(h2o_socket_t *Socket, const accept_mark &Mark) {
    auto Added = std::make_unique<connection>();
    Added->Owner = this;
    Added->Socket = Socket;
    Added->Id = ++LastConnection;
    Added->Fd = h2o_socket_get_fd(Socket);
    Added->Accepted = Mark;
    Added->LastActivity = Loop.clock().now();
    Socket->on_close.data = Added.get();
    Socket->on_close.cb = [](void *Data) {
      auto *Closed = static_cast<connection *>(Data);
      Closed->Owner->onConnectionClosed(*Closed);
    };
    Hangups.add(Added->Fd, Added->Id);
    Connections.emplace(Added->Id, std::move(Added));
    if (!SweepTimer)
      startSweep();
  }

  void onConnectionClosed(connection &Closed) {
    if (Closed.Closing)
      --ClosingConnections;
    Connections.erase(Closed.Id);
    // h2o still uses its context while it closes the connection, so the state is destroyed later.
    if (SelfReference && Connections.empty())
      Loop.post([Last = std::move(SelfReference)] {});
  }

  // h2o closes the connection when it reads its end; until then it reads requests that had arrived.
  void closeConnection(connection &Connection) {
    if (!std::exchange(Connection.Closing, true))
      ++ClosingConnections;
    ::shutdown(Connection.Fd, SHUT_RDWR);
  }

  void onHangup(std::uint64_t Id) {
    auto Found = Connections.find(Id);
    if (Found == Connections.end())
      return;
    Found->second->PeerClosed = true;
    if (Found->second->Http1Request)
      endHttp1Request(*Found->second);
  }

  // Ends the pending HTTP/1.1 request of a disconnected client. A client that closed only its sending side is
  // treated the same way, because the two cases cannot be distinguished.
  void endHttp1Request(connection &Connection) {
    request_token Token = Connection.Http1Request;
    closeConnection(Connection);
    notifyClosed(Token);
    endRequest(Token);
  }

  // Ends a request whose client has disconnected; h2o closes the connection when its write fails.
  void endRequest(request_token Token) {
    auto Found = Requests.find(Token);
    if (Found == Requests.end())
      return;
    replyWithError(*Found->second, 503);
  }

  void notifyClosed(request_token Token) {
    Loop.post([Weak = weak_from_this(), Token] {
      auto State = Weak.lock();
      if (State && State->Handlers.OnClosed)
        State->Handlers.OnClosed(Token);
    });
  }

  // A connection on which no request has ended for twice the request timeout is closed. The timeout of h2o is
  // not sufficient: it restarts whenever a part of a body arrives, so a slow sender could keep a connection
  // open forever.
  void startSweep() {
    SweepTimer = Loop.after(Options.RequestTimeout / 2, [Weak = weak_from_this()] {
      if (auto State = Weak.lock())
        State->sweep();
    });
  }

  void sweep() {
    SweepTimer = 0;
    time_point Cutoff = Loop.clock().now() - 2 * Options.RequestTimeout;
    for (auto &[Id, Connection] : Connections)
      if (Connection->Pending == 0 && Connection->LastActivity <= Cutoff)
        closeConnection(*Connection);
    if (!Connections.empty())
      startSweep();
  }

  void closeIdleLater() {
    Loop.after(Options.IdleCloseDelay, [Weak = weak_from_this()] {
      auto State = Weak.lock();
      if (!State)
        return;
      State->closeIdle();
      if (!State->Connections.empty())
        State->closeIdleLater();
    });
  }

  // Closes idle HTTP/1.1 connections, unless they have unread input. h2o itself closes HTTP/2 connections
  // with GOAWAY.
  void closeIdle() {
    for (auto &[Id, Connection] : Connections) {
      char Byte = 0;
      if (!Connection->Http2 && Connection->Pending == 0 && Connection->Socket->input->size == 0 &&
          recv(Connection->Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
        closeConnection(*Connection);
    }
  }

  int dispatch(h2o_req_t *Native) {
    h2o_socket_t *Socket = Native->conn->callbacks->get_socket(Native->conn);
    auto *Connection = static_cast<connection *>(Socket->on_close.data);
    void *Memory = h2o_mem_alloc_shared(&Native->pool, sizeof(pending_request), [](void *Ended) {
      auto *Request = static_cast<pending_request *>(Ended);
      Request->Owner->onRequestEnded(*Request);
      Request->~pending_request();
    });
    auto *Request = new (Memory) pending_request;
    Request->Owner = this;
    Request->Connection = Connection;
    Request->Native = Native;
    Request->Token = ++LastRequestToken;
    Requests.emplace(Request->Token, Request);
    ++Connection->Pending;
    Connection->ReceivingSince.reset();
    Connection->Http2 = Native->version >= 0x200;
    if (!Connection->Http2)
      Connection->Http1Request = Request->Token;
    if (Connection->Closing)
      drop(*Request, "connection_closing", Counts.DroppedOnClosing);
    else if (Connection->PeerClosed || hangup_watch::peerHasClosed(Connection->Fd))
      drop(*Request, "caller_left", Counts.DroppedCallerLeft);
    else if (headerBytes(*Native) > MaxHeaderBytes)
      replyWithError(*Request, 431);
    else if (Native->entity.base && Native->entity.len > Options.MaxBodyBytes)
      replyWithError(*Request, 413);
    else
      deliver(*Request);
    return 0;
  }

  // Ends a request without delivering it. Its caller has seen the connection close without a reply, and may
  // have sent the request to another server.
  void drop(const pending_request &Request, const char *Reason, std::uint64_t &Count) {
    ++Count;
    log(runtime::log_level::Info, "request_dropped",
        {{"port", std::int64_t{Port}},
         {"method", std::string(view(Request.Native->method))},
         {"reason", std::string(Reason)}});
    closeConnection(*Request.Connection);
    replyWithError(Request, 503);
  }

  void deliver(const pending_request &Request) const {
    const h2o_req_t &Native = *Request.Native;
    if (!Handlers.OnRequest)
      return;
    http_request Value;
    Value.Token = Request.Token;
    Value.Method = view(Native.method);
    Value.Host = view(Native.authority);
    std::string_view Path = view(Native.path);
    Value.Path = percentDecode(Path.substr(0, Native.query_at), false);
    if (Native.query_at < Path.size())
      Value.Query = parseQuery(Path.substr(Native.query_at + 1));
    Value.Headers.reserve(Native.headers.size);
    for (std::size_t Index = 0; Index < Native.headers.size; ++Index) {
      const h2o_header_t &Header = Native.headers.entries[Index];
      Value.Headers.push_back({std::string(view(*Header.name)), std::string(view(Header.value))});
    }
    if (Native.entity.base)
      Value.Body = view(Native.entity);
    releasePages(Native.entity.base, Native.entity.len);
    Value.MaxUnreadTime = UnreadBound.maxUnreadTime(Request.Connection->Accepted);
    Handlers.OnRequest(std::move(Value));
  }

  void replyWithError(const pending_request &Request, int Status) {
    Request.Native->http1_is_persistent = 0;
    http_reply Reply;
    Reply.Status = Status;
    reply(Request.Token, std::move(Reply));
  }

  void send(pending_request &Request) {
    static h2o_generator_t EmptyGenerator{nullptr, nullptr};
    h2o_req_t *Native = Request.Native;
    http_reply &Reply = Request.Reply;
    Native->res.status = Reply.Status;
    Native->res.reason = reasonPhrase(Reply.Status);
    Native->res.content_length = Reply.Body.size();
    if (!Reply.ContentType.empty())
      h2o_add_header(&Native->pool, &Native->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                     Reply.ContentType.data(), Reply.ContentType.size());
    for (http_header &Header : Reply.Headers) {
      Header.Name = lowerCase(Header.Name);
      h2o_add_header_by_str(&Native->pool, &Native->res.headers, Header.Name.data(), Header.Name.size(), 1,
                            nullptr, Header.Value.data(), Header.Value.size());
    }
    h2o_start_response(Native, &EmptyGenerator);
    h2o_iovec_t Body = h2o_iovec_init(Reply.Body.data(), Reply.Body.size());
    h2o_send(Native, &Body, Reply.Body.empty() ? 0 : 1, H2O_SEND_STATE_FINAL);
  }

  // Called when h2o frees the request, after the reply was written or the connection has closed.
  void onRequestEnded(const pending_request &Request) {
    if (Requests.erase(Request.Token) > 0)
      notifyClosed(Request.Token);
    connection &Connection = *Request.Connection;
    --Connection.Pending;
    Connection.LastActivity = Loop.clock().now();
    if (Connection.Http1Request == Request.Token)
      Connection.Http1Request = 0;
  }

  void closeListener() {
    if (Listener)
      h2o_socket_close(std::exchange(Listener, nullptr));
  }

  runtime::loop &Loop;
  http_server_options Options;
  http_server_handlers Handlers;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t Accept{};
  h2o_socket_t *Listener = nullptr;
  hangup_watch Hangups;
  unread_bound UnreadBound;
  http_server_counts Counts;
  std::uint16_t Port = 0;
  std::unordered_map<request_token, pending_request *> Requests;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> Connections;
  request_token LastRequestToken = 0;
  std::uint64_t LastConnection = 0;
  std::size_t ClosingConnections = 0;
  runtime::timer_id SweepTimer = 0;
  // Keeps the state alive while connections remain after the server object was destroyed.
  std::shared_ptr<server_state> SelfReference;
};

class http_server_impl final : public http_server {
public:
  explicit http_server_impl(std::shared_ptr<server_state> StateIn) : State(std::move(StateIn)) {}
  http_server_impl(const http_server_impl &) = delete;
  http_server_impl &operator=(const http_server_impl &) = delete;
  ~http_server_impl() override { State->detach(); }

  void reply(request_token Token, http_reply Reply) override { State->reply(Token, std::move(Reply)); }
  void closeWithoutReply(request_token Token) override { State->closeWithoutReply(Token); }
  [[nodiscard]] std::uint16_t port() const override { return State->port(); }
  void shutdown() override { State->shutdown(); }
  [[nodiscard]] std::size_t pendingRequests() const override { return State->pendingRequests(); }
  [[nodiscard]] std::size_t connections() const override { return State->connections(); }
  [[nodiscard]] http_server_counts counts() const override { return State->counts(); }

private:
  std::shared_ptr<server_state> State;
};

} // namespace

std::string_view http_request::header(std::string_view Name) const {
  for (const http_header &Header : Headers)
    if (Header.Name == Name)
      return Header.Value;
  return {};
}

std::string_view http_request::query(std::string_view Name) const {
  for (const auto &[Key, Value] : Query)
    if (Key == Name)
      return Value;
  return {};
}

runtime::result<std::unique_ptr<http_server>> makeHttpServer(runtime::loop &Loop, http_server_options Options,
                                                             http_server_handlers Handlers) {
  // A write to a closed connection must fail with an error instead of ending the process.
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  auto State = std::make_shared<server_state>(Loop, std::move(Options), std::move(Handlers));
  if (auto Listening = State->listen(); !Listening)
    return Listening.error();
  return std::unique_ptr<http_server>(std::make_unique<http_server_impl>(std::move(State)));
}

} // namespace yuccaplank::wire
