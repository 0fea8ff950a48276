// Bounds the time that received data can have waited unread, from the iterations of the event loop. Decides
// after a pause which requests other VMs may have received as well.
#pragma once

#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <optional>

namespace yuccaplank::wire {

/// State of the loop when a connection was accepted.
struct accept_mark {
  /// The connection was established later than this.
  runtime::time_point EstablishedAfter;
  std::uint64_t Iteration = 0;
};

/// Bound for the connections of one listener. An iteration of the loop in which more sockets are readable
/// than h2o polls at a time (256) leaves some of them to the next one, which this bound does not take into
/// account.
class unread_bound {
public:
  explicit unread_bound(const runtime::loop &Loop) : Loop(Loop) {}

  /// Called before connections are accepted. Connections that an earlier batch left in the queue may have
  /// been established before the previous iteration.
  accept_mark beginBatch() {
    if (!QueueEmptyBefore)
      QueueEmptyBefore = Loop.previousIteration();
    return {*QueueEmptyBefore, Loop.iterations()};
  }
  /// Called when all connections in the queue have been accepted.
  void onQueueEmptied() { QueueEmptyBefore.reset(); }

  /// Upper bound of the time that what was read last from a connection was unread. A connection is polled for
  /// the first time in the iteration after the one that accepted it.
  [[nodiscard]] runtime::duration maxUnreadTime(const accept_mark &Mark) const {
    bool FirstPoll = Loop.iterations() <= Mark.Iteration + 1;
    return Loop.clock().sinceBoot() - (FirstPoll ? Mark.EstablishedAfter : Loop.previousIteration());
  }

private:
  const runtime::loop &Loop;
  std::optional<runtime::time_point> QueueEmptyBefore;
};

} // namespace yuccaplank::wire
