// Commands "evacuations", "evacuate" and "take-back".
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_reports.hpp"
#include "yuccaplank/cli/output.hpp"
#include "yuccaplank/cli/session.hpp"
#include "yuccaplank/wire/document_writer.hpp"
#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace yuccaplank::cli {
namespace {

constexpr double MsPerSecond = 1000;

using evacuation_key = std::pair<std::string, schema::evacuation_source>;

// Combines the reports of all VMs: each reports the runs on the servers that it owns.
std::map<evacuation_key, schema::evacuation_report> mergeEvacuations(const fleet_reports &Fleet) {
  std::map<evacuation_key, schema::evacuation_report> Result;
  for (const schema::fleet_report &Report : Fleet.Reports)
    for (const schema::evacuation_report &Reported : Report.evacuations()) {
      auto [Entry, IsNew] = Result.try_emplace({Reported.domain(), Reported.source()}, Reported);
      schema::evacuation_report &Evacuation = Entry->second;
      if (IsNew)
        continue;
      Evacuation.set_runs(Evacuation.runs() + Reported.runs());
      Evacuation.set_known_ms(std::max(Evacuation.known_ms(), Reported.known_ms()));
      Evacuation.set_version(std::min(Evacuation.version(), Reported.version()));
    }
  return Result;
}

const char *sourceName(schema::evacuation_source Source) {
  return Source == schema::EVACUATION_PLATFORM ? "platform" : "operator";
}

exit_status changeEvacuation(command_context &Context, const char *Method, const char *Done) {
  std::string Domain = Context.Invocation.stringOption("DOMAIN");
  entry_session Session(Context.Requester, Context.Invocation.Global.Operators);
  wire::http_call_result Result = Session.exchangeWithAny(
      [&](const std::string &Address) {
        wire::http_call Call;
        Call.Method = Method;
        Call.Address = Address;
        Call.Path = "/v1/evacuations/" + wire::percentEncode(Domain);
        return Call;
      },
      Context.Invocation.Global.Timeout);
  if (Result.Error) {
    Context.Console.printError(fmt::format("no answer: {}.", Result.Error.message()));
    return Result.Stage == wire::transfer_stage::NothingWritten ? exit_status::OtherError
                                                                : exit_status::Unknown;
  }
  if (Result.Status == 200) {
    Context.Console.Out(fmt::format("{} {}.\n", Domain, Done));
    return exit_status::Done;
  }
  auto Body = nlohmann::json::parse(Result.Body, nullptr, false);
  std::string Reason = Body.is_object() && Body.contains("error") && Body["error"].is_string()
                           ? Body["error"].get<std::string>()
                           : fmt::format("HTTP status {}", Result.Status);
  Context.Console.printError(fmt::format("{}: {}.", Domain, Reason));
  // Without an answer of the store, the change may still be carried out.
  return Result.Status == 503 ? exit_status::Unknown : exit_status::OtherError;
}

} // namespace

exit_status runEvacuations(command_context &Context) {
  fleet_reports Fleet = fetchFleetReports(Context);
  if (Fleet.Reports.empty())
    return exit_status::OtherError;
  std::vector<std::vector<std::string>> Rows{
      {"DOMAIN", "REQUESTED BY", "STATE", "KNOWN FOR", "RUNS", "VERSION"}};
  for (const auto &[Key, Evacuation] : mergeEvacuations(Fleet)) {
    if (Context.Invocation.Global.Json)
      Context.Console.Out(wire::writeDocument(Evacuation) + "\n");
    double KnownSeconds = static_cast<double>(Evacuation.known_ms()) / MsPerSecond;
    Rows.push_back({Evacuation.domain(), sourceName(Evacuation.source()),
                    Evacuation.runs() == 0 ? "empty" : "emptying", fmt::format("{:.1f} s", KnownSeconds),
                    std::to_string(Evacuation.runs()), std::to_string(Evacuation.version())});
  }
  if (!Context.Invocation.Global.Json)
    Context.Console.Out(formatTable(Rows));
  return exit_status::Done;
}

exit_status runEvacuate(command_context &Context) { return changeEvacuation(Context, "PUT", "is evacuated"); }

exit_status runTakeBack(command_context &Context) {
  return changeEvacuation(Context, "DELETE", "is taken back");
}

} // namespace yuccaplank::cli
