// vms, servers, top.
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
// Moves the cursor to the first cell and clears the screen (ECMA-48).
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

// The fleet as the VM sees it that has answered and knows most of it; one that relays knows few others.
std::string vmTable(const fleet_answers &Answers) {
  const schema::fleet_report &Widest =
      *std::ranges::max_element(Answers.Reports, {}, [](const auto &Report) { return Report.vms_size(); });
  std::vector<std::vector<std::string>> Rows{{"VM", "DOMAIN", "ADDRESS", "IN CONTACT", "ROLE", "DRAINING",
                                              "PLACING", "REGISTRATION", "CONFIGURATION"}};
  for (const schema::vm_report &Vm : Widest.vms())
    Rows.push_back({Vm.vm(), Vm.domain(), Vm.address(), yesOrNo(Vm.in_contact()), roleName(Vm.role()),
                    yesOrNo(Vm.draining()), yesOrNo(Vm.placing()), std::to_string(Vm.registration()),
                    std::to_string(Vm.configuration_version())});
  return formatTable(Rows);
}

// Each server is reported by the VM that owns it.
std::string serverTable(const fleet_answers &Answers) {
  std::vector<std::vector<std::string>> Rows{
      {"SERVER", "DOMAIN", "POOL", "OWNER", "USABLE", "SLOWNESS", "TASKS", "CORES"}};
  for (const schema::fleet_report &Report : Answers.Reports)
    for (const schema::server_report &Server : Report.servers())
      Rows.push_back({Server.server(), Server.domain(), Server.pool(), Server.owner(),
                      yesOrNo(Server.usable()), fmt::format("{:.2f}", Server.slowness()),
                      std::to_string(Server.tasks()),
                      formatCores(Server.used().cpu(), Server.capacity().cpu())});
  return formatTable(Rows);
}

exit_status show(command_context &Context, std::string (*Format)(const fleet_answers &)) {
  fleet_answers Answers = fetchFleet(Context);
  if (Answers.Reports.empty())
    return exit_status::OtherError;
  if (!Context.Invocation.Global.Json) {
    Context.Console.Out(Format(Answers));
    return exit_status::Done;
  }
  for (const schema::fleet_report &Report : Answers.Reports)
    Context.Console.Out(wire::writeDocument(Report) + "\n");
  return exit_status::Done;
}

} // namespace

exit_status runVms(command_context &Context) { return show(Context, vmTable); }

exit_status runServers(command_context &Context) { return show(Context, serverTable); }

exit_status runTop(command_context &Context) {
  if (!Context.Console.OutputIsTerminal) {
    Context.Console.error("top needs a terminal.");
    return exit_status::Usage;
  }
  for (;;) {
    fleet_answers Fleet = fetchFleet(Context);
    burn_answers Burn = fetchBurn(Context);
    if (Fleet.Reports.empty())
      return exit_status::OtherError;
    Context.Console.Out(fmt::format("{}{}\n{}\n{}", ClearScreen, vmTable(Fleet),
                                    formatBurnTable(mergeBurn(Burn.Counts), Burn.Silent),
                                    serverTable(Fleet)));
    Context.Requester.pause(RefreshInterval);
  }
}

} // namespace yuccaplank::cli
