#include "yuccaplank/dispatch/fleet_view.hpp"
#include "contact_clock.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace yuccaplank::dispatch {
namespace {

using runtime::time_point;

// Rendezvous hashing: each VM scores each key, such as a rack, and the highest score wins. A change of one VM
// moves only its keys.
double score(std::string_view Key, const schema::vm_status &Vm) {
  std::uint64_t Hash =
      XXH3_64bits_withSeed(Key.data(), Key.size(), XXH3_64bits(Vm.vm().data(), Vm.vm().size()));
  constexpr double Range = 18446744073709551616.0;
  double Uniform = (static_cast<double>(Hash) + 0.5) / Range;
  return std::max(1.0, static_cast<double>(Vm.strength())) / -std::log(Uniform);
}

bool mayLead(const schema::vm_status &Status) {
  return Status.registration() > 0 && Status.serving() && Status.role() == schema::VM_DISPATCHES;
}

// What the choice of placer and owners depends on.
auto leadingPart(const schema::vm_status &Status) {
  return std::tuple(Status.registration(), Status.serving(), Status.draining(), Status.pauses(),
                    Status.strength(), Status.domain(), Status.role());
}

class fleet_view_impl final : public fleet_view {
public:
  fleet_view_impl(const runtime::clock &Clock, fleet_view_options Options)
      : Clock(Clock), Options(Options), OwnClock(Clock, Options.ClockOrigin), StartedAt(Clock.now()) {}

  void setSelf(const schema::vm_status &Status) override {
    noteChange(leadingPart(Self) != leadingPart(Status));
    Self = Status;
    Term = std::max(Term, Status.term());
  }

  void learn(const std::string &Vm, const std::string &Address) override {
    if (Vm != Self.vm())
      Others[Vm].Address = Address;
  }

  void forget(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found != Others.end() && !Found->second.InContact)
      Others.erase(Found);
  }

  std::vector<view_change> heard(const schema::vm_status &Status) override {
    if (Status.vm() == Self.vm())
      return {};
    known_vm &Vm = Others[Status.vm()];
    Vm.Address = Status.address();
    Vm.LastHeard = Clock.now();
    Vm.ClockMs = Status.clock_ms();
    Term = std::max(Term, Status.term());
    noteEcho(Vm, Status);
    if (!withinLease(Vm))
      return {};
    Vm.Discovered = true;
    noteChange(!Vm.InContact || leadingPart(Vm.Status) != leadingPart(Status));
    bool RoleChanged = Vm.InContact && Vm.Status.role() != Status.role();
    Vm.Status = Status;
    bool WasBroken = std::exchange(Vm.Broken, false);
    if (!std::exchange(Vm.InContact, true))
      return {{view_change::kind::Found, Status.vm()}};
    if (WasBroken || RoleChanged)
      return {{view_change::kind::Resumed, Status.vm()}};
    return {};
  }

  void stamp(const std::string &Vm, schema::vm_status &Status) const override {
    Status.set_clock_ms(OwnClock.now());
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return;
    const known_vm &Other = Found->second;
    if (Other.InContact && withinLease(Other))
      Status.set_echo_ms(Other.ClockMs);
    else
      Status.set_greeting_echo_ms(Other.ClockMs);
  }

  void broken(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return;
    Found->second.ClockMs = 0;
    if (!Found->second.InContact)
      return;
    Found->second.Broken = true;
    Found->second.LastHeard = Clock.now();
    noteEnd(Clock.sinceBoot() + Options.ReconnectTime);
  }

  std::vector<view_change> lost(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return {};
    if (!end(Found->second))
      return {};
    return {{view_change::kind::Lost, Vm}};
  }

  std::vector<view_change> tick() override {
    if (Clock.sinceBoot() < NextEnd)
      return {};
    NextEnd = time_point::max();
    std::vector<view_change> Changes;
    for (auto &[Name, Vm] : Others) {
      if (!Vm.InContact)
        continue;
      bool GivenUp = Vm.Broken && Clock.now() - Vm.LastHeard >= Options.ReconnectTime;
      if (GivenUp || !withinLease(Vm)) {
        end(Vm);
        Changes.push_back({view_change::kind::Lost, Name});
        continue;
      }
      noteEnd(Vm.AnsweredAt + Options.Lease);
      if (Vm.Broken)
        noteEnd(Clock.sinceBoot() + (Vm.LastHeard + Options.ReconnectTime - Clock.now()));
    }
    return Changes;
  }

  [[nodiscard]] const std::map<std::string, known_vm> &others() const override { return Others; }

  [[nodiscard]] bool inContact(const std::string &Vm) const override {
    if (Vm == Self.vm())
      return true;
    auto Found = Others.find(Vm);
    return Found != Others.end() && Found->second.InContact;
  }

  [[nodiscard]] std::uint64_t ignoredEchoes() const override { return IgnoredEchoes; }

  void restartDiscovery() override {
    StartedAt = Clock.now();
    for (auto &[Name, Vm] : Others)
      Vm.Discovered = false;
  }

  void unreachable(const std::string &Address) override {
    for (auto &[Name, Vm] : Others)
      if (Vm.Address == Address && !Vm.InContact)
        Vm.Discovered = true;
  }

  [[nodiscard]] bool discoveryComplete() const override {
    if (Clock.now() - StartedAt >= Options.DiscoveryTimeout)
      return true;
    return !Others.empty() &&
           std::ranges::all_of(Others, [](const auto &Entry) { return Entry.second.Discovered; });
  }

  [[nodiscard]] std::string placer() const override {
    return best([](const known_vm &, const schema::vm_status &Vm) {
      return std::tuple(!Vm.draining(), -std::int64_t{Vm.pauses()}, Vm.strength(),
                        -static_cast<std::int64_t>(Vm.registration()));
    });
  }

  [[nodiscard]] std::string ownerOf(const std::string &Rack, const std::string &Domain) const override {
    return best([&](const known_vm &, const schema::vm_status &Vm) {
      return std::tuple(!Vm.draining(), Vm.domain() == Domain, score(Rack, Vm));
    });
  }

  [[nodiscard]] std::string dispatcherFor(std::uint64_t Job, const std::string &Domain) const override {
    std::string_view Key(reinterpret_cast<const char *>(&Job), sizeof(Job));
    std::string Best = best([&](const known_vm &Known, const schema::vm_status &Vm) {
      bool IsOther = Vm.vm() != Self.vm();
      return std::tuple(IsOther, !Vm.draining() && !Known.Broken, Vm.domain() == Domain, score(Key, Vm));
    });
    return Best == Self.vm() ? std::string() : Best;
  }

  [[nodiscard]] std::uint64_t version() const override { return Version; }
  [[nodiscard]] std::uint32_t highestTerm() const override { return Term; }

private:
  [[nodiscard]] bool withinLease(const known_vm &Vm) const {
    return Clock.sinceBoot() < Vm.AnsweredAt + Options.Lease;
  }

  // Contact with some VM may end at this time.
  void noteEnd(time_point End) { NextEnd = std::min(NextEnd, End); }

  // What was in contact stays so only by the echo of a VM that counts on this one.
  void noteEcho(known_vm &Vm, const schema::vm_status &Status) {
    std::uint32_t Echo = Status.echo_ms() > 0 || Vm.InContact ? Status.echo_ms() : Status.greeting_echo_ms();
    if (Echo == 0)
      return;
    auto ShownAt = OwnClock.shownAt(Echo, Options.Lease);
    if (!ShownAt) {
      ++IgnoredEchoes;
      return;
    }
    Vm.AnsweredAt = std::max(Vm.AnsweredAt, *ShownAt);
    noteEnd(Vm.AnsweredAt + Options.Lease);
  }

  // Tells whether the VM was in contact.
  bool end(known_vm &Vm) {
    Vm.Broken = false;
    Vm.ClockMs = 0;
    Vm.AnsweredAt = time_point::min();
    bool WasAlive = std::exchange(Vm.InContact, false);
    noteChange(WasAlive);
    return WasAlive;
  }

  void noteChange(bool Changed) { Version += Changed ? 1 : 0; }

  // The dispatching VM of the highest rank; empty when there is none.
  template <typename Ranking> [[nodiscard]] std::string best(Ranking RankOf) const {
    const schema::vm_status *Best = nullptr;
    decltype(RankOf(known_vm(), Self)) BestRank;
    auto Consider = [&](const known_vm &Known, const schema::vm_status &Status) {
      auto Rank = RankOf(Known, Status);
      if (!Best || Rank > BestRank) {
        Best = &Status;
        BestRank = Rank;
      }
    };
    if (mayLead(Self))
      Consider(known_vm(), Self);
    for (const auto &[Name, Vm] : Others)
      if (Vm.InContact && mayLead(Vm.Status))
        Consider(Vm, Vm.Status);
    return Best ? Best->vm() : std::string();
  }

  const runtime::clock &Clock;
  fleet_view_options Options;
  contact_clock OwnClock;
  time_point StartedAt;
  // No contact ends before, by the clock that counts suspension.
  time_point NextEnd = time_point::max();
  std::uint64_t IgnoredEchoes = 0;
  schema::vm_status Self;
  std::uint32_t Term = 0;
  std::uint64_t Version = 1;
  std::map<std::string, known_vm> Others;
};

} // namespace

std::unique_ptr<fleet_view> makeFleetView(const runtime::clock &Clock, fleet_view_options Options) {
  return std::make_unique<fleet_view_impl>(Clock, Options);
}

} // namespace yuccaplank::dispatch
