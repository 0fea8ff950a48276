#include "server_selection.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>

namespace yuccaplank::node {
namespace {

// A single server may be down by itself.
constexpr std::size_t ServersToCheck = 3;
constexpr runtime::duration RecheckPeriod = std::chrono::seconds(2);

} // namespace

server_selection::server_selection(runtime::executor &Executor, ports &Ports,
                                   const model::membership &Membership, std::string Domain,
                                   const std::vector<std::string> &GivenGroup, std::function<void()> OnChange)
    : Executor(Executor), Ports(Ports), Membership(Membership), OwnDomain(std::move(Domain)),
      Group(GivenGroup.begin(), GivenGroup.end()), OnChange(std::move(OnChange)) {
  Group.insert(OwnDomain);
}

void server_selection::setList(const schema::vm_list &Given) {
  List = Given;
  OnChange();
}

void server_selection::vmChanged(const std::string &Domain) {
  if (Domain == OwnDomain || !Group.contains(Domain) || Checking.contains(Domain))
    return;
  if (anyVmReachable(Domain))
    leaveOut(Domain, false);
  else
    check(Domain);
}

std::vector<schema::backend_entry> server_selection::selected() const {
  std::vector<schema::backend_entry> Selected;
  std::ranges::copy_if(List.backends(), std::back_inserter(Selected),
                       [&](const schema::backend_entry &Entry) {
                         return Group.contains(Entry.domain()) && !LeftOut.contains(Entry.domain());
                       });
  return Selected;
}

double server_selection::share() const {
  std::set<std::string> Domains;
  for (const schema::backend_entry &Entry : List.backends())
    Domains.insert(Entry.domain());
  auto Served = std::ranges::count_if(Domains, [&](const std::string &Domain) {
    return Group.contains(Domain) && !LeftOut.contains(Domain);
  });
  return Domains.empty() ? 1.0 : static_cast<double>(Served) / static_cast<double>(Domains.size());
}

bool server_selection::anyVmReachable(const std::string &Domain) const {
  return std::ranges::any_of(Membership.members(), [&](const model::member_view &Member) {
    return Member.Entry.domain() == Domain && Membership.reachable(Member.Entry.self());
  });
}

void server_selection::check(const std::string &Domain) {
  std::vector<std::string> Addresses;
  for (const schema::backend_entry &Entry : List.backends())
    if (Entry.domain() == Domain && Addresses.size() < ServersToCheck)
      Addresses.push_back(Entry.address());
  if (Addresses.empty())
    return;
  Checking[Domain] = static_cast<int>(Addresses.size());
  for (const std::string &Address : Addresses)
    Ports.checkServer(Address, [this, Domain](bool Reachable) { checked(Domain, Reachable); });
}

void server_selection::checked(const std::string &Domain, bool Reachable) {
  auto Found = Checking.find(Domain);
  if (Found == Checking.end())
    return;
  bool Last = --Found->second == 0;
  if (!Reachable && !Last)
    return;
  // Replies that are still to come change nothing.
  Checking.erase(Found);
  leaveOut(Domain, !Reachable && !anyVmReachable(Domain));
  if (!anyVmReachable(Domain))
    Executor.after(RecheckPeriod, [this, Domain] { vmChanged(Domain); });
}

void server_selection::leaveOut(const std::string &Domain, bool Out) {
  bool Changed = Out ? LeftOut.insert(Domain).second : LeftOut.erase(Domain) > 0;
  if (!Changed)
    return;
  runtime::log(runtime::log_level::Warning, Out ? "domain_cut_off" : "domain_reached", {{"domain", Domain}});
  OnChange();
}

} // namespace yuccaplank::node
