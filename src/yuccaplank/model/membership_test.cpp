#include "yuccaplank/bench/membership_fleet.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <optional>
#include <string>

using namespace std::chrono_literals;
using namespace yuccaplank;
using bench::fleet_options;
using bench::membership_fleet;
using model::incarnationName;
using yuccaplank::testing::section;
using yuccaplank::testing::story;
using kind = model::membership_event::kind;

namespace {

// Promised in docs/design.md, section 1.5.
constexpr auto DetectionLimit = 2s;

fleet_options makeOptions(int Vms, int Domains, bool Contiguous = false) {
  fleet_options Options;
  Options.Vms = Vms;
  Options.Domains = Domains;
  Options.ContiguousDomains = Contiguous;
  return Options;
}

std::string label(const std::string &Id, const std::string &OtherId) {
  return fmt::format("{} of {}", Id, OtherId);
}

int countEvents(membership_fleet::vm &Vm, kind Kind) {
  return static_cast<int>(std::ranges::count_if(
      Vm.Events, [&](const bench::fleet_event &Event) { return Event.Event.Kind == Kind; }));
}

int countEvents(membership_fleet &Fleet, kind Kind) {
  int Count = 0;
  for (auto &[Id, Vm] : Fleet.all())
    Count += countEvents(Vm, Kind);
  return Count;
}

void clearEvents(membership_fleet &Fleet) {
  for (auto &[Id, Vm] : Fleet.all())
    Vm.Events.clear();
}

// Started and with every VM aware of all others.
void startFleet(membership_fleet &Fleet) {
  Fleet.startAll();
  Fleet.run(5s);
  for (auto &[Id, Vm] : Fleet.all())
    for (auto &[OtherId, Other] : Fleet.all())
      CPPUNIT_ASSERT_MESSAGE(label(Id, OtherId), Vm.Model->reachable(Other.Entry.self()));
  CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Unreachable));
  clearEvents(Fleet);
}

std::set<std::string> idsOfDomain(membership_fleet &Fleet, const std::string &Domain) {
  std::set<std::string> Ids;
  for (auto &[Id, Vm] : Fleet.all())
    if (Vm.Entry.domain() == Domain)
      Ids.insert(Id);
  return Ids;
}

// Every VM that is alive has found exactly these VMs unreachable, in time.
void assertDetected(membership_fleet &Fleet, const std::set<std::string> &Lost, runtime::time_point Since) {
  for (auto &[Id, Vm] : Fleet.all()) {
    if (!Vm.Alive)
      continue;
    std::set<std::string> Found;
    for (const bench::fleet_event &Event : Vm.Events) {
      if (Event.Event.Kind != kind::Unreachable)
        continue;
      CPPUNIT_ASSERT_MESSAGE(Id + " late", Event.At - Since <= DetectionLimit);
      Found.insert(Event.Event.Vm.vm());
    }
    CPPUNIT_ASSERT_MESSAGE(Id, Found == Lost);
  }
}

void assertDispatcher(membership_fleet &Fleet, const std::string &At, const std::string &Domain,
                      const std::string &Expected) {
  auto Dispatcher = Fleet.at(At).Model->dispatcher(Domain);
  CPPUNIT_ASSERT(Dispatcher);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("at " + At, incarnationName(Fleet.at(Expected).Entry.self()),
                               incarnationName(*Dispatcher));
}

// Guards against VMs that miss a failure, find it late, or take others down with it.
const story Detection("membership: failures are detected by all within 2 s", [] {
  if (auto Given = section("given one host that falls silent, at any time between heartbeats")) {
    for (int PhaseMs = 0; PhaseMs < 550; PhaseMs += 25) {
      membership_fleet Fleet(makeOptions(7, 4));
      startFleet(Fleet);
      Fleet.run(std::chrono::milliseconds(PhaseMs));
      auto Since = Fleet.now();
      Fleet.loseHost("vm03");
      Fleet.run(10s);
      assertDetected(Fleet, {"vm03"}, Since);
    }
  }
  if (auto Given = section("given a process that ends")) {
    membership_fleet Fleet(makeOptions(7, 4));
    startFleet(Fleet);
    auto Since = Fleet.now();
    Fleet.crash("vm00");
    Fleet.run(10s);
    assertDetected(Fleet, {"vm00"}, Since);
  }
  if (auto Given = section("given a failure domain that is lost at once")) {
    for (bool Contiguous : {false, true})
      for (int PhaseMs = 0; PhaseMs < 550; PhaseMs += 50) {
        membership_fleet Fleet(makeOptions(7, 4, Contiguous));
        startFleet(Fleet);
        Fleet.run(std::chrono::milliseconds(PhaseMs));
        auto Lost = idsOfDomain(Fleet, "d1");
        auto Since = Fleet.now();
        for (const std::string &Id : Lost)
          Fleet.loseHost(Id);
        Fleet.run(10s);
        assertDetected(Fleet, Lost, Since);
      }
  }
  if (auto Given = section("given neighbours of two domains lost together in a fleet of 100")) {
    membership_fleet Fleet(makeOptions(100, 7, true));
    startFleet(Fleet);
    auto Lost = idsOfDomain(Fleet, "d2");
    Lost.merge(idsOfDomain(Fleet, "d3"));
    auto Since = Fleet.now();
    for (const std::string &Id : Lost)
      Fleet.loseHost(Id);
    Fleet.run(10s);
    assertDetected(Fleet, Lost, Since);
  }
  if (auto Given = section("given all VMs but one lost")) {
    membership_fleet Fleet(makeOptions(7, 4));
    startFleet(Fleet);
    auto Since = Fleet.now();
    std::set<std::string> Lost;
    for (auto &[Id, Vm] : Fleet.all())
      if (Id != "vm04") {
        Fleet.loseHost(Id);
        Lost.insert(Id);
      }
    Fleet.run(10s);
    assertDetected(Fleet, Lost, Since);
    CPPUNIT_ASSERT(Fleet.at("vm04").Model->isDispatcher());
    CPPUNIT_ASSERT(!Fleet.at("vm04").Model->dispatcher("d1"));
  }
});

// Guards against pauses that are taken for failures, at the paused VM and at its peers.
const story Pauses("membership: pauses", [] {
  membership_fleet Fleet(makeOptions(7, 4));
  startFleet(Fleet);
  // Detection takes at least 1.2 s and 0.7 s, less the longest time since the last heartbeat of 0.53 s.
  if (auto Given = section("given a pause shorter than any detection, at any time between heartbeats")) {
    for (int Round = 0; Round < 22; ++Round) {
      Fleet.pause("vm02");
      Fleet.run(1350ms);
      Fleet.resume("vm02");
      Fleet.run(3s + 25ms * Round);
    }
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Unreachable));
  }
  if (auto Given = section("given a long pause")) {
    Fleet.pause("vm02");
    Fleet.run(10s);
    CPPUNIT_ASSERT_EQUAL(6, countEvents(Fleet, kind::Unreachable));
    Fleet.resume("vm02");
    Fleet.run(50ms);
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet.at("vm02"), kind::Unreachable));
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Replaced));
    for (auto &[Id, Vm] : Fleet.all())
      CPPUNIT_ASSERT_MESSAGE(Id, Vm.Model->reachable(Fleet.at("vm02").Entry.self()));
  }
  if (auto Given = section("given a pause while all VMs probe each other because of another failure")) {
    for (int OffsetMs = 0; OffsetMs < 2000; OffsetMs += 50) {
      membership_fleet Other(makeOptions(7, 4));
      startFleet(Other);
      Other.loseHost("vm05");
      Other.run(std::chrono::milliseconds(OffsetMs));
      Other.pause("vm02");
      Other.run(1350ms);
      Other.resume("vm02");
      Other.run(5s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(OffsetMs), 6, countEvents(Other, kind::Unreachable));
    }
  }
  if (auto Given = section("given a pause while a peer loses its connection")) {
    Fleet.pause("vm02");
    Fleet.breakConnection("vm05", "vm02");
    Fleet.run(1350ms);
    Fleet.resume("vm02");
    Fleet.run(5s);
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Unreachable));
  }
  if (auto Given = section("given the end of a long pause")) {
    Fleet.at("vm02").Model->onPause(5s);
    // One to each other VM, which may have found this one unreachable.
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Fleet.at("vm02").Model->takeSends().size());
  }
  if (auto Given = section("given a pause while answers to probes are on their way")) {
    Fleet.breakConnection("vm02", "vm05");
    Fleet.run(2ms);
    Fleet.pause("vm02");
    Fleet.run(1s);
    Fleet.resume("vm02");
    Fleet.run(3s);
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Unreachable));
  }
});

// Guards against a new incarnation that is mistaken for the one before, and against a dispatcher role that
// moves to a VM that has just started.
const story Restarts("membership: restarts", [] {
  membership_fleet Fleet(makeOptions(7, 2));
  startFleet(Fleet);
  assertDispatcher(Fleet, "vm05", "d0", "vm00");
  auto Former = Fleet.at("vm00").Entry.self();
  if (auto When = section("when a VM restarts faster than its failure is detected")) {
    Fleet.crash("vm00");
    Fleet.run(50ms);
    Fleet.start("vm00");
    Fleet.run(2s);
    for (auto &[Id, Vm] : Fleet.all()) {
      CPPUNIT_ASSERT_MESSAGE(Id, !Vm.Model->reachable(Former));
      CPPUNIT_ASSERT_MESSAGE(Id, Vm.Model->replaced(Former));
      CPPUNIT_ASSERT_MESSAGE(Id, Vm.Model->reachable(Fleet.at("vm00").Entry.self()));
      CPPUNIT_ASSERT_MESSAGE(Id, !Vm.Model->replaced(Fleet.at("vm00").Entry.self()));
      assertDispatcher(Fleet, Id, "d0", "vm02");
    }
    CPPUNIT_ASSERT_EQUAL(6, countEvents(Fleet, kind::Replaced));
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Unreachable));
    if (auto Then = section("then late messages of the former incarnation change nothing")) {
      auto &Vm = Fleet.at("vm01");
      Vm.Model->messageFrom(Former, "d0");
      CPPUNIT_ASSERT(!Vm.Model->reachable(Former));
      CPPUNIT_ASSERT(Vm.Model->reachable(Fleet.at("vm00").Entry.self()));
    }
    if (auto Then = section("then gossip about the former incarnation changes nothing")) {
      auto &Vm = Fleet.at("vm01");
      schema::heartbeat Heartbeat;
      *Heartbeat.add_vms() = Fleet.at("vm06").Entry;
      auto &Entry = *Heartbeat.add_vms();
      Entry = Fleet.at("vm00").Entry;
      *Entry.mutable_self() = Former;
      for (auto State : {schema::VM_LIVE, schema::VM_DRAINING, schema::VM_UNREACHABLE, schema::VM_UNKNOWN}) {
        Entry.set_state(State);
        Vm.Model->onHeartbeat(Fleet.at("vm06").Entry.self(), Heartbeat);
        CPPUNIT_ASSERT(!Vm.Model->reachable(Former));
        CPPUNIT_ASSERT(Vm.Model->reachable(Fleet.at("vm00").Entry.self()));
      }
    }
  }
  if (auto When = section("when a VM restarts after its failure was detected")) {
    Fleet.loseHost("vm00");
    Fleet.run(5s);
    assertDispatcher(Fleet, "vm05", "d0", "vm02");
    Fleet.start("vm00");
    Fleet.run(2s);
    for (auto &[Id, Vm] : Fleet.all()) {
      CPPUNIT_ASSERT(Vm.Model->replaced(Former));
      assertDispatcher(Fleet, Id, "d0", "vm02");
    }
  }
  if (auto When = section("when the clock of a VM was set back before its restart")) {
    Fleet.loseHost("vm00");
    Fleet.run(5s);
    auto Early = Former;
    Early.set_started_ms(Former.started_ms() - 1000);
    auto &Vm = Fleet.at("vm01");
    Vm.Model->messageFrom(Early, "d0");
    CPPUNIT_ASSERT(Vm.Model->reachable(Early));
    CPPUNIT_ASSERT(!Vm.Model->replaced(Early));
    CPPUNIT_ASSERT(Vm.Model->replaced(Former));
  }
  if (auto When = section("when all VMs are replaced one after the other")) {
    for (auto &[Id, Vm] : Fleet.all()) {
      Fleet.crash(Id);
      Fleet.run(1s);
      Fleet.start(Id);
      Fleet.run(3s);
    }
    for (auto &[Id, Vm] : Fleet.all())
      for (auto &[OtherId, Other] : Fleet.all())
        CPPUNIT_ASSERT_MESSAGE(label(Id, OtherId), Vm.Model->reachable(Other.Entry.self()));
    for (auto &[Id, Vm] : Fleet.all())
      assertDispatcher(Fleet, Id, "d0", "vm00");
  }
});

// Guards against sides of a partition that stop serving, and against sides that do not find together again.
const story Partitions("membership: partition and heal", [] {
  membership_fleet Fleet(makeOptions(7, 2, true));
  startFleet(Fleet);
  std::set<std::string> Side = {"vm02", "vm03"};
  auto Since = Fleet.now();
  Fleet.separate(Side);
  Fleet.run(10s);
  for (auto &[Id, Vm] : Fleet.all())
    for (const bench::fleet_event &Event : Vm.Events)
      if (Event.Event.Kind == kind::Unreachable) {
        CPPUNIT_ASSERT(Side.contains(Id) != Side.contains(Event.Event.Vm.vm()));
        CPPUNIT_ASSERT(Event.At - Since <= DetectionLimit);
      }
  CPPUNIT_ASSERT_EQUAL(2 * 2 * 5, countEvents(Fleet, kind::Unreachable));
  assertDispatcher(Fleet, "vm03", "d0", "vm02");
  assertDispatcher(Fleet, "vm01", "d0", "vm00");
  CPPUNIT_ASSERT(Fleet.at("vm02").Model->isDispatcher());
  CPPUNIT_ASSERT(!Fleet.at("vm02").Model->dispatcher("d1"));
  if (auto When = section("when it heals")) {
    Fleet.heal();
    Fleet.run(4s);
    for (auto &[Id, Vm] : Fleet.all()) {
      for (auto &[OtherId, Other] : Fleet.all())
        CPPUNIT_ASSERT_MESSAGE(label(Id, OtherId), Vm.Model->reachable(Other.Entry.self()));
      assertDispatcher(Fleet, Id, "d0", "vm00");
    }
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Replaced));
  }
});

// Guards against views that stay wrong after any sequence of faults, and against VMs that are taken for lost
// without a fault of their own or of their link.
const story Soak("membership: random faults", [] {
  constexpr std::uint64_t Seeds = 20;
  constexpr int Faults = 40;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    auto Options = makeOptions(Seed % 5 == 0 ? 30 : 7, 4, Seed % 2 == 0);
    Options.Seed = Seed;
    membership_fleet Fleet(Options);
    runtime::random Random(Seed);
    startFleet(Fleet);
    auto Pick = [&] { return fmt::format("vm{:02}", Random.next() % static_cast<unsigned>(Options.Vms)); };
    std::set<std::string> Disturbed;
    bool Partitioned = false;
    for (int Fault = 0; Fault < Faults; ++Fault) {
      auto &Vm = Fleet.at(Pick());
      Disturbed.insert(Vm.Id);
      switch (Random.next() % 6) {
      case 0:
        Vm.Paused ? Fleet.resume(Vm.Id) : Fleet.crash(Vm.Id);
        break;
      case 1:
        Vm.Paused ? Fleet.resume(Vm.Id) : Fleet.loseHost(Vm.Id);
        break;
      case 2:
        if (!Vm.Alive)
          Fleet.start(Vm.Id);
        else if (!Vm.Paused)
          Fleet.pause(Vm.Id);
        break;
      case 3:
        // Without partitions, all VMs without a fault of their own have to stay reachable.
        if (Seed % 3 != 0)
          break;
        Partitioned = true;
        Fleet.separate({Vm.Id, Pick(), Pick()});
        break;
      case 4:
        Fleet.heal();
        break;
      default:
        if (Vm.Alive && !Vm.Paused)
          Fleet.drain(Vm.Id);
        break;
      }
      Fleet.run(std::chrono::milliseconds(Random.next() % 3000));
    }
    Fleet.heal();
    for (auto &[Id, Vm] : Fleet.all()) {
      if (Vm.Paused)
        Fleet.resume(Id);
      if (!Vm.Alive)
        Fleet.start(Id);
    }
    Fleet.run(10s);
    for (auto &[Id, Vm] : Fleet.all()) {
      for (auto &[OtherId, Other] : Fleet.all()) {
        auto Label = fmt::format("{}, seed {}", label(Id, OtherId), Seed);
        CPPUNIT_ASSERT_MESSAGE(Label, Vm.Model->reachable(Other.Entry.self()));
        CPPUNIT_ASSERT_MESSAGE(Label, !Vm.Model->replaced(Other.Entry.self()));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Label, incarnationName(*Other.Model->dispatcher("d1")),
                                     incarnationName(*Vm.Model->dispatcher("d1")));
      }
      for (const bench::fleet_event &Event : Vm.Events) {
        bool Undisturbed = !Partitioned && !Disturbed.contains(Event.Event.Vm.vm());
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}, seed {}", Id, Seed),
                               !Undisturbed || Event.Event.Kind != kind::Unreachable);
      }
    }
  }
});

// Guards against trust in a list that lags.
const story Lists("membership: lagging platform list", [] {
  membership_fleet Fleet(makeOptions(7, 4));
  if (auto Given = section("given a list that names dead VMs as live")) {
    for (auto &[Id, Vm] : Fleet.all())
      if (Id < "vm03")
        Fleet.start(Id);
    Fleet.run(5s);
    for (int Round = 0; Round < 30; ++Round) {
      Fleet.refreshLists();
      Fleet.run(1s);
    }
    CPPUNIT_ASSERT_EQUAL(0, countEvents(Fleet, kind::Unreachable));
    for (const model::member_view &Member : Fleet.at("vm00").Model->members())
      CPPUNIT_ASSERT((Member.Entry.state() == schema::VM_LIVE) == (Member.Entry.self().vm() < "vm03"));
    CPPUNIT_ASSERT(!Fleet.at("vm00").Model->dispatcher("d3"));
  }
  if (auto Given = section("given a list that still names a VM after its failure")) {
    startFleet(Fleet);
    auto Lost = Fleet.at("vm03").Entry.self();
    Fleet.loseHost("vm03");
    Fleet.run(3s);
    Fleet.refreshLists();
    CPPUNIT_ASSERT(!Fleet.at("vm00").Model->reachable(Lost));
    if (auto When = section("when the list names it no longer")) {
      Fleet.listed().erase("vm03");
      Fleet.refreshLists();
      Fleet.run(70s);
      CPPUNIT_ASSERT_EQUAL(std::size_t(6), Fleet.at("vm00").Model->members().size());
      CPPUNIT_ASSERT(!Fleet.at("vm00").Model->reachable(Lost));
    }
  }
  if (auto Given = section("given a list that does not name a live VM yet")) {
    Fleet.listed().erase("vm06");
    for (auto &[Id, Vm] : Fleet.all())
      if (Id != "vm06")
        Fleet.start(Id);
    Fleet.run(5s);
    Fleet.start("vm06");
    Fleet.run(2s);
    Fleet.refreshLists();
    for (auto &[Id, Vm] : Fleet.all())
      CPPUNIT_ASSERT_MESSAGE(Id, Vm.Model->reachable(Fleet.at("vm06").Entry.self()));
    CPPUNIT_ASSERT_EQUAL(Fleet.at("vm06").Entry.peer_address(), Fleet.at("vm01").Model->addressOf("vm06"));
    Fleet.run(70s);
    CPPUNIT_ASSERT(Fleet.at("vm01").Model->reachable(Fleet.at("vm06").Entry.self()));
  }
  if (auto Given = section("given no list at all, but a peer that was told of this VM")) {
    Fleet.start("vm00");
    Fleet.listed().clear();
    Fleet.start("vm01");
    Fleet.run(4s);
    CPPUNIT_ASSERT(Fleet.at("vm01").Model->reachable(Fleet.at("vm00").Entry.self()));
  }
});

// Guards against work sent to a VM that leaves, and against a failure domain without a dispatcher.
const story Draining("membership: draining", [] {
  membership_fleet Fleet(makeOptions(7, 2));
  startFleet(Fleet);
  Fleet.drain("vm00");
  Fleet.run(10ms);
  for (auto &[Id, Vm] : Fleet.all()) {
    CPPUNIT_ASSERT(Vm.Model->reachable(Fleet.at("vm00").Entry.self()));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, Id == "vm00" ? 0 : 1, countEvents(Vm, kind::Draining));
    assertDispatcher(Fleet, Id, "d0", "vm02");
  }
  if (auto When = section("when a VM joins meanwhile")) {
    Fleet.crash("vm04");
    Fleet.run(1s);
    Fleet.start("vm04");
    Fleet.run(1s);
    assertDispatcher(Fleet, "vm04", "d0", "vm02");
  }
  if (auto When = section("when all VMs of the domain drain")) {
    for (const char *Id : {"vm02", "vm04", "vm06"})
      Fleet.drain(Id);
    Fleet.run(10ms);
    assertDispatcher(Fleet, "vm01", "d0", "vm00");
  }
});

// Guards against summaries that get lost on the ring, outlive their dispatcher, or return to their domain.
const story Summaries("membership: domain summaries", [] {
  membership_fleet Fleet(makeOptions(100, 4));
  startFleet(Fleet);
  auto Publish = [&](const std::string &Id) {
    schema::domain_summary Summary;
    Summary.set_domain(Fleet.at(Id).Entry.domain());
    *Summary.mutable_dispatcher() = Fleet.at(Id).Entry.self();
    Summary.set_free_slots(7);
    Fleet.at(Id).Model->setOwnSummary(Summary);
  };
  // Published by a VM that is not the dispatcher, and by one that is.
  Publish("vm05");
  Publish("vm02");
  Fleet.run(1200ms);
  for (auto &[Id, Vm] : Fleet.all()) {
    auto Known = Vm.Model->summaries();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, std::size_t(Vm.Entry.domain() == "d2" ? 0 : 1), Known.size());
    if (Known.empty())
      continue;
    CPPUNIT_ASSERT_EQUAL(7U, Known.front().free_slots());
    // Each hop takes 1 ms that nobody counts.
    CPPUNIT_ASSERT(Known.front().age_ms() <= 1200 && Known.front().age_ms() >= 1100);
  }
  Fleet.loseHost("vm02");
  Fleet.run(2s);
  for (auto &[Id, Vm] : Fleet.all())
    CPPUNIT_ASSERT(!Vm.Alive || Vm.Model->summaries().empty());
});

// Guards against control traffic that grows with the fleet or exceeds its budget, and against costly joins.
const story Traffic("membership: control traffic", [] {
  constexpr double BytesPerSecondBudget = 12'000;
  constexpr int MeasuredS = 20;
  for (int Vms : {7, 100}) {
    membership_fleet Fleet(makeOptions(Vms, Vms == 7 ? 4 : 7));
    startFleet(Fleet);
    // Newcomers are repeated for a while.
    Fleet.run(10s);
    Fleet.takeTraffic();
    Fleet.run(std::chrono::seconds(MeasuredS));
    auto Steady = Fleet.takeTraffic();
    double PerVm = static_cast<double>(Steady.Messages) / Vms / MeasuredS;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(PerVm), PerVm > 1.8 && PerVm < 2.1);
    CPPUNIT_ASSERT(static_cast<double>(Steady.Bytes) / Vms / MeasuredS < BytesPerSecondBudget);
    Fleet.crash("vm03");
    Fleet.run(70s);
    Fleet.takeTraffic();
    Fleet.start("vm03");
    Fleet.run(2s);
    auto Join = Fleet.takeTraffic();
    double Extra = static_cast<double>(Join.Messages) - 2.0 * 2 * Vms;
    // One message per VM and a few more, which leaves room for probes that were already planned.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Extra), Extra < Vms + 10);
  }
});

} // namespace
