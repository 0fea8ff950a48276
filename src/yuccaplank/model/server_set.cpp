#include "server_set.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaplank::model {
namespace {

/// Width of a speed group as a logarithm, about 6 %: 24 groups for a 4-fold range.
constexpr double BucketWidth = 0.06;
/// A server changes its group only when it is well inside the new one.
constexpr double BucketHysteresis = 0.7;
/// Assumed wait for an attempt that should have ended already.
constexpr double OverdueWaitMs = 10;
/// A list that names a server live within this time of its announcement to leave is taken to lag behind.
constexpr double ListLagMs = 10'000;

template <typename T> bool has(const T &Server, const fit_class &Need) {
  return Server.Cores >= Need.Cores && Server.MemoryMb >= Need.MemoryMb &&
         Server.Accelerators >= Need.Accelerators;
}

} // namespace

double server::speed() const { return std::exp(Speed.Log); }

std::uint32_t server::freeSlots() const {
  auto Usable = std::min(Slots, Limit);
  auto Busy = static_cast<std::uint32_t>(Running.size());
  if (!usable() || Usable <= Busy)
    return 0;
  if (Health.Suspect)
    return Health.TrialRunning ? 0 : 1;
  return Usable - Busy;
}

std::string_view server::state() const {
  if (Leaving)
    return "leaving";
  if (Health.Quarantined)
    return "quarantined";
  return Stalled ? "stalled" : "live";
}

void server_set::configure(const std::vector<schema::backend_entry> &Entries, std::uint32_t MaxConnections,
                           double NowMs) {
  for (auto &Server : Servers)
    Server.Listed = false;
  for (const auto &Entry : Entries) {
    auto Id = find(Entry.id());
    if (Id == None) {
      if (Unused.empty()) {
        Unused.push_back(static_cast<server_id>(Servers.size()));
        Servers.emplace_back();
      }
      Id = Unused.back();
      Unused.pop_back();
      Servers[Id] = {};
      Servers[Id].Id = Entry.id();
      Ids.emplace(Entry.id(), Id);
    }
    auto &Server = Servers[Id];
    auto Pool = pool(Entry.pool());
    auto Slots = std::min(Entry.slots(), MaxConnections);
    if (Server.Pool != Pool || Server.Cores != Entry.cores() || Server.MemoryMb != Entry.memory_mb() ||
        Server.Accelerators != Entry.accelerators()) {
      place(Id, None);
      count(Server);
    }
    // A server that restarts elsewhere under its old id starts with a clean history.
    if (!Server.Address.empty() && Server.Address != Entry.address()) {
      Server.Health = {};
      Server.Speed = {};
    }
    Server.Address = Entry.address();
    Server.Pool = Pool;
    Server.Cores = Entry.cores();
    Server.MemoryMb = Entry.memory_mb();
    Server.Accelerators = Entry.accelerators();
    Sizes[Pool].Cores.insert(Entry.cores());
    Sizes[Pool].MemoryMb.insert(Entry.memory_mb());
    Sizes[Pool].Accelerators.insert(Entry.accelerators());
    if (Slots != Server.Slots)
      Server.Limit = Slots;
    Server.Slots = Slots;
    Server.Listed = true;
    bool Leaving = Entry.state() == schema::BACKEND_LEAVING;
    if (Leaving || NowMs - Server.AnnouncedMs > ListLagMs)
      Server.AnnouncedMs = 0;
    Server.Leaving = Leaving || Server.AnnouncedMs > 0;
  }
  for (auto &Pool : Pools)
    Pool.Listed = 0;
  ListedCount = 0;
  for (server_id Id = 0; Id < Servers.size(); ++Id) {
    if (Servers[Id].Listed) {
      ++Pools[Servers[Id].Pool].Listed;
      ++ListedCount;
    }
    refresh(Id);
  }
  ++ListVersion;
  forgetUnused();
}

void server_set::markLeaving(const std::string &Id, double NowMs) {
  auto Server = find(Id);
  if (Server == None)
    return;
  Servers[Server].Leaving = true;
  Servers[Server].AnnouncedMs = std::max(NowMs, 1.0);
  refresh(Server);
}

void server_set::forgetUnused() {
  for (server_id Id = 0; Id < Servers.size(); ++Id) {
    auto &Server = Servers[Id];
    if (Server.Listed || !Server.Running.empty() || Server.Id.empty())
      continue;
    Ids.erase(Server.Id);
    Server = {};
    Unused.push_back(Id);
  }
}

server_id server_set::find(const std::string &Id) const {
  auto Found = Ids.find(Id);
  return Found == Ids.end() ? None : Found->second;
}

pool_id server_set::pool(const std::string &Name) {
  auto [Found, New] = PoolNames.try_emplace(Name, static_cast<pool_id>(Pools.size()));
  if (New) {
    Pools.emplace_back();
    Sizes.emplace_back();
  }
  return Found->second;
}

fit_id server_set::fit(pool_id Pool, const schema::task &Task) {
  auto &Known = Sizes[Pool];
  auto Cores = Known.Cores.lower_bound(Task.cores());
  auto MemoryMb = Known.MemoryMb.lower_bound(Task.memory_mb());
  auto Accelerators = Known.Accelerators.lower_bound(Task.accelerators());
  if (Cores == Known.Cores.end() || MemoryMb == Known.MemoryMb.end() ||
      Accelerators == Known.Accelerators.end())
    return None;
  auto [Found, New] =
      FitKeys.try_emplace({Pool, *Cores, *MemoryMb, *Accelerators}, static_cast<fit_id>(Fits.size()));
  if (New) {
    auto &Class = Fits.emplace_back();
    Class.Pool = Pool;
    Class.Cores = *Cores;
    Class.MemoryMb = *MemoryMb;
    Class.Accelerators = *Accelerators;
  }
  return Found->second;
}

const fit_class &server_set::fitClass(fit_id Fit) {
  auto &Class = Fits[Fit];
  if (Class.ListVersion != ListVersion) {
    Class.ListVersion = ListVersion;
    Class.Runnable = std::ranges::any_of(Servers, [&](const server &Server) {
      return Server.Listed && Server.Pool == Class.Pool && has(Server, Class);
    });
  }
  if (Class.Version == Version)
    return Class;
  Class.Version = Version;
  Class.Groups.clear();
  for (group_id Id = 0; Id < Groups.size(); ++Id) {
    auto [Pool, Cores, MemoryMb, Accelerators, Bucket] = GroupOrder[Id];
    if (Groups[Id].Members > 0 && Pool == Class.Pool && Cores >= Class.Cores && MemoryMb >= Class.MemoryMb &&
        Accelerators >= Class.Accelerators)
      Class.Groups.push_back(Id);
  }
  std::ranges::sort(Class.Groups, {}, [&](group_id Id) { return std::get<4>(GroupOrder[Id]); });
  return Class;
}

bool server_set::fits(fit_id Fit, server_id Server) const {
  return Servers[Server].Pool == Fits[Fit].Pool && has(Servers[Server], Fits[Fit]);
}

double server_set::waitMs(group_id Group, double NowMs) const {
  const auto &State = Groups[Group];
  if (!State.Free.empty())
    return 0;
  std::size_t Behind = State.ClaimRound == Round ? State.Claims : 0;
  if (Behind >= State.EndsMs.size())
    return std::numeric_limits<double>::infinity();
  return std::max(State.EndsMs[Behind] - NowMs, OverdueWaitMs);
}

void server_set::claim(group_id Group) {
  auto &State = Groups[Group];
  if (State.ClaimRound != Round)
    State.Claims = 0;
  State.ClaimRound = Round;
  ++State.Claims;
}

void server_set::start(server_id Id, const attempt &Attempt) {
  auto &Server = Servers[Id];
  Server.Running.push_back(Attempt);
  if (Server.Health.Suspect)
    Server.Health.TrialRunning = Server.Running.back().Trial = true;
  if (Server.Group != None) {
    auto &Ends = Groups[Server.Group].EndsMs;
    Ends.insert(std::ranges::upper_bound(Ends, Attempt.ExpectedEndMs), Attempt.ExpectedEndMs);
  }
  refresh(Id);
}

bool server_set::end(server_id Id, const task_ref &Task, attempt &Ended) {
  auto &Server = Servers[Id];
  auto Found = std::ranges::find(Server.Running, Task, &attempt::Task);
  if (Found == Server.Running.end())
    return false;
  Ended = *Found;
  if (Ended.Trial)
    Server.Health.TrialRunning = false;
  *Found = Server.Running.back();
  Server.Running.pop_back();
  if (Server.Group != None) {
    auto &Ends = Groups[Server.Group].EndsMs;
    Ends.erase(std::ranges::lower_bound(Ends, Ended.ExpectedEndMs));
  }
  if (!Server.Listed && Server.Running.empty()) {
    place(Id, None);
    count(Server);
    Ids.erase(Server.Id);
    Server = {};
    Unused.push_back(Id);
    return true;
  }
  refresh(Id);
  return true;
}

void server_set::refresh(server_id Id) {
  auto &Server = Servers[Id];
  double Position = Server.Speed.Log / BucketWidth;
  if (std::abs(Position - Server.Bucket) > BucketHysteresis) {
    place(Id, None);
    Server.Bucket = static_cast<int>(std::lround(Position));
  }
  if (!Server.usable())
    place(Id, None);
  else if (Server.Group == None)
    place(Id, groupFor(Server));
  count(Server);
  setFree(Id, Server.Group != None && Server.CountedFree > 0);
}

group_id server_set::groupFor(const server &Server) {
  group_key Key{Server.Pool, Server.Cores, Server.MemoryMb, Server.Accelerators, Server.Bucket};
  auto [Found, New] = GroupKeys.try_emplace(Key, static_cast<group_id>(Groups.size()));
  if (New) {
    Groups.emplace_back();
    GroupOrder.push_back(Key);
  }
  return Found->second;
}

void server_set::place(server_id Id, group_id Group) {
  auto &Server = Servers[Id];
  if (Server.Group == Group)
    return;
  if (Server.Group != None) {
    setFree(Id, false);
    auto &Old = Groups[Server.Group];
    for (const auto &Attempt : Server.Running)
      if (auto Found = std::ranges::lower_bound(Old.EndsMs, Attempt.ExpectedEndMs); Found != Old.EndsMs.end())
        Old.EndsMs.erase(Found);
    Old.SpeedSum -= Server.CountedSpeed;
    if (--Old.Members == 0) {
      Old.SpeedSum = 0;
      ++Version;
    }
  }
  Server.Group = Group;
  if (Group == None)
    return;
  auto &New = Groups[Group];
  for (const auto &Attempt : Server.Running)
    New.EndsMs.insert(std::ranges::upper_bound(New.EndsMs, Attempt.ExpectedEndMs), Attempt.ExpectedEndMs);
  // count() has not seen the current speed yet; it corrects the sum by the difference.
  New.SpeedSum += Server.CountedSpeed;
  if (New.Members++ == 0)
    ++Version;
}

void server_set::setFree(server_id Id, bool Free) {
  auto &Server = Servers[Id];
  if (Free == (Server.FreePosition != None))
    return;
  auto &List = Groups[Server.Group].Free;
  if (Free) {
    Server.FreePosition = static_cast<std::uint32_t>(List.size());
    List.push_back(Id);
    return;
  }
  Servers[List.back()].FreePosition = Server.FreePosition;
  List[Server.FreePosition] = List.back();
  List.pop_back();
  Server.FreePosition = None;
}

void server_set::count(server &Server) {
  auto &Pool = Pools[Server.Pool];
  double Speed = Server.speed();
  if (Server.Group != None)
    Groups[Server.Group].SpeedSum += Speed - Server.CountedSpeed;
  auto Slots = Server.Group != None ? Server.Slots : 0;
  auto Free = Server.Group != None ? Server.freeSlots() : 0;
  Pool.Slots += Slots - Server.CountedSlots;
  Pool.FreeSlots += Free - Server.CountedFree;
  Pool.Capacity += Slots * Speed - Server.CountedSlots * Server.CountedSpeed;
  Pool.FreeCapacity += Free * Speed - Server.CountedFree * Server.CountedSpeed;
  // Sums of differences leave rounding errors, which must not pass for capacity.
  if (Pool.Slots == 0)
    Pool.Capacity = 0;
  if (Pool.FreeSlots == 0)
    Pool.FreeCapacity = 0;
  Server.CountedSlots = Slots;
  Server.CountedFree = Free;
  Server.CountedSpeed = Speed;
}

} // namespace yuccaplank::model
