#include "pool_index.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaplank::dispatch {

int pool_index::toSpeedStep(double Slowness) const {
  return static_cast<int>(std::floor(Slowness / SlownessStep));
}

void pool_index::removeFromIndexes(const std::string &Id, const entry &Entry) {
  capacity_key Capacity{Entry.Capacity.Cpu, Entry.Capacity.MemoryMb, Entry.Capacity.Accelerators};
  capacity_count &Count = CapacityCounts[Capacity];
  Count.Evacuated -= Entry.Evacuated ? 1 : 0;
  if (--Count.Servers == 0)
    CapacityCounts.erase(Capacity);
  if (!Entry.AcceptsTasks)
    return;
  auto SpeedClass = SpeedClasses.find(toSpeedStep(Entry.Slowness));
  SpeedClass->second.erase({Entry.Free.Cpu, Id});
  if (SpeedClass->second.empty())
    SpeedClasses.erase(SpeedClass);
  AcceptingSlownesses.erase(AcceptingSlownesses.find(Entry.Slowness));
}

void pool_index::set(const std::string &Id, const entry &Entry) {
  auto [Server, IsNew] = Servers.try_emplace(Id);
  if (!IsNew)
    removeFromIndexes(Id, Server->second);
  if (IsNew || Server->second.Rack != Entry.Rack) {
    removeFromRack(Id, Server->second.Rack);
    Racks[Entry.Rack].emplace(Id, &Server->second);
  }
  Server->second = Entry;
  capacity_count &Count =
      CapacityCounts[{Entry.Capacity.Cpu, Entry.Capacity.MemoryMb, Entry.Capacity.Accelerators}];
  ++Count.Servers;
  Count.Evacuated += Entry.Evacuated ? 1 : 0;
  if (!Entry.AcceptsTasks)
    return;
  SpeedClasses[toSpeedStep(Entry.Slowness)].emplace(Entry.Free.Cpu, Id);
  AcceptingSlownesses.insert(Entry.Slowness);
}

void pool_index::erase(const std::string &Id) {
  auto Found = Servers.find(Id);
  if (Found == Servers.end())
    return;
  removeFromIndexes(Id, Found->second);
  removeFromRack(Id, Found->second.Rack);
  Servers.erase(Found);
}

void pool_index::removeFromRack(const std::string &Id, const std::string &Rack) {
  auto Found = Racks.find(Rack);
  if (Found == Racks.end())
    return;
  Found->second.erase(Id);
  if (Found->second.empty())
    Racks.erase(Found);
}

pool_index::fit pool_index::fitOf(const schema::task_size &Size) const {
  fit Result = fit::TooLarge;
  for (const auto &[Key, Count] : CapacityCounts) {
    auto [Cpu, MemoryMb, Accelerators] = Key;
    if (!resource_amounts{Cpu, MemoryMb, Accelerators}.fits(Size))
      continue;
    if (Count.Evacuated < Count.Servers)
      return fit::Fits;
    Result = fit::OnlyEvacuated;
  }
  return Result;
}

bool pool_index::anyServerFastEnough(double MaxSlowness) const {
  return !AcceptingSlownesses.empty() && *AcceptingSlownesses.begin() <= MaxSlowness;
}

pool_index::choice
pool_index::chooseInSpeedClass(const speed_class &SpeedClass, const schema::task_size &Size,
                               double MaxSlowness,
                               const std::function<bool(const std::string &)> &IsExcluded) const {
  choice TooSlow;
  for (auto Server = SpeedClass.lower_bound({Size.cpu(), {}}); Server != SpeedClass.end(); ++Server) {
    const entry &Entry = Servers.at(Server->second);
    if (!Entry.Free.fits(Size) || IsExcluded(Server->second))
      continue;
    if (Entry.Slowness <= MaxSlowness)
      return {&Server->second, true};
    if (!TooSlow.Id)
      TooSlow = {&Server->second, false};
  }
  return TooSlow;
}

pool_index::choice
pool_index::chooseServer(const schema::task_size &Size, double MaxSlowness,
                         const std::function<bool(const std::string &)> &IsExcluded) const {
  choice TooSlow;
  for (const auto &[Step, SpeedClass] : SpeedClasses) {
    // All further servers are too slow, and the first one that was found is the fastest of those.
    if (TooSlow.Id && Step * SlownessStep > MaxSlowness)
      break;
    choice Choice = chooseInSpeedClass(SpeedClass, Size, MaxSlowness, IsExcluded);
    if (Choice.FastEnough)
      return Choice;
    if (!TooSlow.Id)
      TooSlow = Choice;
  }
  return TooSlow;
}

pool_index::rack_view pool_index::viewRack(const std::string &Rack, const schema::task_size &Size,
                                           double MaxSlowness,
                                           const std::function<bool(const std::string &)> &IsExcluded) const {
  using rank = std::tuple<bool, int, std::int64_t>;
  rack_view View;
  auto Found = Racks.find(Rack);
  if (Found == Racks.end())
    return View;
  rank Best;
  int Usable = 0;
  for (const auto &[Id, Entry] : Found->second) {
    if (!Entry->AcceptsTasks || !Entry->Capacity.fits(Size) || IsExcluded(Id))
      continue;
    View.MinSlowness = Usable == 0 ? Entry->Slowness : std::min(View.MinSlowness, Entry->Slowness);
    View.MeanSlowness += Entry->Slowness;
    ++Usable;
    rank Rank{Entry->Slowness > MaxSlowness, toSpeedStep(Entry->Slowness), Entry->Free.Cpu};
    if (!Entry->Free.fits(Size) || (View.Free.Id && Best <= Rank))
      continue;
    Best = Rank;
    View.Free = {&Id, Entry->Slowness <= MaxSlowness};
    View.FreeSlowness = Entry->Slowness;
  }
  View.Usable = Usable > 0;
  View.MeanSlowness /= std::max(Usable, 1);
  return View;
}

std::string pool_index::findRackWithRoom(const schema::task_size &Size, std::size_t Tasks) const {
  std::pair<std::size_t, std::int64_t> Best;
  std::string Result;
  for (const auto &[Rack, Members] : Racks) {
    std::int64_t Room = 0;
    for (const auto &[Id, Entry] : Members)
      if (Entry->AcceptsTasks && Entry->Free.fits(Size))
        Room += Size.cpu() > 0 ? Entry->Free.Cpu / Size.cpu() : static_cast<std::int64_t>(Tasks);
    std::pair Rank{std::min(Tasks, static_cast<std::size_t>(Room)), -Room};
    if (Rank.first == 0 || (!Result.empty() && Rank <= Best))
      continue;
    Best = Rank;
    Result = Rack;
  }
  return Result;
}

} // namespace yuccaplank::dispatch
