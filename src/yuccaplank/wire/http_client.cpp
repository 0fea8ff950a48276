#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
}

#include "yuccaplank/wire/http_client.hpp"
#include "yuccaplank/wire/socket_address.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <unordered_map>

namespace yuccaplank::wire {
namespace {

using runtime::duration;
using runtime::errc;

// h2o requires a timeout for each read and write. This client uses its own timers instead, so this timeout
// never expires.
constexpr std::uint64_t NoIoTimeoutMs = 365ULL * 24 * 3600 * 1000;
// Initial buffer size for the request line and headers, which take about 250 bytes for a task request.
constexpr std::size_t TypicalHeadBytes = 512;

// Number of idle timeouts after which the pool of an address without connections is freed. Each pool has an
// h2o timer that every loop iteration visits, so the pools of replaced VMs must not accumulate.
constexpr int PoolRetentionFactor = 10;

constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

class client_impl;

struct connection_pool {
  h2o_socketpool_t Native{};
  bool Valid = false;
  runtime::time_point LastUsed;

  connection_pool() = default;
  connection_pool(const connection_pool &) = delete;
  connection_pool &operator=(const connection_pool &) = delete;
  ~connection_pool() {
    if (Valid)
      h2o_socketpool_dispose(&Native);
  }
};

// A request and its reply, from call() until the callback has run.
struct exchange {
  client_impl *Owner = nullptr;
  call_id Id = 0;
  std::function<void(http_call_result)> OnDone;
  // Null before the exchange starts and after it ends.
  h2o_http1client_t *Native = nullptr;
  std::string Head;
  std::string Body;
  std::array<h2o_iovec_t, 2> Buffers{};
  bool IsHead = false;
  // Whether the request was passed to a connection.
  bool Written = false;
  bool Ended = false;
  duration Timeout{};
  runtime::timer_id Timer = 0;
  http_call_result Result;
};

std::string_view view(const h2o_iovec_t &Text) { return {Text.base, Text.len}; }

// A line break in a header value could inject further headers or end the header section.
bool containsLineBreak(std::string_view Text) { return Text.find_first_of("\r\n") != std::string_view::npos; }

bool isWellFormed(const http_call &Call) {
  return !containsLineBreak(Call.Method) && !containsLineBreak(Call.Host) &&
         Call.Path.find_first_of("\r\n ") == std::string::npos &&
         std::ranges::none_of(Call.Headers, [](const http_header &Header) {
           return containsLineBreak(Header.Name) || containsLineBreak(Header.Value);
         });
}

std::string formatHead(const http_call &Call) {
  std::string Head;
  Head.reserve(TypicalHeadBytes);
  auto Out = std::back_inserter(Head);
  fmt::format_to(Out, "{} {} HTTP/1.1\r\nhost: {}\r\n", Call.Method, Call.Path,
                 Call.Host.empty() ? Call.Address : Call.Host);
  if (!Call.Body.empty() || Call.Method == "POST" || Call.Method == "PUT")
    fmt::format_to(Out, "content-length: {}\r\n", Call.Body.size());
  for (const http_header &Header : Call.Headers)
    Head.append(Header.Name).append(": ").append(Header.Value).append("\r\n");
  Head.append("\r\n");
  return Head;
}

// A body that is delimited by the end of the connection cannot be distinguished from a truncated one, and two
// length headers may contradict each other.
bool hasUnambiguousLength(const http_call_result &Result) {
  return std::ranges::count_if(Result.Headers, [](const http_header &Header) {
           return Header.Name == "content-length" || Header.Name == "transfer-encoding";
         }) == 1;
}

class client_impl final : public http_client {
public:
  client_impl(runtime::loop &Loop, const http_client_options &Options) : Loop(Loop), Options(Options) {
    h2o_timeout_init(Loop.native(), &IoTimeout, NoIoTimeoutMs);
    Context.loop = Loop.native();
    Context.io_timeout = &IoTimeout;
  }
  client_impl(const client_impl &) = delete;
  client_impl &operator=(const client_impl &) = delete;
  ~client_impl() override {
    for (auto &[Id, Exchange] : Exchanges)
      release(*Exchange);
    if (PruneTimer)
      Loop.cancel(PruneTimer);
    Pools.clear();
    h2o_timeout_dispose(Loop.native(), &IoTimeout);
  }

  call_id call(http_call Call, std::function<void(http_call_result)> OnDone) override {
    auto Owned = std::make_unique<exchange>();
    exchange &Exchange = *Owned;
    Exchange.Owner = this;
    Exchange.Id = ++LastCall;
    Exchange.OnDone = std::move(OnDone);
    Exchanges.emplace(Exchange.Id, std::move(Owned));
    connection_pool &Pool = poolFor(Call.Address);
    Pool.LastUsed = Loop.clock().now();
    if (!Pool.Valid || !isWellFormed(Call)) {
      fail(Exchange, errc::MalformedDocument);
      return Exchange.Id;
    }
    Exchange.Head = formatHead(Call);
    Exchange.Body = std::move(Call.Body);
    Exchange.IsHead = Call.Method == "HEAD";
    Exchange.Timeout = Call.Timeout;
    h2o_http1client_connect_with_pool(&Exchange.Native, &Exchange, &Context, &Pool.Native, onConnect);
    if (Exchange.Ended)
      Exchange.Native = nullptr;
    else
      armTimer(Exchange);
    return Exchange.Id;
  }

  void cancel(call_id Call) override {
    auto Found = Exchanges.find(Call);
    if (Found == Exchanges.end())
      return;
    release(*Found->second);
    Exchanges.erase(Found);
  }

  [[nodiscard]] std::size_t connections(const std::string &Address) const override {
    auto Found = Pools.find(Address);
    return Found == Pools.end() ? 0 : Found->second->Native._shared.count;
  }

private:
  static exchange &getExchange(h2o_http1client_t *Native) { return *static_cast<exchange *>(Native->data); }

  static h2o_http1client_head_cb onConnect(h2o_http1client_t *Native, const char *Error,
                                           h2o_iovec_t **Buffers, std::size_t *BufferCount, int *IsHead) {
    exchange &Exchange = getExchange(Native);
    if (Error) {
      Exchange.Native = nullptr;
      Exchange.Owner->fail(Exchange, errc::ConnectFailed);
      return nullptr;
    }
    // h2o writes as soon as this function returns, so from now on bytes may have reached the server. h2o uses
    // a pooled connection only after a read has shown that the server has not closed it, and never retries a
    // request by itself.
    Exchange.Written = true;
    Exchange.Buffers[0] = h2o_iovec_init(Exchange.Head.data(), Exchange.Head.size());
    Exchange.Buffers[1] = h2o_iovec_init(Exchange.Body.data(), Exchange.Body.size());
    *Buffers = Exchange.Buffers.data();
    *BufferCount = Exchange.Body.empty() ? 1 : 2;
    *IsHead = Exchange.IsHead ? 1 : 0;
    if (Exchange.Timer)
      Exchange.Owner->armTimer(Exchange);
    return onHead;
  }

  static h2o_http1client_body_cb onHead(h2o_http1client_t *Native, const char *Error, int, int Status,
                                        h2o_iovec_t, h2o_header_t *Headers, std::size_t HeaderCount, int) {
    exchange &Exchange = getExchange(Native);
    bool AtEnd = Error == h2o_http1client_error_is_eos;
    if (Error && !AtEnd) {
      Exchange.Native = nullptr;
      Exchange.Owner->fail(Exchange, errc::ConnectionLost);
      return nullptr;
    }
    Exchange.Result.Status = Status;
    Exchange.Result.Headers.reserve(HeaderCount);
    for (std::size_t Index = 0; Index < HeaderCount; ++Index)
      Exchange.Result.Headers.push_back(
          {std::string(view(*Headers[Index].name)), std::string(view(Headers[Index].value))});
    // Replies with these statuses have no body, regardless of their headers.
    bool Bodiless = Status == NoContentStatus || Status == NotModifiedStatus;
    if (AtEnd || Bodiless) {
      Exchange.Native = nullptr;
      Exchange.Owner->succeed(Exchange);
      return nullptr;
    }
    if (!hasUnambiguousLength(Exchange.Result)) {
      Exchange.Native = nullptr;
      Exchange.Owner->fail(Exchange, errc::ConnectionLost);
      return nullptr;
    }
    return onBody;
  }

  static int onBody(h2o_http1client_t *Native, const char *Error) {
    exchange &Exchange = getExchange(Native);
    bool AtEnd = Error == h2o_http1client_error_is_eos;
    // h2o also reports the end of a chunked body if the connection closes between two chunks. In that case no
    // bytes were read in this call.
    bool CutOff = AtEnd && Native->sock->bytes_read == 0;
    if ((Error && !AtEnd) || CutOff) {
      Exchange.Native = nullptr;
      Exchange.Owner->fail(Exchange, errc::ConnectionLost);
      return 1;
    }
    h2o_buffer_t *Input = Native->sock->input;
    std::string &Body = Exchange.Result.Body;
    if (Body.size() + Input->size > Exchange.Owner->Options.MaxReplyBytes) {
      Exchange.Native = nullptr;
      Exchange.Owner->fail(Exchange, errc::BodyTooLarge);
      return 1;
    }
    Body.append(Input->bytes, Input->size);
    h2o_buffer_consume(&Native->sock->input, Input->size);
    if (AtEnd) {
      Exchange.Native = nullptr;
      Exchange.Owner->succeed(Exchange);
    }
    return 0;
  }

  connection_pool &poolFor(const std::string &Address) {
    auto Found = Pools.find(Address);
    if (Found != Pools.end())
      return *Found->second;
    auto Pool = std::make_unique<connection_pool>();
    if (auto Parsed = parseSocketAddress(Address)) {
      h2o_socketpool_init_by_address(&Pool->Native, Parsed.value().get(), Parsed.value().Length, 0, SIZE_MAX);
      auto IdleMs = std::chrono::duration_cast<std::chrono::milliseconds>(Options.IdleTimeout).count();
      h2o_socketpool_set_timeout(&Pool->Native, Loop.native(), static_cast<std::uint64_t>(IdleMs));
      Pool->Valid = true;
    }
    if (!PruneTimer)
      startPruning();
    return *Pools.emplace(Address, std::move(Pool)).first->second;
  }

  // A pool must outlive its pending connection attempts, which are not counted as connections yet.
  [[nodiscard]] duration poolRetentionTime() const {
    return PoolRetentionFactor * Options.IdleTimeout + Options.ConnectTimeout;
  }

  void startPruning() {
    PruneTimer = Loop.after(poolRetentionTime(), [this] {
      PruneTimer = 0;
      runtime::time_point Cutoff = Loop.clock().now() - poolRetentionTime();
      std::erase_if(Pools, [&](const auto &Entry) {
        return Entry.second->Native._shared.count == 0 && Entry.second->LastUsed <= Cutoff;
      });
      if (!Pools.empty())
        startPruning();
    });
  }

  // Each exchange has one timer. While connecting, the earlier of the connect timeout and the call's timeout
  // applies.
  void armTimer(exchange &Exchange) {
    if (Exchange.Timer)
      Loop.cancel(std::exchange(Exchange.Timer, 0));
    bool Limited = Exchange.Timeout > duration::zero();
    if (Exchange.Written && !Limited)
      return;
    bool Connecting = !Exchange.Written && (!Limited || Options.ConnectTimeout < Exchange.Timeout);
    duration Delay = Connecting ? Options.ConnectTimeout : Exchange.Timeout;
    exchange *Pointer = &Exchange;
    if (Connecting)
      Exchange.Timer = Loop.after(Delay, [Pointer] { onTimer(*Pointer, errc::ConnectTimeout); });
    else
      Exchange.Timer = Loop.after(Delay, [Pointer] { onTimer(*Pointer, errc::RequestTimeout); });
  }

  static void onTimer(exchange &Exchange, errc Reason) {
    Exchange.Timer = 0;
    h2o_http1client_cancel(std::exchange(Exchange.Native, nullptr));
    Exchange.Owner->fail(Exchange, Reason);
  }

  void fail(exchange &Exchange, errc Reason) {
    Exchange.Result.Error = make_error_code(Reason);
    Exchange.Result.Stage = Exchange.Written ? transfer_stage::MaybeWritten : transfer_stage::NothingWritten;
    end(Exchange);
  }

  void succeed(exchange &Exchange) { end(Exchange); }

  // Callbacks run in a later loop iteration: h2o returns the connection to its pool only after the last h2o
  // callback of the exchange, so a call made from within that callback would open another connection.
  void end(exchange &Exchange) {
    Exchange.Ended = true;
    if (Exchange.Timer)
      Loop.cancel(std::exchange(Exchange.Timer, 0));
    Finished.push_back(Exchange.Id);
    if (Finished.size() == 1)
      Loop.post([this, Weak = std::weak_ptr<int>(AliveToken)] {
        if (!Weak.expired())
          deliver();
      });
  }

  void deliver() {
    std::vector<call_id> Batch;
    Batch.swap(Finished);
    std::weak_ptr<int> Weak = AliveToken;
    for (call_id Id : Batch) {
      auto Found = Exchanges.find(Id);
      if (Found == Exchanges.end())
        continue;
      std::unique_ptr<exchange> Exchange = std::move(Found->second);
      Exchanges.erase(Found);
      Exchange->OnDone(std::move(Exchange->Result));
      // The callback may have destroyed the client.
      if (Weak.expired())
        return;
    }
  }

  void release(exchange &Exchange) {
    if (Exchange.Timer)
      Loop.cancel(std::exchange(Exchange.Timer, 0));
    if (Exchange.Native)
      h2o_http1client_cancel(std::exchange(Exchange.Native, nullptr));
  }

  runtime::loop &Loop;
  http_client_options Options;
  h2o_timeout_t IoTimeout{};
  h2o_http1client_ctx_t Context{};
  std::unordered_map<std::string, std::unique_ptr<connection_pool>> Pools;
  std::unordered_map<call_id, std::unique_ptr<exchange>> Exchanges;
  std::vector<call_id> Finished;
  runtime::timer_id PruneTimer = 0;
  call_id LastCall = 0;
  std::shared_ptr<int> AliveToken = std::make_shared<int>(0);
};

} // namespace

std::string_view http_call_result::header(std::string_view Name) const {
  for (const http_header &Header : Headers)
    if (Header.Name == Name)
      return Header.Value;
  return {};
}

std::unique_ptr<http_client> makeHttpClient(runtime::loop &Loop, http_client_options Options) {
  // A write to a closed connection must fail with an error instead of ending the process.
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  return std::make_unique<client_impl>(Loop, Options);
}

} // namespace yuccaplank::wire
