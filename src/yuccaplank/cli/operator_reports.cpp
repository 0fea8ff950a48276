#include "yuccaplank/cli/operator_reports.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {
namespace {

// Reads the report from the reply. Returns the reason of a failure, or an empty string on success.
std::string readReport(const wire::http_call_result &Result, google::protobuf::Message &Report) {
  if (Result.Error)
    return Result.Error.message();
  if (Result.Status != 200)
    return fmt::format("HTTP status {}", Result.Status);
  return wire::readDocument(Result.Body, Report).empty() ? "" : "unreadable report";
}

// Requests the report of each VM. Prints an error for each VM that sends none, and adds its address to
// MissingVms.
template <typename Message>
void fetchReports(command_context &Context, const char *Path, std::vector<Message> &Reports,
                  std::vector<std::string> &MissingVms) {
  for (const std::string &Address : Context.Invocation.Global.Operators) {
    wire::http_call Call;
    Call.Address = Address;
    Call.Path = Path;
    Call.Timeout = Context.Invocation.Global.Timeout;
    Message Report;
    std::string Failure = readReport(Context.Requester.exchange(std::move(Call)), Report);
    if (Failure.empty()) {
      Reports.push_back(std::move(Report));
    } else {
      MissingVms.push_back(Address);
      Context.Console.printError(fmt::format("no report from {}: {}.", Address, Failure));
    }
  }
}

} // namespace

fleet_reports fetchFleetReports(command_context &Context) {
  fleet_reports Fleet;
  fetchReports(Context, "/v1/fleet", Fleet.Reports, Fleet.MissingVms);
  return Fleet;
}

fleet_burn_counts fetchBurnCounts(command_context &Context) {
  fleet_burn_counts Burn;
  fetchReports(Context, "/v1/burn", Burn.Counts, Burn.MissingVms);
  return Burn;
}

} // namespace yuccaplank::cli
