// Strategies that choose the server of a task.
#pragma once

#include "server_set.hpp"

#include <memory>
#include <span>
#include <string_view>

namespace yuccaplank::model {

struct placement_request {
  fit_id Fit = 0;
  /// Planned run time on a server of speed 1, in milliseconds.
  double SizeMs = 0;
  /// Run time on a server of speed 1 that is exceeded rarely.
  double CautiousMs = 0;
  double NowMs = 0;
  /// End that the job's other tasks allow; earlier ends bring the job nothing.
  double TargetMs = 0;
  /// Servers that have refused the task.
  std::span<const server_id> Refused;
};

struct placement_choice {
  /// None when the task waits.
  server_id Server = None;
  /// Expected end, also of a task that waits.
  double EndMs = 0;
  /// No server of the class has a free slot.
  bool NoFreeSlot = false;
};

class placement_strategy {
public:
  virtual ~placement_strategy() = default;
  virtual placement_choice choose(const placement_request &Request) = 0;
};

/// How a strategy orders the queue.
struct strategy_traits {
  std::string_view Name;
  /// Least key first and fair shares; otherwise first come, first served.
  bool Fair = false;
  bool LongestFirst = false;
};

/// Traits of a strategy by name; of critical_time for an unknown name.
const strategy_traits &strategyTraits(std::string_view Name);
std::unique_ptr<placement_strategy> makePlacement(std::string_view Name, server_set &Servers,
                                                  std::uint64_t Seed);

} // namespace yuccaplank::model
