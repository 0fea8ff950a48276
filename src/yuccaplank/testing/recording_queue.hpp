// A placement queue that records the grants and rejections it sends.
#pragma once

#include "yuccaplank/dispatch/placement_queue.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::testing {

struct recording_queue {
  explicit recording_queue(dispatch::placement_options OptionsIn = {}) : Options(std::move(OptionsIn)) {}

  dispatch::placement_options Options;
  runtime::manual_clock Clock;
  std::vector<schema::grant> Grants;
  std::vector<schema::reject_job> Rejections;
  std::unique_ptr<dispatch::placement_queue> Queue = dispatch::makePlacementQueue(
      Clock,
      [this](const std::string &, const schema::dispatch_message &Message) {
        if (Message.has_grant())
          Grants.push_back(Message.grant());
        if (Message.has_reject())
          Rejections.push_back(Message.reject());
      },
      Options);

  void enqueue(const schema::place_job &Job) const { Queue->enqueue("coordinator", Job); }
};

} // namespace yuccaplank::testing
