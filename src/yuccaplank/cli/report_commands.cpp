// Command "report burn".
#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_reports.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {

exit_status runReportBurn(command_context &Context) {
  fleet_burn_counts Burn = fetchBurnCounts(Context);
  if (Burn.Counts.empty())
    return exit_status::OtherError;
  std::vector<burn_line> Lines = mergeBurn(Burn.Counts);
  std::string File = Context.Invocation.stringOption("html");
  if (!File.empty() && !Context.Console.WriteFile(File, formatBurnHtml(Lines, Burn.MissingVms))) {
    Context.Console.printError(fmt::format("cannot write {}.", File));
    return exit_status::OtherError;
  }
  if (Context.Invocation.Global.Json)
    Context.Console.Out(formatBurnJson(Lines) + "\n");
  else if (File.empty())
    Context.Console.Out(formatBurnTable(Lines, Burn.MissingVms));
  return exit_status::Done;
}

} // namespace yuccaplank::cli
