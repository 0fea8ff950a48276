// Orders to backend servers and their replies, independent of the wire format.
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

/// Identifies an incarnation of a server and its address.
struct server_target {
  std::string Id;
  std::string Address;
};

/// The result of an order.
enum class order_outcome : std::uint8_t {
  /// Carried out now or earlier.
  Accepted,
  /// Not carried out: the server knows a higher fencing token.
  Fenced,
  /// Not carried out: this run or a later run of the task has ended or was stopped there.
  Superseded,
  /// Not carried out: the lease in the order has expired.
  LeaseOver,
  /// Not carried out: the server has too little free capacity.
  NoRoom,
  /// Not carried out: malformed.
  Malformed,
  /// Not carried out: the server reports that it is unhealthy.
  Unhealthy,
  /// Not carried out: another incarnation is at the address.
  OtherIncarnation,
  /// Certainly not delivered.
  NotSent,
  /// Certainly not delivered: no process accepts connections at the server's address.
  ConnectionRefused,
  /// No answer was received. The order may be carried out now or seconds later.
  NoAnswer,
};
std::string_view orderOutcomeName(order_outcome Outcome);
/// Whether the order certainly has not reached the server.
bool isUndelivered(order_outcome Outcome);

/// How a run ended, as the server reports it.
enum class run_end : std::uint8_t { Done, Failed, Stopped, Lapsed, Broken, Alone };
std::string_view runEndName(run_end End);

struct listed_end {
  /// Position in the incarnation's list of ends, from 1.
  std::uint64_t Number = 0;
  run_key Run;
  run_end End = run_end::Done;
};

struct order_reply {
  order_outcome Outcome = order_outcome::NoAnswer;
  /// Steady clock of the server; absent if the reply has none.
  std::optional<std::int64_t> ClockMs;
};

struct hold_reply {
  order_outcome Outcome = order_outcome::NoAnswer;
  std::optional<std::int64_t> ClockMs;
  /// Start of the incarnation in Unix milliseconds; 0 if the reply has none.
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
  /// Lease end on the server's clock; without a value the lease stays as it is.
  std::optional<std::int64_t> LeaseEndMs;
  /// The owner has processed all ends up to this number.
  std::uint64_t Observed = 0;
  /// How long the server may wait for an end before it replies.
  runtime::duration Wait{};
};

/// Sends orders. Each callback runs exactly once, and never before the call returns.
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
