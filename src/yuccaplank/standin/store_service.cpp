#include "store_service.hpp"
#include "yuccaplank/platform/base64.hpp"
#include "yuccaplank/platform/json_reader.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/standin/replies.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace yuccaplank::standin {
namespace {

using nlohmann::json;
using platform::field_issue;
using platform::object_reader;
using runtime::time_point;
using wire::http_reply;
using wire::http_request;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int Gone = 410;
constexpr int PreconditionFailed = 412;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr std::uint32_t MaxWaitMs = 30'000;
constexpr double MinLateDelayMs = 1000;
constexpr double MaxLateDelayMs = 8000;

// Limits the number of calls in each second of the clock.
class rate_limit {
public:
  explicit rate_limit(std::uint32_t PerSecond) : PerSecond(PerSecond) {}
  bool admit(time_point Now) {
    auto Second = std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch()).count();
    if (std::exchange(Current, Second) != Second)
      Count = 0;
    return ++Count <= PerSecond;
  }

private:
  std::uint32_t PerSecond;
  std::uint32_t Count = 0;
  std::int64_t Current = 0;
};

row_name readName(const json &Value, std::vector<field_issue> &Issues) {
  row_name Name;
  object_reader Reader(Value, "row", Issues);
  Reader.requiredText("table", Name.Table);
  Reader.optionalText("part", Name.Part);
  Reader.requiredText("key", Name.Key);
  return Name;
}

json writeRow(const stored_row &Row) {
  json Result{{"table", Row.Name.Table},
              {"part", Row.Name.Part},
              {"key", Row.Name.Key},
              {"version_number", Row.Version}};
  if (Row.Deleted)
    Result["is_deleted"] = true;
  else
    Result["value"] = platform::encodeBase64(Row.Value);
  return Result;
}

json writeRows(const std::vector<stored_row> &Rows) {
  json Result = json::array();
  for (const stored_row &Row : Rows)
    Result.push_back(writeRow(Row));
  return Result;
}

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

class store_service_impl final : public store_service {
public:
  store_service_impl(runtime::loop &Loop, const store_options &Options)
      : Loop(Loop), Options(Options), ReadLimit(Options.ReadsPerSecond), WriteLimit(Options.WritesPerSecond),
        Random(Options.Seed) {}
  store_service_impl(const store_service_impl &) = delete;
  store_service_impl &operator=(const store_service_impl &) = delete;
  ~store_service_impl() override = default;

  runtime::result<void> listen() {
    wire::http_server_options ServerOptions;
    ServerOptions.Address = Options.Listen;
    ServerOptions.RequestTimeout = std::chrono::seconds(60);
    auto NewServer = wire::makeHttpServer(Loop, ServerOptions,
                                          {[this](const http_request &Request) { onRequest(Request); }, {}});
    if (!NewServer)
      return NewServer.error();
    Server = std::move(NewServer.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  [[nodiscard]] std::uint16_t port() const override { return Server->port(); }

  void put(const std::string &Table, const std::string &Key, const std::string &Value) override {
    row_transaction Transaction;
    Transaction.Puts.push_back({{Table, "", Key}, Value, 0, false});
    commit(Transaction);
  }
  void remove(const std::string &Table, const std::string &Key) override {
    row_transaction Transaction;
    Transaction.Removed.push_back({Table, "", Key});
    commit(Transaction);
  }
  void forgetHistory() override {
    Store.forgetHistory();
    answerFeeds();
  }
  void setFaults(store_faults Updated) override { Faults = Updated; }
  [[nodiscard]] const row_store &rows() const override { return Store; }
  [[nodiscard]] const store_counters &counters() const override { return Counters; }

private:
  struct route {
    std::string_view Method;
    std::string_view Path;
    void (store_service_impl::*Handler)(const http_request &);
    bool Write;
  };
  static const std::array<route, 3> Routes;

  // A feed call that waits for a change, at most until Deadline.
  struct waiting_feed {
    wire::request_token Token = 0;
    std::string Table;
    std::uint64_t After = 0;
    time_point Deadline;
  };

  void onRequest(const http_request &Request) {
    for (const route &Route : Routes)
      if (Route.Method == Request.Method && Route.Path == Request.Path)
        return serve(Route, Request);
    reply(Request.Token, reasonReply(NotFound, "unknown_path"));
  }

  void serve(const route &Route, const http_request &Request) {
    ++(Route.Write ? Counters.Writes : Counters.Reads);
    if (Faults.Mode == store_mode::Silent)
      return;
    if (Faults.Mode == store_mode::Reset)
      return Server->closeWithoutReply(Request.Token);
    if (Faults.Mode == store_mode::Down)
      return reply(Request.Token, reasonReply(Unavailable, "unavailable"));
    if (!(Route.Write ? WriteLimit : ReadLimit).admit(Loop.clock().now())) {
      ++Counters.Rejected;
      return reply(Request.Token, reasonReply(TooManyRequests, "rate"));
    }
    (this->*Route.Handler)(Request);
  }

  void transact(const http_request &Request) {
    row_transaction Transaction;
    json Body = platform::parseJson(Request.Body);
    std::vector<field_issue> Issues;
    object_reader Reader(Body, "", Issues);
    for (const json &Row : Reader.child("expected_revision", false, true)) {
      expected_row &Expected = Transaction.Expected.emplace_back();
      Expected.Name = readName(Row, Issues);
      object_reader(Row, "expected_revision", Issues).requiredInteger("version_number", Expected.Version);
    }
    for (const json &Row : Reader.child("puts", false, true)) {
      std::string Encoded;
      object_reader(Row, "puts", Issues).requiredText("value", Encoded);
      auto Value = platform::decodeBase64(Encoded);
      if (!Value)
        Issues.push_back({runtime::errc::WrongType, "puts.value"});
      Transaction.Puts.push_back({readName(Row, Issues), Value.value_or(""), 0, false});
    }
    for (const json &Row : Reader.child("remove", false, true))
      Transaction.Removed.push_back(readName(Row, Issues));
    if (!Issues.empty())
      return reply(Request.Token, reasonReply(BadRequest, "malformed"));
    if (writesPlatformTable(Transaction))
      return reply(Request.Token, reasonReply(Forbidden, "table"));
    execute(Request.Token, Transaction);
  }

  // Returns whether a transaction writes a table that only operators and backend servers may write.
  static bool writesPlatformTable(const row_transaction &Transaction) {
    auto IsPlatformTable = [](const row_name &Name) { return Name.Table == "op" || Name.Table == "servers"; };
    return std::ranges::any_of(Transaction.Puts,
                               [&](const stored_row &Put) { return IsPlatformTable(Put.Name); }) ||
           std::ranges::any_of(Transaction.Removed, IsPlatformTable);
  }

  void execute(wire::request_token Token, const row_transaction &Transaction) {
    if (Random.uniform() < Faults.LateWrites) {
      double Ms = MinLateDelayMs + Random.uniform() * (MaxLateDelayMs - MinLateDelayMs);
      runAfter(runtime::fromMs(Ms), [this, Transaction] { commit(Transaction); });
      return;
    }
    bool Lost = Random.uniform() < Faults.LostAnswers;
    runAfter(Options.TransactionDelay, [this, Token, Transaction, Lost] {
      auto Version = commit(Transaction);
      if (Lost)
        Server->closeWithoutReply(Token);
      else if (Version)
        reply(Token, jsonReply(Ok, {{"version_number", *Version}, {"now_ms", nowMs()}}));
      else
        reply(Token,
              jsonReply(PreconditionFailed, {{"rows", writeRows(Store.currentRows(Transaction.Expected))},
                                             {"version_number", Store.version()},
                                             {"now_ms", nowMs()}}));
    });
  }

  void read(const http_request &Request) {
    row_page Page = Store.rows(Request.query("table"), Request.query("part"), Request.query("from"));
    reply(Request.Token, pageReply(Page));
  }

  void waitForChanges(const http_request &Request) {
    auto WaitMs = std::min<std::uint64_t>(parseNumber(Request.query("wait_ms")), MaxWaitMs);
    time_point Deadline = Loop.clock().now() + std::chrono::milliseconds(WaitMs);
    waiting_feed Feed{Request.Token, std::string(Request.query("table")), parseNumber(Request.query("after")),
                      Deadline};
    if (answerFeed(Feed))
      return;
    Feeds.push_back(std::move(Feed));
    runAfter(Deadline - Loop.clock().now(), [this] { answerFeeds(); });
  }

  bool answerFeed(const waiting_feed &Feed) {
    auto Page = Store.changes(Feed.Table, Feed.After);
    if (!Page) {
      reply(Feed.Token, reasonReply(Gone, "history"));
      return true;
    }
    if (Page->Rows.empty() && Loop.clock().now() < Feed.Deadline)
      return false;
    reply(Feed.Token, pageReply(*Page));
    return true;
  }

  void answerFeeds() {
    std::erase_if(Feeds, [this](const waiting_feed &Feed) { return answerFeed(Feed); });
  }

  http_reply pageReply(const row_page &Page) const {
    return jsonReply(Ok, {{"rows", writeRows(Page.Rows)},
                          {"version_number", Page.Version},
                          {"has_more", Page.HasMore},
                          {"now_ms", nowMs()}});
  }

  std::optional<std::uint64_t> commit(const row_transaction &Transaction) {
    auto Version = Store.commit(Transaction);
    answerFeeds();
    return Version;
  }

  [[nodiscard]] std::int64_t nowMs() const {
    return static_cast<std::int64_t>(runtime::toMs(Loop.clock().now().time_since_epoch()));
  }

  void reply(wire::request_token Token, const http_reply &Reply) {
    if (Faults.Delay == runtime::duration::zero())
      return Server->reply(Token, Reply);
    runAfter(Faults.Delay, [this, Token, Reply] { Server->reply(Token, Reply); });
  }

  void runAfter(runtime::duration Delay, std::function<void()> Function) {
    Loop.after(std::max(Delay, runtime::duration::zero()), Lifetime.guard(std::move(Function)));
  }

  runtime::loop &Loop;
  store_options Options;
  row_store Store;
  store_faults Faults;
  store_counters Counters;
  rate_limit ReadLimit;
  rate_limit WriteLimit;
  runtime::random Random;
  std::vector<waiting_feed> Feeds;
  std::unique_ptr<wire::http_server> Server;
  runtime::lifetime Lifetime;
};

const std::array<store_service_impl::route, 3> store_service_impl::Routes = {{
    {"POST", "/yuccaplank/rows-tx", &store_service_impl::transact, true},
    {"GET", "/yuccaplank/rows-get", &store_service_impl::read, false},
    {"GET", "/yuccaplank/rows-feed", &store_service_impl::waitForChanges, false},
}};

} // namespace

runtime::result<std::unique_ptr<store_service>> makeStoreService(runtime::loop &Loop,
                                                                 const store_options &Options) {
  auto Service = std::make_unique<store_service_impl>(Loop, Options);
  if (auto Listening = Service->listen(); !Listening)
    return Listening.error();
  return std::unique_ptr<store_service>(std::move(Service));
}

} // namespace yuccaplank::standin
