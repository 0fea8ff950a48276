// Service-level accounting: good and total jobs per service in sliding windows.
#pragma once

#include "peer.pb.h"
#include "service.pb.h"
#include "yuccaplank/runtime/clock.hpp"

#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::model {

/// Windows of the report, in seconds: 5 minutes, 1 hour, 6 hours.
inline constexpr std::uint32_t BurnWindowsS[] = {300, 3600, 21600};

class burn_recorder {
public:
  virtual ~burn_recorder() = default;
  virtual void record(const std::string &Service, bool Good) = 0;
  [[nodiscard]] virtual std::vector<schema::burn_service> windows() const = 0;
};

std::unique_ptr<burn_recorder> makeBurnRecorder(const runtime::clock &Clock);

/// One line of the report.
struct burn_line {
  std::string Service;
  double ObjectivePercent = 0;
  std::uint32_t WindowS = 0;
  std::uint64_t Good = 0;
  std::uint64_t Total = 0;
  /// Share of good jobs, in percent; 100 when there were none.
  double AttainedPercent = 100;
  /// Rate at which the error budget is used; 1 uses it up exactly within the objective's period.
  double BurnRate = 0;
  /// Part of the window's error budget that is left, in percent; negative when overspent.
  double BudgetLeftPercent = 100;
};

/// Merges the replies of all VMs.
std::vector<burn_line> mergeBurn(const std::vector<schema::burn_reply> &Replies,
                                 const std::vector<schema::service_document> &Services);

} // namespace yuccaplank::model
