#include "fleet_contacts.hpp"

#include <algorithm>
#include <optional>

namespace yuccaplank::dispatch {
namespace {

// Lists of VMs in contact grow with the fleet and change rarely, so only some heartbeats include one.
constexpr std::uint64_t HeartbeatsPerPeerList = 10;
// Further dispatching VMs that a relaying VM without contact greets with each attempt. If all greeted all,
// the greetings after a loss of the whole fleet would keep the dispatching VMs from their work.
constexpr std::size_t FallbackContacts = 6;

bool mayCoordinate(const known_vm &Vm) { return Vm.InContact && Vm.Status.role() != schema::VM_RELAYS; }

bool understands(const known_vm &Vm, protocol_version Version) {
  return Vm.Status.protocol_version() >= static_cast<std::uint32_t>(Version);
}

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
  Dispatchers = dispatch::chooseDispatchers(Vms, Options);
}

bool fleet_contacts::coordinates(const std::string &Vm) const {
  auto Found = View.others().find(Vm);
  return Found != View.others().end() && mayCoordinate(Found->second);
}

std::vector<std::string> fleet_contacts::coordinatingVms() const {
  return coordinatingVms(protocol_version::Initial);
}

bool fleet_contacts::isUnderstoodByAll(protocol_version Version) const {
  bool Registrations = std::ranges::all_of(Registered, [&](const auto &Entry) {
    return !Dispatchers.contains(Entry.first) || Entry.second.Protocol >= Version;
  });
  return Registrations && std::ranges::all_of(View.others(), [&](const auto &Entry) {
           return !mayCoordinate(Entry.second) || understands(Entry.second, Version);
         });
}

std::vector<std::string> fleet_contacts::coordinatingVms(protocol_version Version) const {
  std::vector<std::string> Vms;
  for (const auto &[Vm, OtherVm] : View.others())
    if (mayCoordinate(OtherVm) && understands(OtherVm, Version))
      Vms.push_back(Vm);
  return Vms;
}

std::vector<std::string> fleet_contacts::serverEntrySources() const {
  std::vector<std::string> Vms = coordinatingVms(protocol_version::ServerEntries);
  std::erase_if(Vms, [this](const std::string &Vm) { return View.others().at(Vm).Status.servers_unread(); });
  return Vms;
}

std::set<std::string> fleet_contacts::contacts() const {
  std::set<std::string> Names = Dispatchers;
  if (isRelay()) {
    relay_contact_plan Plan{Self.vm(), Self.domain(), Options.PerDomain,
                            FallbackContacts * (1 + RetriesWithoutContact)};
    Names = contactsOfRelay(Registered, Dispatchers, Plan,
                            [this](const std::string &Vm) { return View.inContact(Vm); });
    Names.merge(Ports.jobCoordinators());
  }
  Names.erase(Self.vm());
  return Names;
}

bool fleet_contacts::needsContact(const std::string &Vm) const {
  return Registered.empty() || contacts().contains(Vm);
}

void fleet_contacts::addPeers(const schema::vm_status &Status) {
  if (!Registered.empty())
    return;
  for (const schema::vm_address &Peer : Status.peers())
    if (!View.others().contains(Peer.vm()))
      View.addAddress(Peer.vm(), Peer.address());
}

void fleet_contacts::sendHeartbeats() {
  bool WithPeers = ++Heartbeats % HeartbeatsPerPeerList == 0;
  // A dispatching VM answers every VM that contacts it.
  bool ToAll = !isRelay() || Registered.empty();
  std::set<std::string> Contacts = ToAll ? std::set<std::string>() : contacts();
  std::optional<schema::dispatch_message> ToDispatchers;
  std::optional<schema::dispatch_message> ToRelays;
  for (const auto &[Vm, OtherVm] : View.others()) {
    if (!OtherVm.InContact || (!ToAll && !Contacts.contains(Vm)))
      continue;
    bool IsRelay = OtherVm.Status.role() == schema::VM_RELAYS;
    std::optional<schema::dispatch_message> &Status = IsRelay ? ToRelays : ToDispatchers;
    if (!Status)
      Status = makeStatus(WithPeers, IsRelay);
    sendStatus(Vm, OtherVm.Address, *Status);
  }
}

void fleet_contacts::contactOthers() {
  std::set<std::string> Contacts = contacts();
  for (const std::string &Vm : Contacts)
    if (auto Found = Registered.find(Vm); Found != Registered.end())
      View.addAddress(Vm, Found->second.Address);
  if (!Registered.empty())
    forgetUnneededVms(Contacts);
  schema::dispatch_message Message = makeStatus(true, false);
  bool AnyInContact = false;
  for (const auto &[Vm, OtherVm] : View.others()) {
    AnyInContact |= OtherVm.InContact;
    if (!OtherVm.InContact)
      sendStatus(Vm, OtherVm.Address, Message);
  }
  RetriesWithoutContact = AnyInContact ? 0 : RetriesWithoutContact + 1;
  for (const std::string &Seed : Seeds)
    if (!AnyInContact && Seed != Self.address())
      sendGreeting("", Seed);
}

void fleet_contacts::sendGreeting(const std::string &Vm, const std::string &Address) {
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
  View.setClocks(Vm, *Message.mutable_status());
  Ports.sendTo(Vm, Address, std::move(Message));
}

void fleet_contacts::forgetUnneededVms(const std::set<std::string> &Contacts) {
  std::vector<std::string> UnneededVms;
  for (const auto &[Vm, OtherVm] : View.others())
    if (!OtherVm.InContact && !Contacts.contains(Vm))
      UnneededVms.push_back(Vm);
  for (const std::string &Vm : UnneededVms)
    View.removeVm(Vm);
}

std::vector<std::string> fleet_contacts::dispatchersOutOfContactSince(runtime::time_point Before) const {
  std::vector<std::string> Missing;
  for (const auto &[Vm, OtherVm] : View.others())
    if (Dispatchers.contains(Vm) && !OtherVm.InContact && OtherVm.LastActiveAt < Before)
      Missing.push_back(Vm);
  return Missing;
}

std::size_t fleet_contacts::countInContact() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(View.others(), [](const auto &Entry) { return Entry.second.InContact; }));
}

bool fleet_contacts::knowsDispatcher() const {
  return !isRelay() || std::ranges::any_of(View.others(), [](const auto &Entry) {
    return Entry.second.InContact && Entry.second.Status.role() == schema::VM_DISPATCHES;
  });
}

bool fleet_contacts::anyOwnerOutOfContact() const {
  return std::ranges::any_of(Dispatchers, [this](const std::string &Vm) { return !View.inContact(Vm); });
}

queue_lengths fleet_contacts::fleetQueueLengths() const {
  queue_lengths Lengths = Ports.localQueueLengths();
  for (const auto &[Vm, OtherVm] : View.others())
    for (const schema::queue_length &Length : OtherVm.Status.queues())
      if (OtherVm.InContact)
        Lengths[Length.queue()] += Length.waiting();
  if (!isRelay())
    return Lengths;
  // A relaying VM is in contact with few others, each of which reports the queue lengths of the whole fleet.
  for (const auto &[Vm, OtherVm] : View.others())
    for (const schema::queue_length &Length : OtherVm.Status.fleet_queues())
      if (OtherVm.InContact)
        Lengths[Length.queue()] = std::max(Lengths[Length.queue()], Length.waiting());
  return Lengths;
}

schema::dispatch_message fleet_contacts::makeStatus(bool WithPeers, bool ForRelay) const {
  schema::dispatch_message Message;
  schema::vm_status &Status = *Message.mutable_status();
  Status = Self;
  for (const auto &[Name, OtherVm] : View.others())
    if (WithPeers && mayCoordinate(OtherVm)) {
      schema::vm_address &Peer = *Status.add_peers();
      Peer.set_vm(Name);
      Peer.set_address(OtherVm.Address);
    }
  if (ForRelay)
    fillQueues(fleetQueueLengths(), *Status.mutable_fleet_queues());
  else
    fillQueues(Ports.localQueueLengths(), *Status.mutable_queues());
  return Message;
}

} // namespace yuccaplank::dispatch
