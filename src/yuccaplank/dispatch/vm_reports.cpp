#include "vm_reports.hpp"
#include "fleet_reports.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {

entry_vm_state makeVmState(const vm_components &Vm, const vm_roles &Roles,
                           const configuration_exchange &Configurations, std::uint64_t DeclinedJobs) {
  entry_vm_state State{Vm.Jobs->counters(), Vm.Owner->counters(), Vm.Queue->counters(), Vm.Owner->counts()};
  State.Jobs = Vm.Jobs->size();
  State.RelayedJobs = Vm.Relay->size();
  State.Dispatching = Vm.Self.role() == schema::VM_DISPATCHES;
  State.Placing = Roles.placing();
  State.VmsInContact = Vm.Contacts.countInContact();
  for (const auto &[Name, OtherVm] : Vm.View->others())
    if (OtherVm.InContact)
      State.OldestAnswer = std::max(State.OldestAnswer, runtime::duration(Vm.Executor.clock().sinceBoot() -
                                                                          OtherVm.LastAnsweredHeartbeat));
  State.IgnoredEchoes = Vm.View->ignoredEchoes();
  State.DeclinedJobs = DeclinedJobs;
  State.RelayedJobsRefused = Vm.Waiters.refusedForMemory();
  State.RunsInEvacuatedDomains = Configurations.runsInEvacuatedDomains(Vm.Owner->states());
  return State;
}

schema::fleet_report makeFleetReport(const vm_components &Vm, const vm_roles &Roles,
                                     const configuration_exchange &Configurations) {
  schema::fleet_report Report;
  Report.set_vm(Vm.Options.Vm);
  *Report.add_vms() = makeVmReport(Vm.Self, Vm.Options.Address, true, Roles.placer());
  for (const auto &[Name, OtherVm] : Vm.View->others()) {
    schema::vm_report &Other = *Report.add_vms();
    Other = makeVmReport(OtherVm.Status, OtherVm.Address, OtherVm.InContact, Roles.placer());
    // The status is empty until the VM has sent one.
    Other.set_vm(Name);
  }
  std::vector<schema::server_state> States = Vm.Owner->states();
  for (const schema::server_state &State : States)
    *Report.add_servers() = makeServerReport(State, Vm.Options.Vm);
  fillQueues(Vm.Jobs->queueLengths(), *Report.mutable_queues());
  auto Runs = Configurations.runsInEvacuatedDomains(States);
  for (const evacuation &Evacuation : Configurations.evacuated().list())
    *Report.add_evacuations() =
        makeEvacuationReport(Evacuation, Vm.Executor.clock().now(), Runs.at(Evacuation.Domain));
  return Report;
}

} // namespace yuccaplank::dispatch
