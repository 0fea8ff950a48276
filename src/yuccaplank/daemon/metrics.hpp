// Prometheus metrics of the daemon.
#pragma once

#include "yuccaplank/node/entry_node.hpp"
#include "yuccaplank/storage/table.hpp"
#include "yuccaplank/wire/peer_link.hpp"

#include <memory>
#include <string>

namespace yuccaplank::daemon {

class metrics {
public:
  virtual ~metrics() = default;
  /// Response time of an answered submission, by outcome.
  virtual void observeJob(schema::outcome_kind Outcome, double Seconds) = 0;
  /// Text exposition format.
  virtual std::string text() = 0;
};

struct metrics_sources {
  const node::entry_node &Node;
  const storage::table &Table;
  /// Null until the transport exists.
  const std::unique_ptr<wire::peer_transport> &Transport;
};

std::unique_ptr<metrics> makeMetrics(metrics_sources Sources);

} // namespace yuccaplank::daemon
