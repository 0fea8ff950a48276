#include "placement.hpp"

#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace yuccaplank::model {
namespace {

/// A wait for a faster server has to gain this share of the run time; smaller gains are within the error of
/// the estimates.
constexpr double MinWaitGain = 0.05;

class table_strategy final : public placement_strategy {
public:
  using choice = placement_choice (table_strategy::*)(const placement_request &);
  table_strategy(choice Choose, server_set &Servers, std::uint64_t Seed)
      : Choose(Choose), Servers(Servers), Random(Seed) {}

  placement_choice choose(const placement_request &Request) override { return (this->*Choose)(Request); }

  placement_choice criticalTime(const placement_request &Request);
  placement_choice fastestFree(const placement_request &Request);
  placement_choice randomFree(const placement_request &Request);
  placement_choice roundRobin(const placement_request &Request);
  placement_choice leastOutstanding(const placement_request &Request);

private:
  server_id pick(group_id Group, std::span<const server_id> Refused);
  bool onlyRefused(const placement_request &Request, const fit_class &Class);
  placement_choice at(server_id Server, const placement_request &Request) {
    if (Server == None)
      return {None, Request.NowMs, Request.Refused.empty()};
    return {Server, Request.NowMs + Request.SizeMs / Servers[Server].speed()};
  }
  template <typename function> void forFree(const placement_request &Request, function Visit) {
    const auto &Class = Servers.fitClass(Request.Fit);
    bool Any = onlyRefused(Request, Class);
    for (auto Group : Class.Groups)
      for (auto Server : Servers.group(Group).Free)
        if (Any || std::ranges::find(Request.Refused, Server) == Request.Refused.end())
          Visit(Server);
  }

  choice Choose;
  server_set &Servers;
  pcg32 Random;
  server_id Turn = None;
};

/// Whether no server of the class is left that has not refused the task.
bool table_strategy::onlyRefused(const placement_request &Request, const fit_class &Class) {
  if (Request.Refused.empty())
    return true;
  std::size_t Members = 0;
  for (auto Group : Class.Groups)
    Members += Servers.group(Group).Members;
  std::size_t Known = 0;
  for (std::size_t Index = 0; Index < Request.Refused.size(); ++Index) {
    auto Server = Request.Refused[Index];
    auto Earlier = Request.Refused.first(Index);
    if (std::ranges::find(Earlier, Server) == Earlier.end() &&
        std::ranges::find(Class.Groups, Servers[Server].Group) != Class.Groups.end())
      ++Known;
  }
  return Known >= Members;
}

/// The less occupied of two random free servers, which spreads work without an order among servers.
server_id table_strategy::pick(group_id Group, std::span<const server_id> Refused) {
  const auto &Free = Servers.group(Group).Free;
  auto Count = static_cast<std::uint32_t>(Free.size());
  if (Refused.empty()) {
    auto First = Free[Random(Count)];
    auto Second = Free[Random(Count)];
    return Servers[First].freeSlots() >= Servers[Second].freeSlots() ? First : Second;
  }
  auto Start = Random(Count);
  for (std::uint32_t Step = 0; Step < Count; ++Step)
    if (auto Server = Free[(Start + Step) % Count]; std::ranges::find(Refused, Server) == Refused.end())
      return Server;
  return None;
}

/// The slowest free server that keeps the target even when the task is long; otherwise the fastest, or a wait
/// for a faster one that ends earlier.
placement_choice table_strategy::criticalTime(const placement_request &Request) {
  const auto &Class = Servers.fitClass(Request.Fit);
  auto Refused = Request.Refused;
  if (!Refused.empty() && onlyRefused(Request, Class))
    Refused = {};
  double FreeEnd = std::numeric_limits<double>::infinity();
  double WaitEnd = FreeEnd;
  bool Keeps = false;
  group_id FreeGroup = None;
  group_id WaitGroup = None;
  for (auto Group : Class.Groups) {
    const auto &State = Servers.group(Group);
    double Run = Request.SizeMs / State.speed();
    if (!State.Free.empty()) {
      double End = Request.NowMs + Run;
      if (End >= FreeEnd || (!Refused.empty() && pick(Group, Refused) == None))
        continue;
      FreeEnd = End;
      FreeGroup = Group;
      Keeps = Request.NowMs + Request.CautiousMs / State.speed() <= Request.TargetMs;
      if (Keeps)
        break;
      continue;
    }
    double End = Request.NowMs + Servers.waitMs(Group, Request.NowMs) + Run * (1 + MinWaitGain);
    if (End < WaitEnd) {
      WaitEnd = End;
      WaitGroup = Group;
    }
  }
  if (FreeGroup != None && (Keeps || FreeEnd <= std::max(Request.TargetMs, WaitEnd)))
    return {pick(FreeGroup, Refused), FreeEnd};
  if (WaitGroup != None)
    Servers.claim(WaitGroup);
  return {None, WaitEnd, FreeGroup == None && Refused.empty()};
}

placement_choice table_strategy::fastestFree(const placement_request &Request) {
  server_id Best = None;
  forFree(Request, [&](server_id Server) {
    if (Best == None || Servers[Server].Speed.Log > Servers[Best].Speed.Log)
      Best = Server;
  });
  return at(Best, Request);
}

placement_choice table_strategy::randomFree(const placement_request &Request) {
  server_id Chosen = None;
  std::uint32_t Seen = 0;
  forFree(Request, [&](server_id Server) {
    if (Random(++Seen) == 0)
      Chosen = Server;
  });
  return at(Chosen, Request);
}

/// The next free server in the order of their ids.
placement_choice table_strategy::roundRobin(const placement_request &Request) {
  server_id Chosen = None;
  forFree(Request, [&](server_id Server) {
    // Unsigned wrap-around puts the servers up to the last turn behind all others.
    if (Chosen == None || Server - Turn - 1 < Chosen - Turn - 1)
      Chosen = Server;
  });
  if (Chosen != None)
    Turn = Chosen;
  return at(Chosen, Request);
}

placement_choice table_strategy::leastOutstanding(const placement_request &Request) {
  server_id Best = None;
  std::uint32_t Seen = 0;
  forFree(Request, [&](server_id Server) {
    auto Running = Servers[Server].Running.size();
    auto Least = Best == None ? Running + 1 : Servers[Best].Running.size();
    Seen = Running < Least ? 1 : Seen + 1;
    if (Running < Least || (Running == Least && Random(Seen) == 0))
      Best = Server;
  });
  return at(Best, Request);
}

struct strategy_entry {
  strategy_traits Traits;
  table_strategy::choice Choose;
};

constexpr auto Strategies = std::to_array<strategy_entry>({
    {{"critical_time", true, true}, &table_strategy::criticalTime},
    {{"fifo", false, true}, &table_strategy::fastestFree},
    {{"random", false, false}, &table_strategy::randomFree},
    {{"round_robin", false, false}, &table_strategy::roundRobin},
    {{"least_outstanding", false, false}, &table_strategy::leastOutstanding},
});

const strategy_entry &find(std::string_view Name) {
  const auto *Found =
      std::ranges::find(Strategies, Name, [](const strategy_entry &Entry) { return Entry.Traits.Name; });
  return Found == Strategies.end() ? Strategies.front() : *Found;
}

} // namespace

const strategy_traits &strategyTraits(std::string_view Name) { return find(Name).Traits; }

std::unique_ptr<placement_strategy> makePlacement(std::string_view Name, server_set &Servers,
                                                  std::uint64_t Seed) {
  return std::make_unique<table_strategy>(find(Name).Choose, Servers, Seed);
}

} // namespace yuccaplank::model
