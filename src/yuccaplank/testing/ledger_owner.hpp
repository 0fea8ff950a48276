// The surroundings of a server's ledger in tests.
#pragma once

#include "yuccaplank/dispatch/reply_timeout.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::testing {

constexpr dispatch::job_id LedgerJob(0x5c0e7a21d94b36f8);
inline dispatch::run_key runOf(std::uint32_t Index, std::uint32_t Run = 1) {
  return {{LedgerJob, Index}, Run};
}

/// Records orders; the test answers them.
struct recorded_orders final : dispatch::server_orders {
  struct sent_start {
    dispatch::start_order Order;
    std::function<void(dispatch::order_reply)> Reply;
  };
  struct sent_stop {
    dispatch::run_key Run;
    std::uint64_t Token = 0;
    std::function<void(dispatch::order_reply)> Reply;
  };
  struct sent_hold {
    dispatch::hold_order Order;
    std::function<void(dispatch::hold_reply)> Reply;
  };
  std::deque<sent_start> Starts;
  std::deque<sent_stop> Stops;
  std::deque<sent_hold> Holds;

  void start(const dispatch::server_target &, dispatch::start_order Order,
             std::function<void(dispatch::order_reply)> OnDone) override {
    Starts.push_back({std::move(Order), std::move(OnDone)});
  }
  void stop(const dispatch::server_target &, const dispatch::run_key &Run, std::uint64_t Token,
            std::function<void(dispatch::order_reply)> OnDone) override {
    Stops.push_back({Run, Token, std::move(OnDone)});
  }
  void hold(const dispatch::server_target &, const dispatch::hold_order &Order,
            std::function<void(dispatch::hold_reply)> OnDone) override {
    Holds.push_back({Order, std::move(OnDone)});
  }
};

/// Stands for the owner of one server, with its ledger; the test plays the server and the coordinators.
struct ledger_owner final : dispatch::ledger_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  recorded_orders Orders;
  std::vector<schema::task_event> Events;
  std::vector<schema::adopt_request> Adoptions;
  std::vector<schema::lost_server> Losses;
  // Start of the incarnation and clock in each reply of the server.
  std::vector<std::pair<std::int64_t, std::int64_t>> Replies;
  std::uint64_t LastToken = 0;
  dispatch::ledger_counters Counters;
  std::size_t CapacityChanges = 0;
  // Clock of the server in its replies. Tests that let it stand still only look at differences to it.
  std::int64_t ServerClockMs = 1000;
  // Latest lease end in holds that were answered by advanceWithLists().
  std::int64_t AnsweredLeaseEndMs = 0;
  dispatch::reply_timeout ReplyTimeout{std::chrono::milliseconds(30), std::chrono::milliseconds(100),
                                       std::chrono::milliseconds(250)};
  bool AnyOwnerOutOfContact = false;
  // The same for all coordinators; by default the value of this VM itself.
  std::optional<runtime::time_point> LastAnsweredHeartbeat = runtime::time_point::max();
  // Exceptions for single coordinators.
  std::map<std::string, std::optional<runtime::time_point>> Heartbeats;
  std::unique_ptr<dispatch::server_ledger> Ledger = dispatch::makeServerLedger(*Executor, *this, entry());

  static dispatch::server_entry entry() {
    dispatch::server_entry Entry;
    Entry.Target = {"s1", "10.0.0.1:80"};
    Entry.Capacity.set_cpu(64000);
    Entry.Capacity.set_memory_mb(1000);
    return Entry;
  }

  dispatch::server_orders &orders() override { return Orders; }
  void send(const std::string &, schema::dispatch_message Message) override {
    if (Message.has_event())
      Events.push_back(Message.event());
  }
  void broadcast(const schema::dispatch_message &Message) override {
    if (Message.has_adopt())
      Adoptions.push_back(Message.adopt());
  }
  void announceLoss(schema::lost_server Lost) override { Losses.push_back(std::move(Lost)); }
  void onServerReplied(const std::string &, std::int64_t IncarnationStartMs, std::int64_t ClockMs) override {
    Replies.emplace_back(IncarnationStartMs, ClockMs);
  }
  void onCapacityChanged(const std::string &) override { ++CapacityChanges; }
  std::uint64_t fencingToken(std::uint64_t Above) override {
    return LastToken = std::max(LastToken, Above) + 1;
  }
  dispatch::ledger_counters &counters() override { return Counters; }
  dispatch::reply_timeout &replyTimeout() override { return ReplyTimeout; }
  [[nodiscard]] bool anyOwnerOutOfContact() const override { return AnyOwnerOutOfContact; }
  [[nodiscard]] std::optional<runtime::time_point>
  lastAnsweredHeartbeat(const std::string &Coordinator) const override {
    auto Found = Heartbeats.find(Coordinator);
    return Found == Heartbeats.end() ? LastAnsweredHeartbeat : Found->second;
  }

  [[nodiscard]] dispatch::hold_reply makeListReply(std::vector<dispatch::run_key> Running,
                                                   std::vector<dispatch::listed_end> Ended = {},
                                                   std::int64_t IncarnationStartMs = 1) const {
    dispatch::hold_reply Reply;
    Reply.Outcome = dispatch::order_outcome::Accepted;
    Reply.ClockMs = ServerClockMs;
    Reply.IncarnationStartMs = IncarnationStartMs;
    Reply.Running = std::move(Running);
    Reply.Ended = std::move(Ended);
    return Reply;
  }
  void answerHold(const dispatch::hold_reply &Reply) {
    auto Hold = std::move(Orders.Holds.front());
    Orders.Holds.pop_front();
    Hold.Reply(Reply);
  }
  // Answers the holds that are open now, in steps shorter than the time after which a hold is repeated.
  void advanceWithLists(std::chrono::milliseconds Time, const std::vector<dispatch::run_key> &Running) {
    constexpr std::chrono::milliseconds Step{100};
    for (std::chrono::milliseconds Passed{}; Passed < Time; Passed += Step) {
      Executor->advance(Step);
      AnsweredLeaseEndMs = std::max(AnsweredLeaseEndMs, latestLeaseEndMs());
      for (std::size_t Count = Orders.Holds.size(); Count > 0; --Count)
        answerHold(makeListReply(Running));
    }
  }
  void answerStart(dispatch::order_outcome Outcome) {
    auto Start = std::move(Orders.Starts.front());
    Orders.Starts.pop_front();
    Start.Reply({Outcome, 1000});
  }
  void answerStop(dispatch::order_outcome Outcome) {
    auto Stop = std::move(Orders.Stops.front());
    Orders.Stops.pop_front();
    Stop.Reply({Outcome, 1000});
  }

  void claim(const std::vector<dispatch::run_key> &Running = {}) {
    Ledger->claim();
    answerHold(makeListReply(Running));
  }
  void start(const dispatch::run_key &Run, std::uint32_t Cpu = 30000, bool Alone = false,
             const std::string &Coordinator = "coordinator", bool Relayed = false,
             std::uint32_t FailedRuns = 0) const {
    schema::start_task Request;
    Request.set_failed_runs(FailedRuns);
    Request.set_relayed(Relayed);
    *Request.mutable_task() = dispatch::toMessage(Run);
    Request.set_server("s1");
    Request.mutable_size()->set_cpu(Cpu);
    Request.set_estimate_ms(100);
    Request.set_alone(Alone);
    Request.set_token(Ledger->highestToken());
    Ledger->start(Coordinator, Request);
  }
  // Latest end of a lease that the orders of this owner have given, on the server's clock.
  [[nodiscard]] std::int64_t latestLeaseEndMs() const {
    std::int64_t Latest = 0;
    for (const recorded_orders::sent_start &Start : Orders.Starts)
      Latest = std::max(Latest, Start.Order.LeaseEndMs);
    for (const recorded_orders::sent_hold &Hold : Orders.Holds)
      Latest = std::max(Latest, Hold.Order.LeaseEndMs.value_or(0));
    return Latest;
  }
  [[nodiscard]] schema::run_event lastEvent() const {
    return Events.empty() ? schema::RUN_UNKNOWN : Events.back().event();
  }
};

} // namespace yuccaplank::testing
