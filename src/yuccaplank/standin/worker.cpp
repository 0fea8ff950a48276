#include "worker.hpp"
#include "yuccaplank/platform/json_reader.hpp"
#include "yuccaplank/platform/server_client.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/standin/replies.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace yuccaplank::standin {
namespace {

using dispatch::order_outcome;
using nlohmann::json;
using platform::field_issue;
using platform::object_reader;
using runtime::time_point;
using wire::http_reply;
using wire::http_request;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int MisdirectedRequest = 421;
constexpr std::uint32_t MaxWaitMs = 2000;
constexpr double MinLateDelayMs = 1000;
constexpr double MaxLateDelayMs = 8000;

// Names of the ends of runs, indexed by run_end.
constexpr auto EndNames =
    std::to_array<std::string_view>({"done", "failed", "stopped", "lapsed", "broken", "alone"});

std::string_view rejectReason(order_outcome Outcome) {
  switch (Outcome) {
  case order_outcome::Fenced:
    return "fence";
  case order_outcome::LeaseOver:
    return "late";
  case order_outcome::NoRoom:
    return "room";
  default:
    return "old";
  }
}

// Content of a start or stop order. Specification and LeaseEndMs are only set for start orders.
struct order_body {
  dispatch::run_key Run;
  std::string Specification;
  std::uint64_t FencingToken = 0;
  std::int64_t LeaseEndMs = 0;
};

std::optional<order_body> readOrder(const std::string &Text, bool IsStart) {
  json Body = platform::parseJson(Text);
  std::vector<field_issue> Issues;
  order_body Order;
  std::string Task;
  object_reader Reader(Body, "", Issues);
  Reader.requiredText("task", Task);
  Reader.requiredInteger("run", Order.Run.Run);
  Reader.optionalInteger("fencing_token", Order.FencingToken);
  if (IsStart) {
    Reader.optionalText("specification", Order.Specification);
    Reader.requiredInteger("deadline_ms", Order.LeaseEndMs);
  }
  auto Name = platform::parseTaskName(Task);
  if (!Issues.empty() || !Name)
    return std::nullopt;
  Order.Run.Task = *Name;
  return Order;
}

std::optional<dispatch::hold_order> readHold(const std::string &Text) {
  json Body = platform::parseJson(Text);
  std::vector<field_issue> Issues;
  dispatch::hold_order Order;
  std::int64_t LeaseEndMs = 0;
  std::uint32_t WaitMs = 0;
  object_reader Reader(Body, "", Issues);
  Reader.optionalInteger("fencing_token", Order.FencingToken);
  Reader.optionalInteger("observed", Order.Observed);
  Reader.optionalInteger("deadline_ms", LeaseEndMs);
  Reader.optionalInteger("wait_ms", WaitMs);
  if (!Issues.empty())
    return std::nullopt;
  if (LeaseEndMs > 0)
    Order.LeaseEndMs = LeaseEndMs;
  Order.Wait = std::chrono::milliseconds(std::min(WaitMs, MaxWaitMs));
  return Order;
}

class worker_impl final : public worker {
public:
  worker_impl(runtime::loop &Loop, runtime::random &Random, worker_options OptionsIn,
              std::function<void(const dispatch::run_key &)> OnStart)
      : Loop(Loop), Random(Random), Options(std::move(OptionsIn)), OnStart(std::move(OnStart)) {}
  worker_impl(const worker_impl &) = delete;
  worker_impl &operator=(const worker_impl &) = delete;
  ~worker_impl() override = default;

  [[nodiscard]] const worker_options &options() const override { return Options; }
  [[nodiscard]] std::string address() const override { return Options.Listen; }
  [[nodiscard]] bool alive() const override { return TaskServer != nullptr; }

  [[nodiscard]] std::string makeEntry(std::uint64_t Sequence, bool Draining) const override {
    json Entry{{"service", Options.Pool},
               {"address", Options.Listen},
               {"zone", Options.Domain},
               {"state", Draining ? "draining" : "ready"},
               {"sequence", Sequence},
               {"born", TaskServer ? TaskServer->incarnationStartMs() : 0},
               {"labels", {"a", Options.Rack}},
               {"capacity", {{"cpu", Options.Cpu}, {"memory_limit_mb", Options.MemoryMb}, {"gpu", 0}}}};
    return Entry.dump();
  }

  runtime::result<void> start() override {
    wire::http_server_options ServerOptions;
    ServerOptions.Address = Options.Listen;
    ServerOptions.RequestTimeout = std::chrono::seconds(30);
    auto NewServer = wire::makeHttpServer(Loop, ServerOptions,
                                          {[this](const http_request &Request) { onRequest(Request); }, {}});
    if (!NewServer)
      return NewServer.error();
    Server = std::move(NewServer.value());
    std::string Ip = Options.Listen.substr(0, Options.Listen.rfind(':'));
    Options.Listen = fmt::format("{}:{}", Ip, Server->port());
    TaskServer = std::make_unique<task_server>(Loop.clock().unixMs(), Options.Server);
    Incarnation.renew();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void crash() override {
    Incarnation.renew();
    Loop.cancel(std::exchange(EventTimer, 0));
    Holds.clear();
    TaskServer.reset();
    Server.reset();
  }

  void setFaults(worker_faults Updated) override { Faults = Updated; }

  [[nodiscard]] bool isRunning(const dispatch::task_key &Task) override {
    if (!TaskServer)
      return false;
    TaskServer->advance(now());
    return std::ranges::any_of(TaskServer->running(), [&](const auto &Run) { return Run.Task == Task; });
  }
  [[nodiscard]] std::uint32_t usedCpu() override {
    if (!TaskServer)
      return 0;
    TaskServer->advance(now());
    return TaskServer->usedCpu();
  }

  [[nodiscard]] rack_counts rackCounts() const override { return RackCounts; }

private:
  struct pending_hold {
    wire::request_token Token = 0;
    dispatch::hold_order Order;
    time_point Until;
  };

  [[nodiscard]] time_point now() const { return Loop.clock().now(); }

  void onRequest(const http_request &Request) {
    if (Faults.Mode == worker_mode::Silent)
      return;
    std::string_view Expected = Request.header("expected-instance");
    if (!Expected.empty() && Expected != Options.Id)
      return reply(Request.Token, reasonReply(MisdirectedRequest, "instance"));
    if (Request.Method == "POST" && Request.Path == "/yuccaplank/run-start")
      return onStartOrder(Request);
    if (Request.Method == "POST" && Request.Path == "/yuccaplank/run-stop")
      return onStopOrder(Request);
    if (Request.Method == "POST" && Request.Path == "/yuccaplank/hold")
      return onHold(Request);
    reply(Request.Token, reasonReply(NotFound, "unknown_path"));
  }

  void onStartOrder(const http_request &Request) {
    auto Order = readOrder(Request.Body, true);
    if (!Order)
      return reply(Request.Token, reasonReply(BadRequest, "malformed"));
    execute(Request.Token, [this, Order = *Order] {
      bool Present = isRunning(Order.Run.Task);
      run_work Work = makeWork(Order.Specification);
      bool IsRemote = isRemote(Work, Order.Run.Task.Job);
      if (IsRemote)
        Work.Duration = runtime::fromMs(runtime::toMs(Work.Duration) * Options.RemoteFactor);
      order_outcome Outcome = TaskServer->start(
          now(), {Order.Run, Order.Specification, Order.FencingToken, Order.LeaseEndMs}, Work);
      if (Outcome == order_outcome::Accepted && !Present) {
        if (!Work.Rack.empty())
          ++(IsRemote ? RackCounts.Elsewhere : RackCounts.OnRack);
        OnStart(Order.Run);
      }
      return Outcome;
    });
  }

  void onStopOrder(const http_request &Request) {
    auto Order = readOrder(Request.Body, false);
    if (!Order)
      return reply(Request.Token, reasonReply(BadRequest, "malformed"));
    execute(Request.Token,
            [this, Order = *Order] { return TaskServer->stop(now(), Order.Run, Order.FencingToken); });
  }

  [[nodiscard]] run_work makeWork(const std::string &Specification) const {
    run_work Work = decodeWork(Specification);
    Work.Duration = runtime::fromMs(runtime::toMs(Work.Duration) * Options.Slowness * Faults.Slowdown);
    Work.Fails = Faults.Mode == worker_mode::Failing;
    if (Faults.Mode == worker_mode::Hanging)
      Work.Duration = std::chrono::hours(1);
    return Work;
  }

  [[nodiscard]] bool isRemote(const run_work &Work, dispatch::job_id Job) const {
    if (Work.Rack != AnyOneRack)
      return !Work.Rack.empty() && Work.Rack != Options.Rack;
    return Options.FirstRackOf && Options.FirstRackOf(Job, Options.Rack) != Options.Rack;
  }

  void execute(wire::request_token Token, std::function<order_outcome()> Order) {
    if (Random.uniform() < Faults.LateOrders) {
      executeLate(std::move(Order));
      return;
    }
    order_outcome Outcome = Order();
    scheduleNextEvent();
    if (Random.uniform() < Faults.LostAnswers)
      return Server->closeWithoutReply(Token);
    json Body{{"clock_ms", TaskServer->clockMs(now())}};
    if (Outcome != order_outcome::Accepted)
      Body["reason"] = rejectReason(Outcome);
    reply(Token, jsonReply(Outcome == order_outcome::Accepted ? Ok : Conflict, Body));
  }

  // Executes an order seconds after it arrived, even if a new incarnation has started at the address since.
  void executeLate(std::function<order_outcome()> Order) {
    Loop.after(runtime::fromMs(MinLateDelayMs + Random.uniform() * (MaxLateDelayMs - MinLateDelayMs)),
               Lifetime.guard([this, Order = std::move(Order)] {
                 if (!TaskServer)
                   return;
                 Order();
                 scheduleNextEvent();
               }));
  }

  void onHold(const http_request &Request) {
    auto Order = readHold(Request.Body);
    if (!Order)
      return reply(Request.Token, reasonReply(BadRequest, "malformed"));
    auto Reply = TaskServer->hold(now(), *Order);
    scheduleNextEvent();
    if (Reply.Outcome != order_outcome::Accepted || !Reply.Ended.empty() ||
        Order->Wait <= runtime::duration::zero())
      return replyHold(Request.Token, Reply);
    Holds.push_back({Request.Token, *Order, now() + Order->Wait});
    runAfter(Order->Wait, [this] { answerHolds(); });
  }

  void answerHolds() {
    std::vector<pending_hold> Waiting;
    Waiting.swap(Holds);
    for (pending_hold &Hold : Waiting) {
      // The lease was extended when the order arrived.
      Hold.Order.LeaseEndMs.reset();
      auto Reply = TaskServer->hold(now(), Hold.Order);
      if (Reply.Outcome == order_outcome::Accepted && Reply.Ended.empty() && now() < Hold.Until)
        Holds.push_back(Hold);
      else
        replyHold(Hold.Token, Reply);
    }
  }

  void replyHold(wire::request_token Token, const dispatch::hold_reply &Reply) {
    json Body{{"clock_ms", TaskServer->clockMs(now())}, {"born", Reply.IncarnationStartMs}};
    if (Reply.Outcome != order_outcome::Accepted) {
      Body["reason"] = rejectReason(Reply.Outcome);
      return reply(Token, jsonReply(Conflict, Body));
    }
    json Running = json::array();
    for (const dispatch::run_key &Run : Reply.Running)
      Running.push_back({platform::taskName(Run.Task), Run.Run, "", 0});
    json Finished = json::array();
    for (const dispatch::listed_end &End : Reply.Ended)
      Finished.push_back({End.Number, platform::taskName(End.Run.Task), End.Run.Run,
                          EndNames.at(static_cast<std::size_t>(End.End)), ""});
    Body["running_tasks"] = std::move(Running);
    Body["finished"] = std::move(Finished);
    reply(Token, jsonReply(Ok, Body));
  }

  // Schedules a timer for the next end of a run.
  void scheduleNextEvent() {
    Loop.cancel(std::exchange(EventTimer, 0));
    auto Next = TaskServer->nextEventTime();
    if (!Next)
      return;
    EventTimer = runAfter(std::max(*Next - now(), runtime::duration::zero()), [this] {
      EventTimer = 0;
      TaskServer->advance(now());
      if (TaskServer->hasUnobservedEnds())
        answerHolds();
      scheduleNextEvent();
    });
  }

  void reply(wire::request_token Token, http_reply Reply) {
    if (Faults.Mode != worker_mode::Silent)
      Server->reply(Token, std::move(Reply));
  }

  // Runs a function after a delay, unless the incarnation has ended by then.
  runtime::timer_id runAfter(runtime::duration Delay, std::function<void()> Function) {
    return Loop.after(Delay, Incarnation.guard(std::move(Function)));
  }

  runtime::loop &Loop;
  runtime::random &Random;
  worker_options Options;
  std::function<void(const dispatch::run_key &)> OnStart;
  worker_faults Faults;
  rack_counts RackCounts;
  std::unique_ptr<task_server> TaskServer;
  std::unique_ptr<wire::http_server> Server;
  std::vector<pending_hold> Holds;
  // Lifetime of the current incarnation, ended by a crash.
  runtime::lifetime Incarnation;
  runtime::timer_id EventTimer = 0;
  runtime::lifetime Lifetime;
};

} // namespace

runtime::result<std::unique_ptr<worker>> makeWorker(runtime::loop &Loop, runtime::random &Random,
                                                    worker_options Options,
                                                    std::function<void(const dispatch::run_key &)> OnStart) {
  auto Worker = std::make_unique<worker_impl>(Loop, Random, std::move(Options), std::move(OnStart));
  if (auto Started = Worker->start(); !Started)
    return Started.error();
  return std::unique_ptr<worker>(std::move(Worker));
}

} // namespace yuccaplank::standin
