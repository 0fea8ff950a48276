// Minimum shares of a pool's capacity for queues, as a floor under the order by priority.
#pragma once

#include "yuccaplank/dispatch/admission/admission_options.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccaplank::dispatch::admission {

/// Keeps account of the core time that each queue is entitled to and has used. A queue whose jobs wait is
/// entitled to its share of the capacity. What it does not use while no job of it waits goes to others; only
/// MaxCredit of it is kept.
class guaranteed_shares {
public:
  explicit guaranteed_shares(std::vector<guaranteed_share> Shares) : Shares(std::move(Shares)) {}

  [[nodiscard]] bool empty() const { return Shares.empty(); }
  /// Called with each queue that has waiting jobs, before its jobs are ordered. Returns the core time that
  /// the queue is owed; 0 if it has no share, negative if it has used more than its share.
  double accrue(runtime::time_point Now, const std::string &Queue, std::uint32_t Priority,
                std::int64_t CapacityCpu);
  /// The queue has got cores, in thousandths, for an estimated time.
  void charge(const std::string &Queue, std::int64_t Cpu, double EstimateMs);

private:
  struct account {
    // Core time in thousandths of a core times milliseconds; negative when more was used.
    double Balance = 0;
    runtime::time_point UpdatedAt{};
  };
  // A queue without waiting jobs saves up its share for this time only, so that it cannot fill a pool at
  // once.
  static constexpr runtime::duration MaxCredit = std::chrono::milliseconds(200);
  // What a queue has used beyond its share counts against it for this time at most.
  static constexpr runtime::duration MaxDebt = std::chrono::seconds(2);

  [[nodiscard]] double shareOf(const std::string &Queue, std::uint32_t Priority) const;

  std::vector<guaranteed_share> Shares;
  std::map<std::string, account> Accounts;
};

} // namespace yuccaplank::dispatch::admission
