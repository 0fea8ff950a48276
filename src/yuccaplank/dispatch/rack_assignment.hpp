// Whether this VM should own the servers of a rack, according to its view of the other VMs.
#pragma once

#include "yuccaplank/dispatch/fleet_view.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace yuccaplank::dispatch {

class rack_assignment {
public:
  /// Vm is the name of this VM.
  rack_assignment(const fleet_view &View, std::string Vm) : View(View), Vm(std::move(Vm)) {}

  /// The result is cached: it depends on all VMs and is requested very often for each server.
  [[nodiscard]] bool isOwn(const std::string &Rack, const std::string &Domain) {
    if (std::exchange(ViewVersion, View.version()) != View.version())
      OwnRacks.clear();
    auto [Entry, IsNew] = OwnRacks.try_emplace({Rack, Domain}, false);
    if (IsNew)
      Entry->second = View.ownerOf(Rack, Domain) == Vm;
    return Entry->second;
  }

private:
  const fleet_view &View;
  std::string Vm;
  // Valid for this version of the view, by rack and failure domain.
  std::map<std::pair<std::string, std::string>, bool> OwnRacks;
  std::uint64_t ViewVersion = 0;
};

} // namespace yuccaplank::dispatch
