// report burn.
#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_client.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {

exit_status runReportBurn(command_context &Context) {
  fetched Reply = fetch(Context, "/v1/reports/burn");
  if (!Reply.ok())
    return Reply.Exit;
  std::string File = Context.Invocation.text("html");
  if (!File.empty() && !Context.Console.WriteFile(File, formatBurnHtml(Reply.Body))) {
    Context.Console.error(fmt::format("cannot write {}.", File));
    return exit_status::OtherError;
  }
  if (Context.Invocation.Global.Json)
    Context.Console.Out(Reply.Body.dump() + "\n");
  else if (File.empty())
    Context.Console.Out(formatBurnTable(Reply.Body));
  return exit_status::Done;
}

} // namespace yuccaplank::cli
