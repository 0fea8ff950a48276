// Backend servers of one pool by speed and free room, so that the placer does not look at each for every
// task.
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
  /// Servers whose slowness (natural logarithm) differs by less than this count as equally fast.
  explicit pool_index(double SlownessStep) : SlownessStep(SlownessStep) {}

  struct entry {
    resource_amounts Free;
    resource_amounts Capacity;
    double Slowness = 0;
    /// Whether the server takes tasks now.
    bool Admits = false;
  };
  void set(const std::string &Id, const entry &Entry);
  void erase(const std::string &Id);
  [[nodiscard]] bool empty() const { return Servers.empty(); }

  /// Whether any server is large enough, admitting or not.
  [[nodiscard]] bool fitsAnywhere(const schema::task_size &Size) const;
  /// Whether an admitting server is at most this slow, with room or without.
  [[nodiscard]] bool anyWithin(double Slowness) const;

  struct choice {
    /// Null when no server has room; valid until the server is set or erased.
    const std::string *Id = nullptr;
    bool Suffices = false;
  };
  /// The fastest server with room; among equally fast ones the one with the least free cores. One that is at
  /// most MaxSlowness slow goes before all others.
  [[nodiscard]] choice best(const schema::task_size &Size, double MaxSlowness,
                            const std::function<bool(const std::string &Id)> &Skips) const;

private:
  using size_key = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
  // Free cores, then the id.
  using row = std::set<std::pair<std::int64_t, std::string>>;

  [[nodiscard]] int stepOf(double Slowness) const;
  void unlink(const std::string &Id, const entry &Entry);
  [[nodiscard]] choice bestOfRow(const row &Row, const schema::task_size &Size, double MaxSlowness,
                                 const std::function<bool(const std::string &Id)> &Skips) const;

  double SlownessStep;
  std::unordered_map<std::string, entry> Servers;
  std::map<int, row> Rows;
  std::multiset<double> Slownesses;
  // Servers by capacity; there are few kinds of them.
  std::map<size_key, std::size_t> Capacities;
};

} // namespace yuccaplank::dispatch
