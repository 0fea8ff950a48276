// Index of the backend servers of one pool by speed and free cores, so that the placer does not examine every
// server for every task.
#pragma once

#include "resource_amounts.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace yuccaplank::dispatch {

class pool_index {
public:
  /// Servers whose slowness (natural logarithm) lies in the same step of this width count as equally fast.
  explicit pool_index(double SlownessStep) : SlownessStep(SlownessStep) {}

  struct entry {
    resource_amounts Free;
    resource_amounts Capacity;
    double Slowness = 0;
    /// Whether the server may get another task now; its free capacity is not considered.
    bool AcceptsTasks = false;
    /// Whether the server's failure domain is evacuated.
    bool Evacuated = false;
    std::string Rack = {};
  };
  enum class fit : std::uint8_t {
    /// A server is large enough, even if it accepts no tasks now.
    Fits,
    /// All servers that are large enough are evacuated.
    OnlyEvacuated,
    TooLarge,
  };
  void set(const std::string &Id, const entry &Entry);
  void erase(const std::string &Id);
  [[nodiscard]] bool empty() const { return Servers.empty(); }

  /// Compares a task with the full capacities of the servers.
  [[nodiscard]] fit fitOf(const schema::task_size &Size) const;
  /// Whether any server that accepts tasks is at most this slow, also one without free capacity.
  [[nodiscard]] bool anyServerFastEnough(double MaxSlowness) const;

  struct choice {
    /// Null when no server has enough free capacity. Valid until the server is set or erased.
    const std::string *Id = nullptr;
    /// Whether the server is at most MaxSlowness slow.
    bool FastEnough = false;
  };
  /// Returns the fastest server with enough free capacity; among equally fast ones, the one with the fewest
  /// free cores. Servers that are at most MaxSlowness slow come before all others.
  [[nodiscard]] choice chooseServer(const schema::task_size &Size, double MaxSlowness,
                                    const std::function<bool(const std::string &Id)> &IsExcluded) const;

  /// The servers of one rack that accept tasks and whose full capacity is large enough.
  struct rack_view {
    bool Usable = false;
    /// The best server with enough free capacity, as by chooseServer().
    choice Free;
    /// Slowness of the free server; of the fastest one and on average over all of them.
    double FreeSlowness = 0;
    double MinSlowness = 0;
    double MeanSlowness = 0;
  };
  [[nodiscard]] rack_view viewRack(const std::string &Rack, const schema::task_size &Size, double MaxSlowness,
                                   const std::function<bool(const std::string &Id)> &IsExcluded) const;
  /// Returns the rack whose servers that accept tasks have room for most tasks of the size, counting up to
  /// Tasks, and among such racks the one with the least room; empty if no rack has room for one.
  [[nodiscard]] std::string findRackWithRoom(const schema::task_size &Size, std::size_t Tasks) const;
  [[nodiscard]] double slownessOf(const std::string &Id) const { return Servers.at(Id).Slowness; }

private:
  using capacity_key = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
  // Servers of one step of slowness as pairs of free cores and id.
  using speed_class = std::set<std::pair<std::int64_t, std::string>>;

  [[nodiscard]] int toSpeedStep(double Slowness) const;
  void removeFromRack(const std::string &Id, const std::string &Rack);
  void removeFromIndexes(const std::string &Id, const entry &Entry);
  [[nodiscard]] choice chooseInSpeedClass(const speed_class &SpeedClass, const schema::task_size &Size,
                                          double MaxSlowness,
                                          const std::function<bool(const std::string &Id)> &IsExcluded) const;

  double SlownessStep;
  std::unordered_map<std::string, entry> Servers;
  // Servers by rack and id. Only a change of a server's rack changes it, so that tasks without a rack do not
  // pay for it.
  std::map<std::string, std::map<std::string, const entry *>> Racks;
  // Servers that accept tasks, by step of slowness.
  std::map<int, speed_class> SpeedClasses;
  // Slowness of each server that accepts tasks.
  std::multiset<double> AcceptingSlownesses;
  struct capacity_count {
    std::size_t Servers = 0;
    std::size_t Evacuated = 0;
  };
  // Number of servers by capacity. There are few different capacities.
  std::map<capacity_key, capacity_count> CapacityCounts;
};

} // namespace yuccaplank::dispatch
