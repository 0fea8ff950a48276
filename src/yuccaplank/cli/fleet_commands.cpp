// vms, servers, top.
#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_client.hpp"
#include "yuccaplank/cli/output.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {
namespace {

using nlohmann::ordered_json;

constexpr runtime::duration RefreshInterval = std::chrono::seconds(1);
// Moves the cursor to the first cell and clears the screen (ECMA-48).
constexpr std::string_view ClearScreen = "\x1b[H\x1b[2J";

std::string vmTable(const ordered_json &Body) {
  std::vector<std::vector<std::string>> Rows{
      {"VM", "DOMAIN", "STATE", "DISPATCHER", "ADDRESS", "STARTED", "SILENT MS"}};
  for (const ordered_json &Vm : arrayOf(Body, "vms")) {
    auto Started = Vm.find("started_ms");
    bool Known = Started != Vm.end() && Started->is_number_integer();
    Rows.push_back({cell(Vm, "vm"), cell(Vm, "domain"), cell(Vm, "state"), cell(Vm, "dispatcher"),
                    cell(Vm, "address"), formatTime(Known ? Started->get<std::int64_t>() : 0),
                    cell(Vm, "silent_ms")});
  }
  return formatTable(Rows);
}

std::string serverTable(const ordered_json &Body) {
  std::vector<std::vector<std::string>> Rows{
      {"SERVER", "DOMAIN", "POOL", "ADDRESS", "STATE", "SPEED", "RUNNING", "SLOTS"}};
  for (const ordered_json &Server : arrayOf(Body, "servers"))
    Rows.push_back({cell(Server, "id"), cell(Server, "domain"), cell(Server, "pool"), cell(Server, "address"),
                    cell(Server, "state"), cell(Server, "speed"), cell(Server, "running"),
                    cell(Server, "slots")});
  return formatTable(Rows);
}

exit_status showTable(command_context &Context, const std::string &Path,
                      std::string (*Format)(const ordered_json &)) {
  fetched Reply = fetch(Context, Path);
  if (!Reply.ok())
    return Reply.Exit;
  Context.Console.Out(Context.Invocation.Global.Json ? Reply.Body.dump() + "\n" : Format(Reply.Body));
  return exit_status::Done;
}

struct top_section {
  const char *Path;
  std::string (*Format)(const ordered_json &);
};
constexpr top_section TopSections[] = {
    {"/v1/vms", vmTable}, {"/v1/reports/burn", formatBurnTable}, {"/v1/servers", serverTable}};

} // namespace

exit_status runVms(command_context &Context) { return showTable(Context, "/v1/vms", vmTable); }

exit_status runServers(command_context &Context) { return showTable(Context, "/v1/servers", serverTable); }

exit_status runTop(command_context &Context) {
  if (!Context.Console.OutputIsTerminal) {
    Context.Console.error("top needs a terminal.");
    return exit_status::Usage;
  }
  for (;;) {
    std::string Screen(ClearScreen);
    for (const top_section &Section : TopSections) {
      fetched Reply = fetch(Context, Section.Path);
      if (!Reply.ok())
        return Reply.Exit;
      Screen += Section.Format(Reply.Body) + "\n";
    }
    Context.Console.Out(Screen);
    Context.Requester.pause(RefreshInterval);
  }
}

} // namespace yuccaplank::cli
