// Commands "vms", "servers" and "top".
#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_reports.hpp"
#include "yuccaplank/cli/output.hpp"
#include "yuccaplank/wire/document_writer.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

constexpr runtime::duration RefreshInterval = std::chrono::seconds(1);
// Escape sequence that moves the cursor to the first cell and clears the screen (ECMA-48).
constexpr std::string_view ClearScreen = "\x1b[H\x1b[2J";

const char *yesOrNo(bool Value) { return Value ? "yes" : "no"; }

const char *roleName(schema::vm_role Role) {
  switch (Role) {
  case schema::VM_DISPATCHES:
    return "dispatches";
  case schema::VM_RETIRES:
    return "retires";
  case schema::VM_RELAYS:
    return "relays";
  default:
    return "unknown";
  }
}

// Uses the report that lists the most VMs, because a VM that relays knows only a few of the others.
std::string formatVmTable(const fleet_reports &Fleet) {
  const schema::fleet_report &MostComplete =
      *std::ranges::max_element(Fleet.Reports, {}, [](const auto &Report) { return Report.vms_size(); });
  std::vector<std::vector<std::string>> Rows{{"VM", "DOMAIN", "ADDRESS", "IN CONTACT", "ROLE", "DRAINING",
                                              "PLACING", "REGISTRATION", "CONFIGURATION"}};
  for (const schema::vm_report &Vm : MostComplete.vms())
    Rows.push_back({Vm.vm(), Vm.domain(), Vm.address(), yesOrNo(Vm.in_contact()), roleName(Vm.role()),
                    yesOrNo(Vm.draining()), yesOrNo(Vm.placing()), std::to_string(Vm.registration()),
                    std::to_string(Vm.configuration_version())});
  return formatTable(Rows);
}

// Combines the reports of all VMs, because each server is reported only by the VM that owns it.
std::string formatServerTable(const fleet_reports &Fleet) {
  std::vector<std::vector<std::string>> Rows{
      {"SERVER", "DOMAIN", "POOL", "OWNER", "USABLE", "SLOWNESS", "TASKS", "CORES"}};
  for (const schema::fleet_report &Report : Fleet.Reports)
    for (const schema::server_report &Server : Report.servers())
      Rows.push_back({Server.server(), Server.domain(), Server.pool(), Server.owner(),
                      yesOrNo(Server.usable()), fmt::format("{:.2f}", Server.slowness()),
                      std::to_string(Server.tasks()),
                      formatCores(Server.used().cpu(), Server.capacity().cpu())});
  return formatTable(Rows);
}

exit_status printFleet(command_context &Context, std::string (*Format)(const fleet_reports &)) {
  fleet_reports Fleet = fetchFleetReports(Context);
  if (Fleet.Reports.empty())
    return exit_status::OtherError;
  if (!Context.Invocation.Global.Json) {
    Context.Console.Out(Format(Fleet));
    return exit_status::Done;
  }
  for (const schema::fleet_report &Report : Fleet.Reports)
    Context.Console.Out(wire::writeDocument(Report) + "\n");
  return exit_status::Done;
}

} // namespace

exit_status runVms(command_context &Context) { return printFleet(Context, formatVmTable); }

exit_status runServers(command_context &Context) { return printFleet(Context, formatServerTable); }

exit_status runTop(command_context &Context) {
  if (!Context.Console.OutputIsTerminal) {
    Context.Console.printError("top needs a terminal.");
    return exit_status::Usage;
  }
  for (;;) {
    fleet_reports Fleet = fetchFleetReports(Context);
    fleet_burn_counts Burn = fetchBurnCounts(Context);
    if (Fleet.Reports.empty())
      return exit_status::OtherError;
    Context.Console.Out(fmt::format("{}{}\n{}\n{}", ClearScreen, formatVmTable(Fleet),
                                    formatBurnTable(mergeBurn(Burn.Counts), Burn.MissingVms),
                                    formatServerTable(Fleet)));
    Context.Requester.sleepFor(RefreshInterval);
  }
}

} // namespace yuccaplank::cli
