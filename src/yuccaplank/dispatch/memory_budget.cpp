#include "memory_budget.hpp"

#include <utility>

namespace yuccaplank::dispatch {

memory_budget::reservation::reservation(memory_budget &Budget, std::string Source, std::uint64_t Bytes)
    : Budget(&Budget), Source(std::move(Source)), Bytes(Bytes) {
  Budget.TakenBySource[this->Source] += Bytes;
  Budget.Taken += Bytes;
}

memory_budget::reservation::reservation(reservation &&Other) noexcept
    : Budget(std::exchange(Other.Budget, nullptr)), Source(std::move(Other.Source)), Bytes(Other.Bytes) {}

memory_budget::reservation &memory_budget::reservation::operator=(reservation &&Other) noexcept {
  if (this == &Other)
    return *this;
  release();
  Budget = std::exchange(Other.Budget, nullptr);
  Source = std::move(Other.Source);
  Bytes = Other.Bytes;
  return *this;
}

void memory_budget::reservation::release() {
  if (!Budget)
    return;
  auto Found = Budget->TakenBySource.find(Source);
  Found->second -= Bytes;
  if (Found->second == 0)
    Budget->TakenBySource.erase(Found);
  Budget->Taken -= Bytes;
  Budget = nullptr;
}

std::optional<memory_budget::reservation> memory_budget::take(const std::string &Source,
                                                              std::uint64_t Bytes) {
  if (!admits(Source, Bytes)) {
    ++Refusals;
    return std::nullopt;
  }
  return takeAnyway(Source, Bytes);
}

memory_budget::reservation memory_budget::takeAnyway(const std::string &Source, std::uint64_t Bytes) {
  return {*this, Source, Bytes};
}

std::uint64_t memory_budget::takenBy(const std::string &Source) const {
  auto Found = TakenBySource.find(Source);
  return Found == TakenBySource.end() ? 0 : Found->second;
}

bool memory_budget::admits(const std::string &Source, std::uint64_t Bytes) const {
  if (Taken == 0)
    return true;
  if (Taken >= MaxBytes)
    return false;
  std::uint64_t Free = MaxBytes - Taken;
  return Bytes <= Free && takenBy(Source) < Free;
}

} // namespace yuccaplank::dispatch
