#include "roll_call.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccaplank::dispatch {

using runtime::duration;
using runtime::time_point;

roll_call::roll_call(std::string Vm, roll_call_options OptionsIn) : Options(OptionsIn) {
  constexpr std::uint64_t Steps = 1000;
  std::uint64_t Step = XXH3_64bits(Vm.data(), Vm.size()) % Steps;
  OwnDelay = Options.Spread * static_cast<std::int64_t>(Step) / static_cast<std::int64_t>(Steps);
}

void roll_call::setVersion(std::uint64_t NewVersion, time_point Now) {
  bool IsFirstRead = !std::exchange(VersionKnown, true);
  if (NewVersion <= Version)
    return;
  Version = NewVersion;
  ReadAt = Now;
  if (!IsFirstRead)
    RecentCallAt = Now;
  EndReported = false;
}

bool roll_call::isDue(bool WithoutDispatcher, time_point Now) {
  if (!WithoutDispatcher) {
    SilentSince.reset();
    return false;
  }
  if (!SilentSince)
    SilentSince = Now;
  bool CalledRecently = (RecentCallAt && Now - *RecentCallAt < Options.MinInterval) ||
                        (CalledAt && Now - *CalledAt < Options.RetryDelay);
  if (CalledRecently || Now - *SilentSince < Options.SilenceTimeout + OwnDelay)
    return false;
  CalledAt = Now;
  return true;
}

bool roll_call::hasEnded(time_point Now) {
  if (EndReported || Now - *ReadAt < Options.AnswerTimeout)
    return false;
  return !std::exchange(EndReported, true);
}

registered_vms roll_call::present(const registered_vms &Vms, time_point Now) const {
  if (!ReadAt || Now - *ReadAt < Options.AnswerTimeout)
    return Vms;
  registered_vms Present;
  std::ranges::copy_if(Vms, std::inserter(Present, Present.end()),
                       [this](const auto &Vm) { return answered(Vm.second); });
  return Present;
}

std::vector<std::string> roll_call::missingSince(const registered_vms &Vms, time_point Before) const {
  std::vector<std::string> Missing;
  if (!ReadAt || *ReadAt > Before)
    return Missing;
  for (const auto &[Name, Vm] : Vms)
    if (!answered(Vm))
      Missing.push_back(Name);
  return Missing;
}

} // namespace yuccaplank::dispatch
