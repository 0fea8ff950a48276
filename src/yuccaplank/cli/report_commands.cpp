// report burn.
#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_reports.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {

exit_status runReportBurn(command_context &Context) {
  burn_answers Answers = fetchBurn(Context);
  if (Answers.Counts.empty())
    return exit_status::OtherError;
  std::vector<burn_line> Lines = mergeBurn(Answers.Counts);
  std::string File = Context.Invocation.text("html");
  if (!File.empty() && !Context.Console.WriteFile(File, formatBurnHtml(Lines, Answers.Silent))) {
    Context.Console.error(fmt::format("cannot write {}.", File));
    return exit_status::OtherError;
  }
  if (Context.Invocation.Global.Json)
    Context.Console.Out(formatBurnJson(Lines) + "\n");
  else if (File.empty())
    Context.Console.Out(formatBurnTable(Lines, Answers.Silent));
  return exit_status::Done;
}

} // namespace yuccaplank::cli
