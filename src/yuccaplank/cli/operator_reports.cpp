#include "yuccaplank/cli/operator_reports.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {
namespace {

// Why an exchange gave no report; empty when it did.
std::string readReport(const wire::http_call_result &Result, google::protobuf::Message &Report) {
  if (Result.Error)
    return Result.Error.message();
  if (Result.Status != 200)
    return fmt::format("HTTP status {}", Result.Status);
  return wire::readDocument(Result.Body, Report).empty() ? "" : "unreadable report";
}

// Asks each VM for its report. What fails is reported on the console.
template <typename Message>
void fetch(command_context &Context, const char *Path, std::vector<Message> &Reports,
           std::vector<std::string> &Silent) {
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
      Silent.push_back(Address);
      Context.Console.error(fmt::format("no report from {}: {}.", Address, Failure));
    }
  }
}

} // namespace

fleet_answers fetchFleet(command_context &Context) {
  fleet_answers Answers;
  fetch(Context, "/v1/fleet", Answers.Reports, Answers.Silent);
  return Answers;
}

burn_answers fetchBurn(command_context &Context) {
  burn_answers Answers;
  fetch(Context, "/v1/burn", Answers.Counts, Answers.Silent);
  return Answers;
}

} // namespace yuccaplank::cli
