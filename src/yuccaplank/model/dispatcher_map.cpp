#include "dispatcher_map.hpp"
#include "yuccaplank/model/job_id.hpp"

#include <algorithm>

namespace yuccaplank::model {
namespace {

// Draining VMs come last: they keep the role only when nobody else is left.
bool precedes(const schema::vm_entry &Left, const schema::vm_entry *Right) {
  if (Right == nullptr)
    return true;
  bool LeftDrains = Left.state() == schema::VM_DRAINING;
  bool RightDrains = Right->state() == schema::VM_DRAINING;
  if (LeftDrains != RightDrains)
    return RightDrains;
  return olderIncarnation(Left.self(), Right->self());
}

} // namespace

dispatcher_map::dispatcher_map(std::string Domain, std::vector<std::string> Group)
    : OwnDomain(std::move(Domain)), Group(std::move(Group)) {}

void dispatcher_map::add(const schema::vm_entry &Entry) {
  const schema::vm_entry *&Best = ByDomain[Entry.domain()];
  if (precedes(Entry, Best))
    Best = &Entry;
}

void dispatcher_map::shareInGroup() {
  const schema::vm_entry *Shared = nullptr;
  for (const std::string &Domain : Group)
    if (const schema::vm_entry *Found = find(Domain); Found != nullptr && precedes(*Found, Shared))
      Shared = Found;
  if (Shared == nullptr)
    return;
  for (const std::string &Domain : Group)
    ByDomain[Domain] = Shared;
}

const schema::vm_entry *dispatcher_map::find(const std::string &Domain) const {
  auto Found = ByDomain.find(Domain);
  return Found == ByDomain.end() ? nullptr : Found->second;
}

bool dispatcher_map::ownGroup(const std::string &Domain) const {
  return Domain == OwnDomain || std::ranges::find(Group, Domain) != Group.end();
}

} // namespace yuccaplank::model
