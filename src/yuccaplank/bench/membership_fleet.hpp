// Memberships of a whole fleet on a paused clock, wired together in memory. For tests and measurements.
#pragma once

#include "yuccaplank/model/job_id.hpp"
#include "yuccaplank/model/membership.hpp"

#include <fmt/format.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::bench {

using namespace std::chrono_literals;

struct fleet_options {
  int Vms = 7;
  int Domains = 4;
  /// Neighbours on the ring belong to the same domain.
  bool ContiguousDomains = false;
  std::uint64_t Seed = 1;
  /// One-way delay.
  runtime::duration Latency = 1ms;
};

struct fleet_event {
  runtime::time_point At;
  model::membership_event Event;
};

struct fleet_traffic {
  std::uint64_t Messages = 0;
  /// Envelopes with their length prefixes and HTTP/2 frame headers, without TCP and IP.
  std::uint64_t Bytes = 0;
  std::uint64_t LargestHeartbeat = 0;
};

/// VM ids are "vm00", "vm01", and so on; VM n belongs to domain "d<n modulo Domains>" unless contiguous.
class membership_fleet {
public:
  struct vm {
    std::string Id;
    schema::vm_entry Entry;
    bool Alive = false;
    bool RefusesConnects = false;
    bool Paused = false;
    runtime::time_point PausedSince;
    std::unique_ptr<model::membership> Model;
    // What arrives during a pause.
    std::deque<std::function<void()>> Inbox;
    std::vector<fleet_event> Events;
    fleet_traffic Sent;
  };

  explicit membership_fleet(fleet_options Given) : Options(Given) {
    for (int Index = 0; Index < Options.Vms; ++Index) {
      std::string Id = fmt::format("vm{:02}", Index);
      vm &Vm = Vms[Id];
      Vm.Id = Id;
      int Domain =
          Options.ContiguousDomains ? Index * Options.Domains / Options.Vms : Index % Options.Domains;
      Vm.Entry.set_domain(fmt::format("d{}", Domain));
      Vm.Entry.set_peer_address(fmt::format("10.0.{}.{}:7100", Domain, Index));
      Listed.insert(Id);
    }
  }

  vm &at(const std::string &Id) { return Vms.at(Id); }
  std::map<std::string, vm> &all() { return Vms; }
  [[nodiscard]] runtime::time_point now() const { return Clock.now(); }
  /// VMs in the list that a starting VM gets; refreshLists() gives it to all.
  std::set<std::string> &listed() { return Listed; }

  void startAll() {
    for (auto &[Id, Vm] : Vms)
      start(Id);
  }

  /// Starts or restarts a VM as a new incarnation at the same address.
  void start(const std::string &Id) {
    vm &Vm = Vms.at(Id);
    Vm.Entry.mutable_self()->set_vm(Id);
    Vm.Entry.mutable_self()->set_started_ms(Clock.unixMs());
    Vm.Entry.mutable_self()->set_nonce(static_cast<std::uint32_t>(++Starts));
    model::membership_options Model;
    Model.Self = Vm.Entry.self();
    Model.Domain = Vm.Entry.domain();
    Model.PeerAddress = Vm.Entry.peer_address();
    Model.Seed = Options.Seed * 1000 + Starts;
    Vm.Model = model::makeMembership(Clock, Model);
    Vm.Alive = true;
    Vm.Paused = false;
    Vm.Inbox.clear();
    Vm.Model->applyVmList(list());
    turn(Vm);
  }

  void refreshLists() {
    for (auto &[Id, Vm] : Vms)
      if (Vm.Alive) {
        Vm.Model->applyVmList(list());
        turn(Vm);
      }
  }

  /// The process ends and its streams close.
  void crash(const std::string &Id) {
    loseHost(Id);
    Vms.at(Id).RefusesConnects = true;
    for (const auto &[Left, Right] : std::set(Connections))
      if (Left == Id || Right == Id)
        disconnect(Id, Left == Id ? Right : Left);
  }

  /// The VM falls silent.
  void loseHost(const std::string &Id) {
    Vms.at(Id).Alive = false;
    Vms.at(Id).RefusesConnects = false;
  }

  void pause(const std::string &Id) {
    Vms.at(Id).Paused = true;
    Vms.at(Id).PausedSince = Clock.now();
  }

  /// As after SIGCONT: the pause guard first, then timers, then sockets.
  void resume(const std::string &Id) {
    vm &Vm = Vms.at(Id);
    Vm.Paused = false;
    runtime::duration Pause = Clock.now() - Vm.PausedSince;
    if (Pause >= PauseThreshold)
      Vm.Model->onPause(Pause);
    turn(Vm);
    for (auto &Action : std::exchange(Vm.Inbox, {}))
      Action();
  }

  void drain(const std::string &Id) {
    Vms.at(Id).Model->startDraining();
    turn(Vms.at(Id));
  }

  /// A VM finds that its connection to another one has closed.
  void breakConnection(const std::string &Id, const std::string &Other) { disconnect(Other, Id); }

  /// Separates the VMs from all others until heal().
  void separate(std::set<std::string> Side) { Separated = std::move(Side); }
  void heal() { Separated.clear(); }

  void run(runtime::duration Time) {
    for (auto End = Clock.now() + Time; Clock.now() < End;) {
      Clock.advance(Step);
      while (!Due.empty() && Due.begin()->first <= Clock.now()) {
        auto Action = std::move(Due.begin()->second);
        Due.erase(Due.begin());
        Action();
      }
      for (auto &[Id, Vm] : Vms)
        if (Vm.Alive && !Vm.Paused && Vm.Model->nextWakeup() <= Clock.now())
          turn(Vm);
    }
  }

  fleet_traffic takeTraffic() {
    fleet_traffic Sum;
    for (auto &[Id, Vm] : Vms) {
      Sum.Messages += Vm.Sent.Messages;
      Sum.Bytes += Vm.Sent.Bytes;
      Sum.LargestHeartbeat = std::max(Sum.LargestHeartbeat, Vm.Sent.LargestHeartbeat);
      Vm.Sent = {};
    }
    return Sum;
  }

private:
  static constexpr runtime::duration Step = 1ms;
  static constexpr runtime::duration ConnectTimeout = 500ms;
  static constexpr runtime::duration PauseThreshold = 1500ms;
  static constexpr std::uint64_t FrameHeaderBytes = 9;

  [[nodiscard]] schema::vm_list list() const {
    schema::vm_list List;
    for (const std::string &Id : Listed) {
      schema::entry_vm &Entry = *List.add_entry_vms();
      Entry.set_id(Id);
      Entry.set_domain(Vms.at(Id).Entry.domain());
      Entry.set_peer_address(Vms.at(Id).Entry.peer_address());
    }
    return List;
  }

  [[nodiscard]] bool linked(const std::string &Left, const std::string &Right) const {
    return Separated.contains(Left) == Separated.contains(Right);
  }

  static std::pair<std::string, std::string> pairOf(const std::string &Left, const std::string &Right) {
    return std::minmax(Left, Right);
  }

  void later(runtime::duration Delay, std::function<void()> Action) {
    Due.emplace(Clock.now() + Delay, std::move(Action));
  }

  // The other end notices unless it is cut off.
  void disconnect(const std::string &From, const std::string &Other) {
    Connections.erase(pairOf(From, Other));
    if (!linked(From, Other))
      return;
    later(Options.Latency, [this, &Vm = Vms.at(Other), Ended = Vms.at(From).Entry.self()] {
      arrive(Vm, [this, &Vm, Ended] {
        Vm.Model->onStreamClosed(Ended);
        turn(Vm);
      });
    });
  }

  void turn(vm &Vm) {
    Vm.Model->tick();
    for (model::membership_event &Event : Vm.Model->takeEvents()) {
      if (Event.Kind == model::membership_event::kind::Unreachable &&
          Connections.contains(pairOf(Vm.Id, Event.Vm.vm())))
        disconnect(Vm.Id, Event.Vm.vm());
      Vm.Events.push_back({Clock.now(), std::move(Event)});
    }
    for (model::membership_send &Send : Vm.Model->takeSends())
      transmit(Vm, std::move(Send));
  }

  void transmit(vm &From, model::membership_send Send) {
    std::uint64_t Size = Send.Message.ByteSizeLong();
    Size += FrameHeaderBytes + (Size < 128 ? 1 : 2);
    ++From.Sent.Messages;
    From.Sent.Bytes += Size;
    if (Send.Message.has_heartbeat())
      From.Sent.LargestHeartbeat = std::max(From.Sent.LargestHeartbeat, Size);
    vm &To = Vms.at(Send.Vm);
    bool Linked = linked(From.Id, To.Id);
    if (To.Alive && Linked) {
      Connections.insert(pairOf(From.Id, To.Id));
      later(Options.Latency, [this, &To, Sender = From.Entry, Message = std::move(Send.Message)] {
        if (linked(Sender.self().vm(), To.Id))
          arrive(To, [this, &To, Sender, Message] { receive(To, Sender, Message); });
      });
      return;
    }
    if (Connections.contains(pairOf(From.Id, To.Id)))
      return;
    later(Linked && To.RefusesConnects ? 2 * Options.Latency : ConnectTimeout,
          [this, &From, Address = To.Entry.peer_address()] {
            arrive(From, [this, &From, Address] {
              From.Model->onConnectFailed(Address);
              turn(From);
            });
          });
  }

  static void arrive(vm &To, std::function<void()> Action) {
    if (To.Paused)
      To.Inbox.push_back(std::move(Action));
    else if (To.Alive)
      Action();
  }

  void receive(vm &To, const schema::vm_entry &From, const schema::envelope &Message) {
    To.Model->messageFrom(From.self(), From.domain());
    switch (Message.body_case()) {
    case schema::envelope::kHeartbeat:
      To.Model->onHeartbeat(From.self(), Message.heartbeat());
      break;
    case schema::envelope::kProbe:
      To.Model->onProbe(From.self(), Message.probe());
      break;
    case schema::envelope::kProbeAck:
      To.Model->onProbeAck(From.self(), Message.probe_ack());
      break;
    case schema::envelope::kDraining:
      To.Model->onDraining(From.self());
      break;
    default:
      break;
    }
    turn(To);
  }

  fleet_options Options;
  runtime::manual_clock Clock;
  std::map<std::string, vm> Vms;
  std::set<std::string> Listed;
  std::set<std::string> Separated;
  std::set<std::pair<std::string, std::string>> Connections;
  std::multimap<runtime::time_point, std::function<void()>> Due;
  std::uint64_t Starts = 0;
};

} // namespace yuccaplank::bench
