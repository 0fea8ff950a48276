#include "platform.hpp"

#include "yuccaplank/standin/enum_names.hpp"
#include "yuccaplank/standin/replies.hpp"
#include "yuccaplank/storage/table_codec.hpp"
#include "yuccaplank/wire/document_writer.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace yuccaplank::standin {
namespace {

using nlohmann::json;
using runtime::errc;
using runtime::time_point;
using wire::http_reply;
using wire::http_request;

constexpr int StatusNotModified = 304;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr std::uint32_t Percent = 100;
constexpr std::size_t MaxBodyBytes = 256U << 20U;
constexpr std::string_view ServicePrefix = "/v1/";

// Indexed by platform_mode.
constexpr auto ModeNames = std::to_array<std::string_view>({"normal", "down", "hang", "slow"});
static_assert(ModeNames.size() == static_cast<std::size_t>(platform_mode::Slow) + 1);

std::optional<platform_mode> modeFromName(std::string_view Name) {
  return enumFromName<platform_mode>(ModeNames, Name);
}

http_reply okReply(std::string Body) {
  http_reply Reply;
  Reply.Body = std::move(Body);
  return Reply;
}

http_reply errorReply(int Status, errc Reason) { return reasonReply(Status, runtime::errcName(Reason)); }

http_reply malformed() { return errorReply(StatusBadRequest, errc::MalformedDocument); }

std::optional<platform_faults> readFaults(std::string_view Text) {
  try {
    json Object = json::parse(Text);
    auto Mode = modeFromName(Object.value("mode", std::string(ModeNames[0])));
    if (!Mode)
      return std::nullopt;
    return platform_faults{*Mode, Object.value("delay_ms", 0U), Object.value("lose_replies_percent", 0U),
                           Object.value("lose_next_replies", 0U), Object.value("refuse_transactions", false)};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

class platform_service_impl final : public platform_service {
public:
  platform_service_impl(const runtime::clock &Clock, const platform_options &Options)
      : Clock(Clock), Vms(Options.ListLag), Random(Options.Seed) {
    // Visible at once, as if published long ago.
    Vms.publish(Options.Vms, Clock.now() - Options.ListLag);
  }

  platform_answer handle(const http_request &Request) override {
    for (const route &Route : Routes) {
      if (Route.Method != Request.Method || Route.Path != Request.Path)
        continue;
      if (Request.Path.starts_with(ServicePrefix))
        return serve(Route, Request);
      return {(this->*Route.Handler)(Request)};
    }
    return {errorReply(StatusNotFound, errc::UnknownPath)};
  }

private:
  struct route {
    std::string_view Method;
    std::string_view Path;
    http_reply (platform_service_impl::*Handler)(const http_request &);
    bool Write;
  };
  static const std::array<route, 10> Routes;

  // A request of the platform's protocol, subject to faults.
  platform_answer serve(const route &Route, const http_request &Request) {
    (Route.Write ? Writes : Reads).count(Clock.now());
    if (Faults.Mode == platform_mode::Hang)
      return {{}, reply_delivery::Withhold};
    if (Faults.Mode == platform_mode::Down || (Route.Write && Faults.RefuseTransactions))
      return {errorReply(StatusUnavailable, errc::PlatformUnavailable)};
    platform_answer Answer{(this->*Route.Handler)(Request)};
    if (Faults.Mode == platform_mode::Slow)
      Answer.Delay = std::chrono::milliseconds(Faults.DelayMs);
    if (Route.Write && loseReply())
      Answer.Delivery = reply_delivery::Drop;
    return Answer;
  }

  bool loseReply() {
    if (Faults.LoseNextReplies > 0) {
      --Faults.LoseNextReplies;
      return true;
    }
    return Random(Percent) < Faults.LoseRepliesPercent;
  }

  http_reply transaction(const http_request &Request) {
    auto Transaction = storage::readTransaction(Request.Body);
    if (!Transaction)
      return malformed();
    auto Result = State.commit(Transaction.value());
    http_reply Reply = okReply(writeTransactionReply(Result));
    if (!Result.Committed)
      Reply.Status = StatusConflict;
    return Reply;
  }
  http_reply row(const http_request &Request) {
    return okReply(writeRow(State.read(std::string(Request.query("key")))));
  }
  http_reply rows(const http_request &Request) {
    return okReply(writeRows(State.rows(Request.query("prefix"))));
  }
  http_reply changes(const http_request &Request) {
    std::string_view Text = Request.query("after");
    std::uint64_t After = 0;
    auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), After);
    if (Error != std::errc() || End != Text.data() + Text.size())
      return malformed();
    return okReply(writeChanges(State.changes(Request.query("prefix"), After)));
  }
  http_reply vms(const http_request &Request) {
    schema::vm_list List = Vms.visible(Clock.now());
    std::string Tag = '"' + std::to_string(List.version()) + '"';
    bool Unchanged = Request.header("if-none-match") == Tag;
    http_reply Reply = okReply(Unchanged ? "" : wire::writeDocument(List));
    if (Unchanged)
      Reply.Status = StatusNotModified;
    Reply.Headers.push_back({"etag", Tag});
    return Reply;
  }

  http_reply setFaults(const http_request &Request) {
    auto Read = readFaults(Request.Body);
    if (!Read)
      return malformed();
    Faults = *Read;
    return okReply("{}");
  }
  http_reply setVms(const http_request &Request) {
    schema::vm_list List;
    auto Issues = wire::readDocument(Request.Body, List);
    if (!Issues.empty())
      return malformed();
    Vms.publish(std::move(List), Clock.now());
    return okReply("{}");
  }
  http_reply counters(const http_request & /*Request*/) {
    time_point Now = Clock.now();
    return okReply(json({{"reads", Reads.total()},
                         {"writes", Writes.total()},
                         {"reads_per_s", Reads.perSecond(Now)},
                         {"writes_per_s", Writes.perSecond(Now)}})
                       .dump());
  }
  http_reply backup(const http_request & /*Request*/) { return okReply(writeBackup(State)); }
  http_reply restore(const http_request &Request) {
    auto Restored = storage::readBackup(Request.Body);
    if (!Restored)
      return malformed();
    State = std::move(Restored.value());
    return okReply("{}");
  }

  const runtime::clock &Clock;
  storage::table_state State;
  storage::lagging_vm_list Vms;
  platform_faults Faults;
  rate_meter Reads;
  rate_meter Writes;
  pcg32 Random;
};

const std::array<platform_service_impl::route, 10> platform_service_impl::Routes = {{
    {"POST", "/v1/table/transaction", &platform_service_impl::transaction, true},
    {"GET", "/v1/table/row", &platform_service_impl::row, false},
    {"GET", "/v1/table/rows", &platform_service_impl::rows, false},
    {"GET", "/v1/table/changes", &platform_service_impl::changes, false},
    {"GET", "/v1/vms", &platform_service_impl::vms, false},
    {"POST", "/fault", &platform_service_impl::setFaults, false},
    {"POST", "/vms", &platform_service_impl::setVms, false},
    {"GET", "/counters", &platform_service_impl::counters, false},
    {"GET", "/backup", &platform_service_impl::backup, false},
    {"POST", "/restore", &platform_service_impl::restore, false},
}};

class platform_server_impl final : public platform_server {
public:
  platform_server_impl(runtime::loop &Loop, const platform_options &Options)
      : Loop(Loop), Service(makePlatformService(Loop.clock(), Options)) {}

  runtime::result<void> listen(const platform_options &Options) {
    wire::http_server_options ServerOptions;
    ServerOptions.Address = Options.Listen;
    // A backup holds the whole table.
    ServerOptions.MaxBodyBytes = MaxBodyBytes;
    auto Made = wire::makeHttpServer(Loop, ServerOptions,
                                     {[this](const http_request &Request) { onRequest(Request); }, {}});
    if (!Made)
      return Made.error();
    Server = std::move(Made.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  [[nodiscard]] std::uint16_t port() const override { return Server->port(); }

private:
  void onRequest(const http_request &Request) {
    platform_answer Answer = Service->handle(Request);
    if (Answer.Delay == runtime::duration::zero())
      return deliver(Request.Token, std::move(Answer));
    Loop.after(Answer.Delay,
               [this, Token = Request.Token, Answer]() mutable { deliver(Token, std::move(Answer)); });
  }
  void deliver(wire::request_token Token, platform_answer Answer) {
    if (Answer.Delivery == reply_delivery::Send)
      Server->reply(Token, std::move(Answer.Reply));
    else if (Answer.Delivery == reply_delivery::Drop)
      Server->drop(Token);
  }

  runtime::loop &Loop;
  std::unique_ptr<platform_service> Service;
  std::unique_ptr<wire::http_server> Server;
  // Late replies look whether the server still exists.
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

std::int64_t secondOf(time_point Time) {
  return std::chrono::duration_cast<std::chrono::seconds>(Time.time_since_epoch()).count();
}

} // namespace

void rate_meter::count(time_point Now) {
  std::int64_t Second = secondOf(Now);
  bucket &Bucket = Buckets[static_cast<std::size_t>(Second) % Seconds];
  if (Bucket.Second != Second)
    Bucket = {Second, 0};
  ++Bucket.Count;
  ++Total;
}

double rate_meter::perSecond(time_point Now) const {
  std::int64_t Second = secondOf(Now);
  std::uint64_t Sum = 0;
  for (const bucket &Bucket : Buckets)
    if (Bucket.Second >= 0 && Second - Bucket.Second < static_cast<std::int64_t>(Seconds))
      Sum += Bucket.Count;
  return static_cast<double>(Sum) / Seconds;
}

std::unique_ptr<platform_service> makePlatformService(const runtime::clock &Clock,
                                                      const platform_options &Options) {
  return std::make_unique<platform_service_impl>(Clock, Options);
}

runtime::result<std::unique_ptr<platform_server>> makePlatformServer(runtime::loop &Loop,
                                                                     const platform_options &Options) {
  auto Platform = std::make_unique<platform_server_impl>(Loop, Options);
  auto Listening = Platform->listen(Options);
  if (!Listening)
    return Listening.error();
  return std::unique_ptr<platform_server>(std::move(Platform));
}

} // namespace yuccaplank::standin
