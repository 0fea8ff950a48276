// Orders to backend servers and what they report, free of any format.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::dispatch {

/// Where a server is reached and which incarnation is meant.
struct server_target {
  std::string Id;
  std::string Address;
};

/// What became of an order.
enum class order_outcome : std::uint8_t {
  /// Carried out, or was already.
  Accepted,
  /// Not carried out: a higher fencing token is known there.
  Fenced,
  /// Not carried out: this run or a higher one has ended or was stopped there.
  Superseded,
  /// Not carried out: the lease that came with it is over.
  LeaseOver,
  /// Not carried out for want of room.
  NoRoom,
  /// Not carried out: malformed.
  Malformed,
  /// Not carried out: the server declares itself unhealthy.
  Unhealthy,
  /// Not carried out: another incarnation is at the address.
  OtherIncarnation,
  /// Certainly not delivered.
  NotSent,
  /// No answer; may be carried out now or seconds later.
  NoAnswer,
};
std::string_view orderOutcomeName(order_outcome Outcome);

/// How a run ended.
enum class run_end : std::uint8_t { Done, Failed, Stopped, Lapsed, Broken, Alone };
std::string_view runEndName(run_end End);

struct listed_end {
  /// Position in the incarnation's list, from 1.
  std::uint64_t Number = 0;
  run_key Run;
  run_end End = run_end::Done;
};

struct order_reply {
  order_outcome Outcome = order_outcome::NoAnswer;
  /// Steady clock of the server; absent when the reply has none.
  std::optional<std::int64_t> ClockMs;
};

struct hold_reply {
  order_outcome Outcome = order_outcome::NoAnswer;
  std::optional<std::int64_t> ClockMs;
  /// Start of the incarnation, Unix milliseconds; 0 when the reply has none.
  std::int64_t IncarnationStartMs = 0;
  std::vector<run_key> Running;
  std::vector<listed_end> Ended;
};

struct start_order {
  run_key Run;
  std::string Specification;
  std::uint64_t FencingToken = 0;
  /// On the server's clock.
  std::int64_t LeaseEndMs = 0;
};

struct hold_order {
  std::uint64_t FencingToken = 0;
  /// On the server's clock; absent leaves the lease as it is.
  std::optional<std::int64_t> LeaseEndMs;
  /// Ends up to this number have been taken note of.
  std::uint64_t Observed = 0;
  /// How long the server may wait for an end before it replies.
  runtime::duration Wait{};
};

/// Sends orders. Each callback runs exactly once, never from within the call.
class server_orders {
public:
  virtual ~server_orders() = default;
  virtual void start(const server_target &Server, start_order Order,
                     std::function<void(order_reply)> OnDone) = 0;
  virtual void stop(const server_target &Server, const run_key &Run, std::uint64_t FencingToken,
                    std::function<void(order_reply)> OnDone) = 0;
  virtual void hold(const server_target &Server, const hold_order &Order,
                    std::function<void(hold_reply)> OnDone) = 0;
};

} // namespace yuccaplank::dispatch
