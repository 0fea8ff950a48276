#include "yuccaplank/dispatch/fleet_view.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace yuccaplank::dispatch {
namespace {

using runtime::time_point;

// Rendezvous hashing: each VM scores each rack, the highest score wins. A change of one VM moves only its
// racks.
double score(const std::string &Rack, const schema::vm_status &Vm) {
  std::uint64_t Hash =
      XXH3_64bits_withSeed(Rack.data(), Rack.size(), XXH3_64bits(Vm.vm().data(), Vm.vm().size()));
  constexpr double Range = 18446744073709551616.0;
  double Uniform = (static_cast<double>(Hash) + 0.5) / Range;
  return std::max(1.0, static_cast<double>(Vm.strength())) / -std::log(Uniform);
}

bool mayLead(const schema::vm_status &Status) { return Status.registration() > 0 && Status.serving(); }

// What the choice of placer and owners depends on.
auto leadingPart(const schema::vm_status &Status) {
  return std::tuple(Status.registration(), Status.serving(), Status.draining(), Status.pauses(),
                    Status.strength(), Status.domain());
}

class fleet_view_impl final : public fleet_view {
public:
  fleet_view_impl(const runtime::clock &Clock, fleet_view_options Options)
      : Clock(Clock), Options(Options), StartedAt(Clock.now()) {}

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
    if (Found != Others.end() && !Found->second.Alive)
      Others.erase(Found);
  }

  std::vector<view_change> heard(const schema::vm_status &Status) override {
    if (Status.vm() == Self.vm())
      return {};
    known_vm &Vm = Others[Status.vm()];
    Vm.Address = Status.address();
    Vm.LastHeard = Clock.now();
    Vm.Tried = true;
    noteChange(!Vm.Alive || leadingPart(Vm.Status) != leadingPart(Status));
    Vm.Status = Status;
    Term = std::max(Term, Status.term());
    bool WasBroken = std::exchange(Vm.Broken, false);
    if (!std::exchange(Vm.Alive, true))
      return {{view_change::kind::Found, Status.vm()}};
    if (WasBroken)
      return {{view_change::kind::Resumed, Status.vm()}};
    return {};
  }

  void broken(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found == Others.end() || !Found->second.Alive)
      return;
    Found->second.Broken = true;
    Found->second.LastHeard = Clock.now();
  }

  std::vector<view_change> lost(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return {};
    Found->second.Broken = false;
    if (!std::exchange(Found->second.Alive, false))
      return {};
    noteChange(true);
    return {{view_change::kind::Lost, Vm}};
  }

  std::vector<view_change> tick() override {
    std::vector<view_change> Changes;
    for (auto &[Name, Vm] : Others)
      if (Vm.Alive &&
          Clock.now() - Vm.LastHeard >= (Vm.Broken ? Options.ReconnectTime : Options.SilenceLimit)) {
        Vm.Alive = false;
        Vm.Broken = false;
        noteChange(true);
        Changes.push_back({view_change::kind::Lost, Name});
      }
    return Changes;
  }

  [[nodiscard]] const std::map<std::string, known_vm> &others() const override { return Others; }

  [[nodiscard]] bool alive(const std::string &Vm) const override {
    if (Vm == Self.vm())
      return true;
    auto Found = Others.find(Vm);
    return Found != Others.end() && Found->second.Alive;
  }

  void introduceAgain() override {
    StartedAt = Clock.now();
    for (auto &[Name, Vm] : Others)
      Vm.Tried = false;
  }

  void unreachable(const std::string &Address) override {
    for (auto &[Name, Vm] : Others)
      if (Vm.Address == Address && !Vm.Alive)
        Vm.Tried = true;
  }

  [[nodiscard]] bool introduced() const override {
    if (Clock.now() - StartedAt >= Options.IntroductionTime)
      return true;
    return !Others.empty() &&
           std::ranges::all_of(Others, [](const auto &Entry) { return Entry.second.Tried; });
  }

  [[nodiscard]] std::string placer() const override {
    const schema::vm_status *Best = nullptr;
    visitLeaders([&](const schema::vm_status &Status) {
      auto RankOf = [](const schema::vm_status &Vm) {
        return std::tuple(Vm.draining(), Vm.pauses(), Vm.registration());
      };
      if (!Best || RankOf(Status) < RankOf(*Best))
        Best = &Status;
    });
    return Best ? Best->vm() : std::string();
  }

  [[nodiscard]] std::string ownerOf(const std::string &Rack, const std::string &Domain) const override {
    const schema::vm_status *Best = nullptr;
    std::tuple<bool, bool, double> BestRank;
    visitLeaders([&](const schema::vm_status &Status) {
      std::tuple<bool, bool, double> Rank{!Status.draining(), Status.domain() == Domain, score(Rack, Status)};
      if (!Best || Rank > BestRank) {
        Best = &Status;
        BestRank = Rank;
      }
    });
    return Best ? Best->vm() : std::string();
  }

  [[nodiscard]] std::uint64_t version() const override { return Version; }
  [[nodiscard]] std::uint32_t highestTerm() const override { return Term; }

private:
  void noteChange(bool Changed) { Version += Changed ? 1 : 0; }

  template <typename Visitor> void visitLeaders(Visitor Visit) const {
    if (mayLead(Self))
      Visit(Self);
    for (const auto &[Name, Vm] : Others)
      if (Vm.Alive && mayLead(Vm.Status))
        Visit(Vm.Status);
  }

  const runtime::clock &Clock;
  fleet_view_options Options;
  time_point StartedAt;
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
