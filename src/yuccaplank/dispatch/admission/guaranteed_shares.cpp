#include "guaranteed_shares.hpp"

#include <algorithm>

namespace yuccaplank::dispatch::admission {

double guaranteed_shares::shareOf(const std::string &Queue, std::uint32_t Priority) const {
  double ByPriority = 0;
  for (const guaranteed_share &Share : Shares) {
    if (!Share.Queue.empty() && Share.Queue == Queue)
      return Share.Share;
    if (Share.Queue.empty() && Share.Priority == Priority)
      ByPriority = Share.Share;
  }
  return ByPriority;
}

double guaranteed_shares::accrue(runtime::time_point Now, const std::string &Queue, std::uint32_t Priority,
                                 std::int64_t CapacityCpu) {
  double Share = shareOf(Queue, Priority);
  if (Share <= 0)
    return 0;
  double CoreRate = Share * static_cast<double>(CapacityCpu);
  auto [Entry, IsNew] = Accounts.try_emplace(Queue);
  account &Account = Entry->second;
  double Earned = IsNew ? 0 : CoreRate * runtime::toMs(Now - Account.UpdatedAt);
  Account.Balance = std::clamp(Account.Balance + Earned, -CoreRate * runtime::toMs(MaxDebt),
                               CoreRate * runtime::toMs(MaxCredit));
  Account.UpdatedAt = Now;
  return Account.Balance;
}

void guaranteed_shares::charge(const std::string &Queue, std::int64_t Cpu, double EstimateMs) {
  auto Found = Accounts.find(Queue);
  if (Found != Accounts.end())
    Found->second.Balance -= static_cast<double>(Cpu) * EstimateMs;
}

} // namespace yuccaplank::dispatch::admission
