#include "configuration_exchange.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

bool configuration_exchange::setConfiguration(configuration Configuration, std::string Document) {
  if (Current && Configuration.Version <= Current->Version)
    return false;
  log(log_level::Info, "configuration_in_force",
      {{"version", static_cast<std::int64_t>(Configuration.Version)},
       {"former", static_cast<std::int64_t>(Current ? Current->Version : 0)},
       {"queues", static_cast<std::int64_t>(Configuration.Queues.size())}});
  Current = std::make_unique<configuration>(std::move(Configuration));
  Vm.Self.set_configuration_version(Current->Version);
  Vm.Self.set_serving(true);
  CurrentCopy.set_version(Current->Version);
  CurrentCopy.set_document(std::move(Document));
  return true;
}

void configuration_exchange::setEvacuations(const schema::evacuation_state &State) {
  // Other VMs repeat their state with each heartbeat.
  if (Evacuations.knows(State))
    return;
  if (Evacuations.apply(State))
    Vm.Owner->setEvacuatedDomains(Evacuations.domains());
  Vm.Self.clear_evacuations();
  for (schema::evacuation_state &Known : Evacuations.states())
    *Vm.Self.add_evacuations() = std::move(Known);
}

void configuration_exchange::onCopy(const schema::configuration_copy &Copy) {
  learn(Copy.evacuations());
  if (!Current || Copy.version() > Current->Version)
    Vm.Ports.onConfigurationOffered(Copy);
}

void configuration_exchange::offer(const schema::vm_status &Status) {
  if (!Current || Status.configuration_version() >= Current->Version)
    return;
  std::uint64_t &Offered = OfferedVersions[Status.vm()];
  if (Offered == Current->Version)
    return;
  Offered = Current->Version;
  schema::dispatch_message Message;
  *Message.mutable_configuration() = CurrentCopy;
  *Message.mutable_configuration()->mutable_evacuations() = Vm.Self.evacuations();
  Vm.Send(Status.vm(), std::move(Message));
}

std::map<std::string, std::uint32_t>
configuration_exchange::runsInEvacuatedDomains(const std::vector<schema::server_state> &States) const {
  std::map<std::string, std::uint32_t> Runs;
  for (const std::string &Domain : Evacuations.domains())
    Runs[Domain] = 0;
  for (const schema::server_state &State : States)
    if (auto Found = Runs.find(State.domain()); Found != Runs.end())
      Found->second += State.tasks();
  return Runs;
}

void configuration_exchange::learn(
    const google::protobuf::RepeatedPtrField<schema::evacuation_state> &States) {
  for (const schema::evacuation_state &State : States)
    setEvacuations(State);
}

} // namespace yuccaplank::dispatch
