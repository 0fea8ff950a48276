// Backend servers that a dispatcher uses: those of its failure domains, without domains that it is cut off
// from.
#pragma once

#include "yuccaplank/model/membership.hpp"
#include "yuccaplank/node/entry_node.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::node {

/// When none of a domain's entry VMs can be reached, either they have failed or the domain is cut off.
/// Connecting to a few of its servers tells which.
class server_selection {
public:
  server_selection(runtime::executor &Executor, ports &Ports, const model::membership &Membership,
                   std::string Domain, const std::vector<std::string> &Group, std::function<void()> OnChange);

  void setList(const schema::vm_list &List);
  /// A VM of the domain has become reachable or unreachable.
  void vmChanged(const std::string &Domain);

  [[nodiscard]] std::vector<schema::backend_entry> selected() const;
  /// Part of all failure domains that this dispatcher serves; quotas are split by it.
  [[nodiscard]] double share() const;

private:
  [[nodiscard]] bool anyVmReachable(const std::string &Domain) const;
  void check(const std::string &Domain);
  void checked(const std::string &Domain, bool Reachable);
  void leaveOut(const std::string &Domain, bool Out);

  runtime::executor &Executor;
  ports &Ports;
  const model::membership &Membership;
  std::string OwnDomain;
  std::set<std::string> Group;
  std::function<void()> OnChange;
  schema::vm_list List;
  std::set<std::string> LeftOut;
  // Domains whose servers are being checked, with the replies that are still to come.
  std::map<std::string, int> Checking;
};

} // namespace yuccaplank::node
