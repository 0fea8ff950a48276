#include "fleet_contacts.hpp"

#include <algorithm>
#include <optional>

namespace yuccaplank::dispatch {
namespace {

// Lists of the VMs heard from grow with their number and change rarely.
constexpr std::uint64_t HeartbeatsToPeerList = 10;

bool mayCoordinate(const known_vm &Vm) { return Vm.InContact && Vm.Status.role() != schema::VM_RELAYS; }

} // namespace

void fillQueues(const queue_lengths &Lengths,
                google::protobuf::RepeatedPtrField<schema::queue_length> &Queues) {
  for (const auto &[Name, Count] : Lengths) {
    schema::queue_length &Length = *Queues.Add();
    Length.set_queue(Name);
    Length.set_waiting(Count);
  }
}

void fleet_contacts::chooseDispatchers() {
  registered_vms Vms = Registered;
  if (Self.registration() > 0)
    Vms[Self.vm()] = {Self.address(), Self.domain(), Self.strength()};
  Dispatchers = dispatch::chooseDispatchers(Vms, PerDomain);
}

bool fleet_contacts::coordinates(const std::string &Vm) const {
  auto Found = View.others().find(Vm);
  return Found != View.others().end() && mayCoordinate(Found->second);
}

std::vector<std::string> fleet_contacts::coordinatingVms() const {
  std::vector<std::string> Vms;
  for (const auto &[Vm, Known] : View.others())
    if (mayCoordinate(Known))
      Vms.push_back(Vm);
  return Vms;
}

std::set<std::string> fleet_contacts::contacts() const {
  std::set<std::string> Names = Dispatchers;
  if (relays()) {
    Names = contactsOfRelay(Registered, Dispatchers, Self.domain(),
                            [this](const std::string &Vm) { return View.inContact(Vm); });
    Names.merge(Ports.jobHolders());
  }
  Names.erase(Self.vm());
  return Names;
}

bool fleet_contacts::needsContact(const std::string &Vm) const {
  return Registered.empty() || contacts().contains(Vm);
}

void fleet_contacts::learnPeers(const schema::vm_status &Status) {
  if (!Registered.empty())
    return;
  for (const schema::vm_address &Peer : Status.peers())
    if (!View.others().contains(Peer.vm()))
      View.learn(Peer.vm(), Peer.address());
}

void fleet_contacts::sendHeartbeats() {
  bool WithPeers = ++Heartbeats % HeartbeatsToPeerList == 0;
  // A VM that dispatches answers all that contact it.
  bool ToAll = !relays() || Registered.empty();
  std::set<std::string> Contacts = ToAll ? std::set<std::string>() : contacts();
  std::optional<schema::dispatch_message> ToDispatchers;
  std::optional<schema::dispatch_message> ToRelays;
  for (const auto &[Vm, Known] : View.others()) {
    if (!Known.InContact || (!ToAll && !Contacts.contains(Vm)))
      continue;
    bool IsRelay = Known.Status.role() == schema::VM_RELAYS;
    std::optional<schema::dispatch_message> &Status = IsRelay ? ToRelays : ToDispatchers;
    if (!Status)
      Status = makeStatus(WithPeers, IsRelay);
    sendStatus(Vm, Known.Address, *Status);
  }
}

void fleet_contacts::tryOthers() {
  std::set<std::string> Contacts = contacts();
  for (const std::string &Vm : Contacts)
    if (auto Found = Registered.find(Vm); Found != Registered.end())
      View.learn(Vm, Found->second.Address);
  if (!Registered.empty())
    forgetUnneededVms(Contacts);
  schema::dispatch_message Message = makeStatus(true, false);
  bool AnyAlive = false;
  for (const auto &[Vm, Known] : View.others()) {
    AnyAlive |= Known.InContact;
    if (!Known.InContact)
      sendStatus(Vm, Known.Address, Message);
  }
  for (const std::string &Seed : Seeds)
    if (!AnyAlive && Seed != Self.address())
      greet("", Seed);
}

void fleet_contacts::greet(const std::string &Vm, const std::string &Address) {
  sendStatus(Vm, Address, makeStatus(true, false));
}

void fleet_contacts::answerGreeting(const schema::vm_status &Greeting, bool ContactBegins) {
  bool InContact = View.inContact(Greeting.vm()) && Greeting.echo_ms() > 0;
  if (!ContactBegins && (InContact || Greeting.answer()))
    return;
  schema::dispatch_message Message = makeStatus(true, false);
  Message.mutable_status()->set_answer(true);
  sendStatus(Greeting.vm(), Greeting.address(), std::move(Message));
}

void fleet_contacts::sendStatus(const std::string &Vm, const std::string &Address,
                                schema::dispatch_message Message) {
  View.stamp(Vm, *Message.mutable_status());
  Ports.sendTo(Vm, Address, std::move(Message));
}

void fleet_contacts::forgetUnneededVms(const std::set<std::string> &Contacts) {
  std::vector<std::string> Strangers;
  for (const auto &[Vm, Known] : View.others())
    if (!Known.InContact && !Contacts.contains(Vm))
      Strangers.push_back(Vm);
  for (const std::string &Vm : Strangers)
    View.forget(Vm);
}

std::vector<std::string> fleet_contacts::missingSince(runtime::time_point Before) const {
  std::vector<std::string> Missing;
  for (const auto &[Vm, Known] : View.others())
    if (Dispatchers.contains(Vm) && !Known.InContact && Known.LastHeard < Before)
      Missing.push_back(Vm);
  return Missing;
}

bool fleet_contacts::ownerMissing() const {
  return std::ranges::any_of(Dispatchers, [this](const std::string &Vm) { return !View.inContact(Vm); });
}

queue_lengths fleet_contacts::waitingInFleet() const {
  queue_lengths Lengths = Ports.waitingHere();
  for (const auto &[Vm, Known] : View.others())
    for (const schema::queue_length &Length : Known.Status.queues())
      if (Known.InContact)
        Lengths[Length.queue()] += Length.waiting();
  if (!relays())
    return Lengths;
  // A VM that relays hears from few others, of which each tells the lengths of the fleet.
  for (const auto &[Vm, Known] : View.others())
    for (const schema::queue_length &Length : Known.Status.fleet_queues())
      if (Known.InContact)
        Lengths[Length.queue()] = std::max(Lengths[Length.queue()], Length.waiting());
  return Lengths;
}

schema::dispatch_message fleet_contacts::makeStatus(bool WithPeers, bool ForRelay) const {
  schema::dispatch_message Message;
  schema::vm_status &Status = *Message.mutable_status();
  Status = Self;
  for (const auto &[Name, Known] : View.others())
    if (WithPeers && mayCoordinate(Known)) {
      schema::vm_address &Peer = *Status.add_peers();
      Peer.set_vm(Name);
      Peer.set_address(Known.Address);
    }
  if (ForRelay)
    fillQueues(waitingInFleet(), *Status.mutable_fleet_queues());
  else
    fillQueues(Ports.waitingHere(), *Status.mutable_queues());
  return Message;
}

} // namespace yuccaplank::dispatch
