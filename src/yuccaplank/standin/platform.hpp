// Stand-in for the platform: table and VM list over HTTP, with switchable faults.
#pragma once

#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/storage/table_state.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaplank::standin {

/// What becomes of the reply to a request.
enum class reply_delivery : std::uint8_t {
  Send,
  /// The connection is closed instead.
  Drop,
  /// The request stays unanswered.
  Withhold,
};

struct platform_answer {
  wire::http_reply Reply;
  reply_delivery Delivery = reply_delivery::Send;
  runtime::duration Delay{};
};

enum class platform_mode : std::uint8_t {
  Normal,
  /// 503 at once, without effect.
  Down,
  /// No effect and no reply.
  Hang,
  /// Replies after the delay.
  Slow,
};

/// Body of `POST /fault`: `{"mode":"slow","delay_ms":200,"lose_replies_percent":5,"lose_next_replies":1,
/// "refuse_transactions":false}`. Absent fields take their defaults, so `{}` ends all faults.
struct platform_faults {
  platform_mode Mode = platform_mode::Normal;
  std::uint32_t DelayMs = 0;
  /// Transactions that take effect and whose connection closes instead of a reply, in percent.
  std::uint32_t LoseRepliesPercent = 0;
  /// The next transactions of which the same is true.
  std::uint32_t LoseNextReplies = 0;
  /// Transactions get 503 without effect; reads work.
  bool RefuseTransactions = false;
};

/// Events in the last 10 s.
class rate_meter {
public:
  void count(runtime::time_point Now);
  [[nodiscard]] std::uint64_t total() const { return Total; }
  [[nodiscard]] double perSecond(runtime::time_point Now) const;

private:
  static constexpr std::size_t Seconds = 10;
  struct bucket {
    std::int64_t Second = -1;
    std::uint64_t Count = 0;
  };
  std::array<bucket, Seconds> Buckets;
  std::uint64_t Total = 0;
};

/// Requests and answers without sockets. Faults concern the paths under /v1; `POST /fault`, `POST /vms`,
/// `GET /counters`, `GET /backup` and `POST /restore` always work.
class platform_service {
public:
  virtual ~platform_service() = default;
  virtual platform_answer handle(const wire::http_request &Request) = 0;
};

struct platform_options {
  /// "ip:port"; port 0 takes a free port.
  std::string Listen = "127.0.0.1:0";
  /// Time after which a new VM list is visible.
  runtime::duration ListLag = std::chrono::seconds(2);
  /// Visible from the start.
  schema::vm_list Vms;
  std::uint64_t Seed = 1;
};

std::unique_ptr<platform_service> makePlatformService(const runtime::clock &Clock,
                                                      const platform_options &Options);

/// Running stand-in.
class platform_server {
public:
  virtual ~platform_server() = default;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
};

runtime::result<std::unique_ptr<platform_server>> makePlatformServer(runtime::loop &Loop,
                                                                     const platform_options &Options);

} // namespace yuccaplank::standin
