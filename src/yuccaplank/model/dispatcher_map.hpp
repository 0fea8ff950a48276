// The dispatcher of each failure domain among the VMs that are given.
#pragma once

#include "peer.pb.h"

#include <map>
#include <string>
#include <vector>

namespace yuccaplank::model {

class dispatcher_map {
public:
  /// Group lists the failure domains that share the dispatcher of Domain.
  dispatcher_map(std::string Domain, std::vector<std::string> Group);

  void clear() { ByDomain.clear(); }
  /// Adds a VM that can be reached; it must outlive its stay in the map.
  void add(const schema::vm_entry &Entry);
  /// Gives all domains of the group the first of their dispatchers; call after all VMs have been added.
  void shareInGroup();

  /// Null when no VM of the domain was added.
  [[nodiscard]] const schema::vm_entry *find(const std::string &Domain) const;
  [[nodiscard]] const std::map<std::string, const schema::vm_entry *> &all() const { return ByDomain; }
  [[nodiscard]] bool ownGroup(const std::string &Domain) const;

private:
  std::string OwnDomain;
  std::vector<std::string> Group;
  std::map<std::string, const schema::vm_entry *> ByDomain;
};

} // namespace yuccaplank::model
