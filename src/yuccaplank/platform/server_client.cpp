#include "yuccaplank/platform/server_client.hpp"
#include "json_reader.hpp"
#include "yuccaplank/platform/documents.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <limits>

namespace yuccaplank::platform {
namespace {

using dispatch::hold_reply;
using dispatch::order_outcome;
using dispatch::order_reply;
using dispatch::run_end;

struct reason_entry {
  std::string_view Reason;
  order_outcome Outcome;
};
constexpr auto ConflictReasons = std::to_array<reason_entry>({
    {"fence", order_outcome::Fenced},
    {"old", order_outcome::Superseded},
    {"late", order_outcome::LeaseOver},
    {"room", order_outcome::NoRoom},
});

struct end_entry {
  std::string_view Name;
  run_end End;
};
constexpr auto RunEnds = std::to_array<end_entry>({
    {"done", run_end::Done},
    {"failed", run_end::Failed},
    {"stopped", run_end::Stopped},
    {"lapsed", run_end::Lapsed},
    {"broken", run_end::Broken},
    {"alone", run_end::Alone},
});

order_outcome outcomeOfConflict(const json &Body) {
  if (Body.is_object() && Body.contains("reason") && Body["reason"].is_string())
    for (const reason_entry &Entry : ConflictReasons)
      if (Entry.Reason == Body["reason"].get_ref<const std::string &>())
        return Entry.Outcome;
  return order_outcome::Malformed;
}

order_outcome outcomeOfFailure(const wire::http_call_result &Result) {
  if (Result.Error == runtime::errc::ConnectFailed)
    return order_outcome::ConnectionRefused;
  return Result.Stage == wire::transfer_stage::NothingWritten ? order_outcome::NotSent
                                                              : order_outcome::NoAnswer;
}

order_outcome outcomeOf(const wire::http_call_result &Result, const json &Body) {
  if (Result.Error)
    return outcomeOfFailure(Result);
  switch (Result.Status) {
  case 200:
    return order_outcome::Accepted;
  case 409:
    return outcomeOfConflict(Body);
  case 421:
    return order_outcome::OtherIncarnation;
  case 429:
  case 503:
    return order_outcome::Unhealthy;
  case 400:
    return order_outcome::Malformed;
  default:
    // The reply does not tell whether the order was carried out.
    return order_outcome::NoAnswer;
  }
}

// Converts a number of milliseconds; returns nullopt beyond 2^53, the range of exact integers on the
// platform.
std::optional<std::int64_t> toInteger(const json &Number) {
  constexpr double MaxExact = 9007199254740992.0;
  double Value = Number.get<double>();
  if (!(Value >= 0 && Value <= MaxExact))
    return std::nullopt;
  return static_cast<std::int64_t>(Value);
}

// Runs are numbered from 1; returns nullopt for 0 and for a number that does not fit.
std::optional<std::uint32_t> toRunNumber(const json &Number) {
  auto Value = Number.get<std::uint64_t>();
  if (Value == 0 || Value > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(Value);
}

std::optional<std::int64_t> readClock(const json &Body) {
  if (!Body.is_object() || !Body.contains("clock_ms") || !Body["clock_ms"].is_number())
    return std::nullopt;
  return toInteger(Body["clock_ms"]);
}

// Reads a row of the form [task, run, saved, percent, …].
std::optional<dispatch::run_key> readRunning(const json &Row) {
  if (!Row.is_array() || Row.size() < 2 || !Row[0].is_string() || !Row[1].is_number_unsigned())
    return std::nullopt;
  auto Task = parseTaskName(Row[0].get_ref<const std::string &>());
  auto Run = toRunNumber(Row[1]);
  if (!Task || !Run)
    return std::nullopt;
  return dispatch::run_key{*Task, *Run};
}

// Reads a row of the form [number, task, run, end, saved].
std::optional<dispatch::listed_end> readEnd(const json &Row) {
  if (!Row.is_array() || Row.size() < 4 || !Row[0].is_number_unsigned() || !Row[1].is_string() ||
      !Row[2].is_number_unsigned() || !Row[3].is_string())
    return std::nullopt;
  auto Task = parseTaskName(Row[1].get_ref<const std::string &>());
  auto Run = toRunNumber(Row[2]);
  if (!Task || !Run)
    return std::nullopt;
  for (const end_entry &Entry : RunEnds)
    if (Entry.Name == Row[3].get_ref<const std::string &>())
      return dispatch::listed_end{Row[0].get<std::uint64_t>(), {*Task, *Run}, Entry.End};
  return std::nullopt;
}

template <typename Row>
bool readRows(const json &Body, const char *Name, std::optional<Row> (*Read)(const json &),
              std::vector<Row> &Rows) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || !Found->is_array())
    return false;
  for (const json &Value : *Found) {
    auto Decoded = Read(Value);
    if (!Decoded)
      return false;
    Rows.push_back(*Decoded);
  }
  return true;
}

class server_client final : public dispatch::server_orders {
public:
  server_client(wire::http_client &Client, server_client_options Options)
      : Client(Client), Options(Options) {}

  void start(const dispatch::server_target &Server, dispatch::start_order Order,
             std::function<void(order_reply)> OnDone) override {
    json Body{{"task", taskName(Order.Run.Task)},
              {"run", Order.Run.Run},
              {"specification", Order.Specification},
              {"deadline_ms", Order.LeaseEndMs},
              {"fencing_token", Order.FencingToken}};
    sendOrder(Server, "/yuccaplank/run-start", Body, std::move(OnDone));
  }

  void stop(const dispatch::server_target &Server, const dispatch::run_key &Run, std::uint64_t FencingToken,
            std::function<void(order_reply)> OnDone) override {
    json Body{{"task", taskName(Run.Task)}, {"run", Run.Run}, {"fencing_token", FencingToken}};
    sendOrder(Server, "/yuccaplank/run-stop", Body, std::move(OnDone));
  }

  void hold(const dispatch::server_target &Server, const dispatch::hold_order &Order,
            std::function<void(hold_reply)> OnDone) override {
    json Body{{"fencing_token", Order.FencingToken}, {"observed", Order.Observed}};
    if (Order.LeaseEndMs)
      Body["deadline_ms"] = *Order.LeaseEndMs;
    if (Order.Wait > runtime::duration::zero())
      Body["wait_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(Order.Wait).count();
    Client.call(makeCall(Server, "/yuccaplank/hold", Body, Order.Wait),
                [OnDone = std::move(OnDone)](const wire::http_call_result &Result) {
                  OnDone(decodeHoldReply(Result));
                });
  }

private:
  void sendOrder(const dispatch::server_target &Server, const char *Path, const json &Body,
                 std::function<void(order_reply)> OnDone) {
    Client.call(makeCall(Server, Path, Body, {}),
                [OnDone = std::move(OnDone)](const wire::http_call_result &Result) {
                  OnDone(decodeOrderReply(Result));
                });
  }

  [[nodiscard]] wire::http_call makeCall(const dispatch::server_target &Server, const char *Path,
                                         const json &Body, runtime::duration Wait) const {
    wire::http_call Call;
    Call.Method = "POST";
    Call.Address = Server.Address;
    Call.Path = Path;
    Call.Headers = {{"content-type", "application/json"}, {"Expected-Instance", Server.Id}};
    Call.Body = Body.dump();
    Call.Timeout = Wait + Options.ReplyTimeout;
    return Call;
  }

  wire::http_client &Client;
  server_client_options Options;
};

} // namespace

order_reply decodeOrderReply(const wire::http_call_result &Result) {
  json Body = parseJson(Result.Body);
  return {outcomeOf(Result, Body), readClock(Body)};
}

hold_reply decodeHoldReply(const wire::http_call_result &Result) {
  json Body = parseJson(Result.Body);
  hold_reply Reply;
  Reply.Outcome = outcomeOf(Result, Body);
  Reply.ClockMs = readClock(Body);
  if (Reply.Outcome != order_outcome::Accepted)
    return Reply;
  bool Complete = Body.is_object() && readRows(Body, "running_tasks", &readRunning, Reply.Running) &&
                  readRows(Body, "finished", &readEnd, Reply.Ended);
  // An unreadable list must not be taken for an empty one: its runs would count as ended.
  if (!Complete)
    return {};
  if (Body.contains("born") && Body["born"].is_number())
    Reply.IncarnationStartMs = toInteger(Body["born"]).value_or(0);
  return Reply;
}

std::string taskName(const dispatch::task_key &Task) {
  return fmt::format("{}.0.0.{}", dispatch::formatJob(Task.Job), Task.Index);
}

std::optional<dispatch::task_key> parseTaskName(std::string_view Name) {
  constexpr std::size_t IdDigits = dispatch::job_id::DigitCount;
  constexpr std::string_view Middle = ".0.0.";
  if (Name.size() <= IdDigits + Middle.size() || Name.substr(IdDigits, Middle.size()) != Middle)
    return std::nullopt;
  auto Job = dispatch::parseJobId(Name.substr(0, IdDigits));
  std::string_view Index = Name.substr(IdDigits + Middle.size());
  std::uint32_t Value = 0;
  auto [Stop, Error] = std::from_chars(Index.data(), Index.data() + Index.size(), Value);
  if (!Job || Error != std::errc() || Stop != Index.data() + Index.size())
    return std::nullopt;
  return dispatch::task_key{*Job, Value};
}

std::unique_ptr<dispatch::server_orders> makeServerClient(wire::http_client &Client,
                                                          server_client_options Options) {
  return std::make_unique<server_client>(Client, Options);
}

} // namespace yuccaplank::platform
