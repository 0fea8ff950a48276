#include "yuccaplank/dispatch/fleet_view.hpp"
#include "contact_clock.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace yuccaplank::dispatch {
namespace {

using runtime::time_point;

// Rendezvous hashing: each VM has a score for each key, such as a rack, and the highest score wins. When a VM
// is added or lost, only its own keys move.
double score(std::string_view Key, const schema::vm_status &Vm) {
  std::uint64_t Hash =
      XXH3_64bits_withSeed(Key.data(), Key.size(), XXH3_64bits(Vm.vm().data(), Vm.vm().size()));
  constexpr double Range = 18446744073709551616.0;
  double Uniform = (static_cast<double>(Hash) + 0.5) / Range;
  return std::max(1.0, static_cast<double>(Vm.strength())) / -std::log(Uniform);
}

bool isEligible(const schema::vm_status &Status) {
  return Status.registration() > 0 && Status.serving() && Status.role() == schema::VM_DISPATCHES;
}

// The parts of a status that the choice of placer, owners and dispatchers depends on.
auto roleCriteria(const schema::vm_status &Status) {
  return std::tuple(Status.registration(), Status.serving(), Status.draining(), Status.pauses(),
                    Status.strength(), Status.domain(), Status.role());
}

class fleet_view_impl final : public fleet_view {
public:
  fleet_view_impl(const runtime::clock &Clock, fleet_view_options Options)
      : Clock(Clock), Options(Options), LocalClock(Clock, Options.ClockOrigin), StartedAt(Clock.now()) {}

  void setSelf(const schema::vm_status &Status) override {
    bumpVersionIf(roleCriteria(Self) != roleCriteria(Status));
    Self = Status;
    Term = std::max(Term, Status.term());
  }

  void addAddress(const std::string &Vm, const std::string &Address) override {
    if (Vm == Self.vm())
      return;
    auto [Entry, IsNew] = Others.try_emplace(Vm);
    Entry->second.Address = Address;
    // A VM that has not been heard yet is silent only since it became known.
    if (IsNew)
      Entry->second.LastActiveAt = Clock.now();
  }

  void removeVm(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found != Others.end() && !Found->second.InContact)
      Others.erase(Found);
  }

  std::vector<view_change> onStatus(const schema::vm_status &Status) override {
    if (Status.vm() == Self.vm())
      return {};
    known_vm &Vm = Others[Status.vm()];
    Vm.Address = Status.address();
    Vm.LastActiveAt = Clock.now();
    Vm.ClockMs = Status.clock_ms();
    if (Status.term() <= MaxTerm)
      Term = std::max(Term, Status.term());
    processEcho(Vm, Status);
    if (!withinLease(Vm))
      return {};
    Vm.DiscoveryDone = true;
    bumpVersionIf(!Vm.InContact || roleCriteria(Vm.Status) != roleCriteria(Status));
    bool RoleChanged = Vm.InContact && Vm.Status.role() != Status.role();
    Vm.Status = Status;
    bool WasConnectionBroken = std::exchange(Vm.ConnectionBroken, false);
    if (!std::exchange(Vm.InContact, true))
      return {{view_change::kind::Found, Status.vm()}};
    if (WasConnectionBroken || RoleChanged)
      return {{view_change::kind::Resumed, Status.vm()}};
    return {};
  }

  void setClocks(const std::string &Vm, schema::vm_status &Status) const override {
    Status.set_clock_ms(LocalClock.now());
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return;
    const known_vm &Other = Found->second;
    if (Other.InContact && withinLease(Other))
      Status.set_echo_ms(Other.ClockMs);
    else
      Status.set_greeting_echo_ms(Other.ClockMs);
  }

  void onConnectionBroken(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return;
    Found->second.ClockMs = 0;
    if (!Found->second.InContact)
      return;
    Found->second.ConnectionBroken = true;
    Found->second.LastActiveAt = Clock.now();
    updateNextExpiry(Clock.sinceBoot() + Options.ReconnectTimeout);
  }

  std::vector<view_change> endContact(const std::string &Vm) override {
    auto Found = Others.find(Vm);
    if (Found == Others.end())
      return {};
    if (!resetContact(Found->second))
      return {};
    return {{view_change::kind::Lost, Vm}};
  }

  std::vector<view_change> tick() override {
    if (Clock.sinceBoot() < NextExpiry)
      return {};
    NextExpiry = time_point::max();
    std::vector<view_change> Changes;
    for (auto &[Name, Vm] : Others) {
      if (!Vm.InContact)
        continue;
      bool GivenUp = Vm.ConnectionBroken && Clock.now() - Vm.LastActiveAt >= Options.ReconnectTimeout;
      if (GivenUp || !withinLease(Vm)) {
        resetContact(Vm);
        Changes.push_back({view_change::kind::Lost, Name});
        continue;
      }
      updateNextExpiry(Vm.LastAnsweredHeartbeat + Options.ContactLease);
      if (Vm.ConnectionBroken)
        updateNextExpiry(Clock.sinceBoot() + (Vm.LastActiveAt + Options.ReconnectTimeout - Clock.now()));
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
      Vm.DiscoveryDone = false;
  }

  void onAddressUnreachable(const std::string &Address) override {
    for (auto &[Name, Vm] : Others)
      if (Vm.Address == Address && !Vm.InContact)
        Vm.DiscoveryDone = true;
  }

  [[nodiscard]] bool discoveryComplete() const override {
    if (Clock.now() - StartedAt >= Options.DiscoveryTimeout)
      return true;
    return !Others.empty() &&
           std::ranges::all_of(Others, [](const auto &Entry) { return Entry.second.DiscoveryDone; });
  }

  [[nodiscard]] std::string placer() const override {
    return highestRanked([](const known_vm &, const schema::vm_status &Vm) {
      return std::tuple(!Vm.draining(), -std::int64_t{Vm.pauses()}, Vm.strength(),
                        -static_cast<std::int64_t>(Vm.registration()));
    });
  }

  [[nodiscard]] std::string ownerOf(const std::string &Rack, const std::string &Domain) const override {
    return highestRanked([&](const known_vm &, const schema::vm_status &Vm) {
      return std::tuple(!Vm.draining(), Vm.domain() == Domain, score(Rack, Vm));
    });
  }

  [[nodiscard]] std::string dispatcherFor(job_id Job, const std::string &Domain) const override {
    std::uint64_t Digits = Job.digits();
    std::string_view Key(reinterpret_cast<const char *>(&Digits), sizeof(Digits));
    std::string Best = highestRanked([&](const known_vm &OtherVm, const schema::vm_status &Vm) {
      bool IsOther = Vm.vm() != Self.vm();
      return std::tuple(IsOther, !Vm.draining() && !OtherVm.ConnectionBroken, Vm.domain() == Domain,
                        score(Key, Vm));
    });
    return Best == Self.vm() ? std::string() : Best;
  }

  [[nodiscard]] std::uint64_t version() const override { return Version; }
  [[nodiscard]] std::uint32_t highestTerm() const override { return Term; }

private:
  [[nodiscard]] bool withinLease(const known_vm &Vm) const {
    return Clock.sinceBoot() < Vm.LastAnsweredHeartbeat + Options.ContactLease;
  }

  // Lowers the time of the next expiry to Expiry.
  void updateNextExpiry(time_point Expiry) { NextExpiry = std::min(NextExpiry, Expiry); }

  // A VM in contact stays so only by an echo, which shows that the other VM has contact with this one. A
  // greeting echo can only begin contact.
  void processEcho(known_vm &Vm, const schema::vm_status &Status) {
    std::uint32_t Echo = Status.echo_ms() > 0 || Vm.InContact ? Status.echo_ms() : Status.greeting_echo_ms();
    if (Echo == 0)
      return;
    auto SentAt = LocalClock.sentAt(Echo, Options.ContactLease);
    if (!SentAt) {
      ++IgnoredEchoes;
      return;
    }
    Vm.LastAnsweredHeartbeat = std::max(Vm.LastAnsweredHeartbeat, *SentAt);
    updateNextExpiry(Vm.LastAnsweredHeartbeat + Options.ContactLease);
  }

  // Ends contact with the VM and returns whether it was in contact.
  bool resetContact(known_vm &Vm) {
    Vm.ConnectionBroken = false;
    Vm.ClockMs = 0;
    Vm.LastAnsweredHeartbeat = time_point::min();
    bool WasInContact = std::exchange(Vm.InContact, false);
    bumpVersionIf(WasInContact);
    return WasInContact;
  }

  void bumpVersionIf(bool Changed) { Version += Changed ? 1 : 0; }

  // Returns the dispatching VM with the highest rank; empty if there is none.
  template <typename Ranking> [[nodiscard]] std::string highestRanked(Ranking RankOf) const {
    const schema::vm_status *Best = nullptr;
    decltype(RankOf(known_vm(), Self)) BestRank;
    auto Consider = [&](const known_vm &OtherVm, const schema::vm_status &Status) {
      auto Rank = RankOf(OtherVm, Status);
      if (!Best || Rank > BestRank) {
        Best = &Status;
        BestRank = Rank;
      }
    };
    if (isEligible(Self))
      Consider(known_vm(), Self);
    for (const auto &[Name, Vm] : Others)
      if (Vm.InContact && isEligible(Vm.Status))
        Consider(Vm, Vm.Status);
    return Best ? Best->vm() : std::string();
  }

  const runtime::clock &Clock;
  fleet_view_options Options;
  contact_clock LocalClock;
  time_point StartedAt;
  // No contact expires before this time, on the clock that counts suspension.
  time_point NextExpiry = time_point::max();
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
