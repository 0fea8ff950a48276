#include "yuccaplank/dispatch/contact_plan.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace yuccaplank::dispatch {

std::set<std::string> chooseDispatchers(const registered_vms &Vms, std::size_t PerDomain) {
  std::map<std::string, std::vector<registered_vms::const_pointer>> Domains;
  for (const auto &Vm : Vms)
    Domains[Vm.second.Domain].push_back(&Vm);
  std::set<std::string> Chosen;
  for (auto &[Domain, Members] : Domains) {
    // VMs of equal strength are ordered by name, so that a restart does not change the choice.
    std::ranges::sort(Members, [](const auto *Left, const auto *Right) {
      return std::tie(Right->second.Strength, Left->first) < std::tie(Left->second.Strength, Right->first);
    });
    for (std::size_t Index = 0; Index < std::min(PerDomain, Members.size()); ++Index)
      Chosen.insert(Members[Index]->first);
  }
  return Chosen;
}

std::set<std::string> contactsOfRelay(const registered_vms &Vms, const std::set<std::string> &Dispatchers,
                                      const std::string &Domain,
                                      const std::function<bool(const std::string &)> &InContact) {
  std::set<std::string> SameDomain;
  for (const std::string &Vm : Dispatchers)
    if (auto Found = Vms.find(Vm); Found != Vms.end() && Found->second.Domain == Domain)
      SameDomain.insert(Vm);
  return std::ranges::any_of(SameDomain, InContact) ? SameDomain : Dispatchers;
}

void dispatching_decision::onRegistered(runtime::time_point Now, bool Returning) {
  if (!DecisionDueAt)
    DecisionDueAt = Returning ? Now : Now + Options.SettleDelay;
}

bool dispatching_decision::update(runtime::time_point Now, bool Chosen) {
  if (!DecisionDueAt || Now < *DecisionDueAt)
    return false;
  bool IsFirstDecision = !std::exchange(Decided, true);
  if (Chosen == Dispatches) {
    DiffersSince.reset();
    return Dispatches;
  }
  if (!DiffersSince)
    DiffersSince = Now;
  if (IsFirstDecision || Now - *DiffersSince >= Options.RoleChangeDelay) {
    Dispatches = Chosen;
    DiffersSince.reset();
  }
  return Dispatches;
}

} // namespace yuccaplank::dispatch
