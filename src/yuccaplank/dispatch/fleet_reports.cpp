#include "fleet_reports.hpp"

#include <cmath>

namespace yuccaplank::dispatch {

schema::vm_report makeVmReport(const schema::vm_status &Status, const std::string &Address, bool InContact,
                               const std::string &Placer) {
  schema::vm_report Report;
  Report.set_vm(Status.vm());
  Report.set_domain(Status.domain());
  Report.set_address(Address);
  Report.set_in_contact(InContact);
  Report.set_draining(Status.draining());
  Report.set_placing(!Placer.empty() && Status.vm() == Placer);
  Report.set_registration(Status.registration());
  Report.set_configuration_version(Status.configuration_version());
  Report.set_role(Status.role());
  return Report;
}

schema::server_report makeServerReport(const schema::server_state &State, const std::string &Owner) {
  schema::server_report Report;
  Report.set_server(State.server());
  Report.set_domain(State.domain());
  Report.set_pool(State.pool());
  Report.set_owner(Owner);
  Report.set_usable(State.usable());
  Report.set_slowness(std::exp(State.slowness()));
  Report.set_tasks(State.tasks());
  *Report.mutable_used() = State.used();
  *Report.mutable_capacity() = State.capacity();
  return Report;
}

schema::evacuation_report makeEvacuationReport(const evacuation &Evacuation, runtime::time_point Now,
                                               std::uint32_t Runs) {
  schema::evacuation_report Report;
  Report.set_domain(Evacuation.Domain);
  Report.set_source(Evacuation.Source);
  Report.set_version(Evacuation.Version);
  Report.set_known_ms(static_cast<std::uint64_t>(runtime::toMs(Now - Evacuation.KnownSince)));
  Report.set_runs(Runs);
  return Report;
}

} // namespace yuccaplank::dispatch
