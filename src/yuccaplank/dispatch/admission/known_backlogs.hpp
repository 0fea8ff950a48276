// What a VM knows of the backlogs at the placer, from heartbeats.
#pragma once

#include "pool_load.hpp"

#include "dispatch.pb.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::dispatch::admission {

/// A backlog counts for a limited time after its prediction, so that what a lost placer has told ends by
/// itself.
class known_backlogs {
public:
  /// Two heartbeat intervals, from the placer to a dispatching VM and on to a relaying VM, and some delay.
  static constexpr runtime::duration MaxAge = std::chrono::milliseconds(400);

  struct backlog {
    runtime::duration Wait{};
    runtime::duration Drain{};
    runtime::time_point PredictedAt{};
  };

  /// Takes over the backlogs in a heartbeat, unless newer ones are known.
  void learn(runtime::time_point Now,
             const google::protobuf::RepeatedPtrField<schema::pool_backlog> &Received);
  /// Sets the backlogs that this VM predicts as the placer.
  void setOwn(runtime::time_point Now, const std::map<std::string, std::vector<backlog_summary>> &Predicted);
  /// Forgets all backlogs, after a pause of this VM or when another VM has become the placer.
  void clear() { Backlogs.clear(); }
  /// Adds the backlogs that still count to a heartbeat.
  void addTo(runtime::time_point Now,
             google::protobuf::RepeatedPtrField<schema::pool_backlog> &Message) const;
  /// Returns the backlog for jobs of the priority, if it still counts.
  [[nodiscard]] std::optional<backlog> find(runtime::time_point Now, const std::string &Pool,
                                            std::uint32_t Priority) const;

private:
  std::map<std::pair<std::string, std::uint32_t>, backlog> Backlogs;
};

} // namespace yuccaplank::dispatch::admission
