#include "yuccaplank/dispatch/contact_plan.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace yuccaplank::dispatch {

std::set<std::string> chooseDispatchers(const registered_vms &Vms, const dispatching_options &Options) {
  std::map<std::string, std::vector<registered_vms::const_pointer>> Domains;
  for (const auto &Vm : Vms)
    Domains[Vm.second.Domain].push_back(&Vm);
  std::set<std::string> Chosen;
  for (auto &[Domain, Members] : Domains) {
    // VMs of equal strength are ordered by name, so that a restart does not change the choice.
    std::ranges::sort(Members, [](const auto *Left, const auto *Right) {
      return std::tie(Right->second.Strength, Left->first) < std::tie(Left->second.Strength, Right->first);
    });
    std::size_t Wanted = (Members.size() + Options.VmsPerDispatcher - 1) / Options.VmsPerDispatcher;
    std::size_t Count = std::min(std::max(Options.PerDomain, Wanted), Members.size());
    for (std::size_t Index = 0; Index < Count; ++Index)
      Chosen.insert(Members[Index]->first);
  }
  return Chosen;
}

std::set<std::string> contactsOfRelay(const registered_vms &Vms, const std::set<std::string> &Dispatchers,
                                      const relay_contact_plan &Plan,
                                      const std::function<bool(const std::string &)> &InContact) {
  // Rendezvous hashing: when a dispatcher is added or lost, only its own relaying VMs change their contacts.
  struct candidate {
    bool SameDomain = false;
    std::uint64_t Rank = 0;
    std::string Vm;
  };
  std::vector<candidate> Candidates;
  std::uint64_t Seed = XXH3_64bits(Plan.Vm.data(), Plan.Vm.size());
  for (const std::string &Vm : Dispatchers)
    if (auto Found = Vms.find(Vm); Found != Vms.end())
      Candidates.push_back(
          {Found->second.Domain == Plan.Domain, XXH3_64bits_withSeed(Vm.data(), Vm.size(), Seed), Vm});
  std::ranges::sort(Candidates, std::greater<>(),
                    [](const candidate &Vm) { return std::tuple(Vm.SameDomain, Vm.Rank); });
  std::set<std::string> Contacts;
  std::size_t Next = 0;
  for (; Next < Candidates.size() && Next < Plan.Preferred && Candidates[Next].SameDomain; ++Next)
    Contacts.insert(Candidates[Next].Vm);
  if (std::ranges::any_of(Contacts, InContact))
    return Contacts;
  std::size_t End = std::min(Next + Plan.Fallback, Candidates.size());
  for (; Next < End; ++Next)
    Contacts.insert(Candidates[Next].Vm);
  return Contacts;
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
