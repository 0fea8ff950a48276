#include "pool_index.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaplank::dispatch {

int pool_index::stepOf(double Slowness) const {
  return static_cast<int>(std::floor(Slowness / SlownessStep));
}

void pool_index::unlink(const std::string &Id, const entry &Entry) {
  size_key Capacity{Entry.Capacity.Cpu, Entry.Capacity.MemoryMb, Entry.Capacity.Accelerators};
  if (--Capacities[Capacity] == 0)
    Capacities.erase(Capacity);
  if (!Entry.Admits)
    return;
  auto Row = Rows.find(stepOf(Entry.Slowness));
  Row->second.erase({Entry.Free.Cpu, Id});
  if (Row->second.empty())
    Rows.erase(Row);
  Slownesses.erase(Slownesses.find(Entry.Slowness));
}

void pool_index::set(const std::string &Id, const entry &Entry) {
  auto [Known, IsNew] = Servers.try_emplace(Id);
  if (!IsNew)
    unlink(Id, Known->second);
  Known->second = Entry;
  ++Capacities[{Entry.Capacity.Cpu, Entry.Capacity.MemoryMb, Entry.Capacity.Accelerators}];
  if (!Entry.Admits)
    return;
  Rows[stepOf(Entry.Slowness)].emplace(Entry.Free.Cpu, Id);
  Slownesses.insert(Entry.Slowness);
}

void pool_index::erase(const std::string &Id) {
  auto Found = Servers.find(Id);
  if (Found == Servers.end())
    return;
  unlink(Id, Found->second);
  Servers.erase(Found);
}

bool pool_index::fitsAnywhere(const schema::task_size &Size) const {
  return std::ranges::any_of(Capacities, [&](const auto &Kind) {
    auto [Cpu, MemoryMb, Accelerators] = Kind.first;
    return resource_amounts{Cpu, MemoryMb, Accelerators}.fits(Size);
  });
}

bool pool_index::anyWithin(double Slowness) const {
  return !Slownesses.empty() && *Slownesses.begin() <= Slowness;
}

pool_index::choice pool_index::bestOfRow(const row &Row, const schema::task_size &Size, double MaxSlowness,
                                         const std::function<bool(const std::string &)> &Skips) const {
  choice Slow;
  for (auto Server = Row.lower_bound({Size.cpu(), {}}); Server != Row.end(); ++Server) {
    const entry &Entry = Servers.at(Server->second);
    if (!Entry.Free.fits(Size) || Skips(Server->second))
      continue;
    if (Entry.Slowness <= MaxSlowness)
      return {&Server->second, true};
    if (!Slow.Id)
      Slow = {&Server->second, false};
  }
  return Slow;
}

pool_index::choice pool_index::best(const schema::task_size &Size, double MaxSlowness,
                                    const std::function<bool(const std::string &)> &Skips) const {
  choice Slow;
  for (const auto &[Step, Row] : Rows) {
    // From here on no server suffices; the first one with room is the best of the others.
    if (Slow.Id && Step * SlownessStep > MaxSlowness)
      break;
    choice Choice = bestOfRow(Row, Size, MaxSlowness, Skips);
    if (Choice.Suffices)
      return Choice;
    if (!Slow.Id)
      Slow = Choice;
  }
  return Slow;
}

} // namespace yuccaplank::dispatch
