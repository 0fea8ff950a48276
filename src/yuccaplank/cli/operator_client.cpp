#include "yuccaplank/cli/operator_client.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <fmt/format.h>

namespace yuccaplank::cli {

using nlohmann::ordered_json;

operator_session makeOperatorSession(const command_context &Context) {
  const global_options &Global = Context.Invocation.Global;
  return {Context.Requester, Global.Operator, Global.Token};
}

fetched fetch(command_context &Context, const std::string &Path, bool AllowMissing) {
  const global_options &Global = Context.Invocation.Global;
  operator_session Session = makeOperatorSession(Context);
  wire::http_call_result Result = Session.send("GET", Path, "", Global.Timeout);
  fetched Fetched;
  Fetched.Exit = exit_status::OtherError;
  if (Result.Error) {
    Context.Console.error(fmt::format("no answer from {}: {}.", Global.Operator, Result.Error.message()));
    return Fetched;
  }
  Fetched.Status = Result.Status;
  Fetched.Body = ordered_json::parse(Result.Body, nullptr, false);
  bool Missing = AllowMissing && Result.Status == 404;
  if (Missing || (Result.Status == 200 && Fetched.Body.is_object()))
    Fetched.Exit = exit_status::Done;
  else
    Context.Console.error(
        fmt::format("{} answered: {}.", Global.Operator, reasonOf(Fetched.Body, Result.Status)));
  return Fetched;
}

std::optional<schema::service_revision> readRevision(const ordered_json &Object) {
  if (!Object.is_object() || !Object.contains("document"))
    return std::nullopt;
  schema::service_revision Revision;
  auto Number = Object.find("revision");
  auto Change = Object.find("change_id");
  auto Committed = Object.find("committed_ms");
  if (Number == Object.end() || !Number->is_number_unsigned())
    return std::nullopt;
  Revision.set_revision(Number->get<std::uint64_t>());
  if (Change != Object.end() && Change->is_string())
    Revision.set_change_id(Change->get<std::string>());
  if (Committed != Object.end() && Committed->is_number_integer())
    Revision.set_committed_ms(Committed->get<std::int64_t>());
  if (!wire::readDocument(Object["document"].dump(), *Revision.mutable_document()).empty())
    return std::nullopt;
  return Revision;
}

ordered_json arrayOf(const ordered_json &Body, const char *Member) {
  auto Found = Body.find(Member);
  return Found != Body.end() && Found->is_array() ? *Found : ordered_json::array();
}

std::string cell(const ordered_json &Object, const char *Member) {
  auto Found = Object.find(Member);
  if (Found == Object.end() || Found->is_null())
    return "-";
  if (Found->is_string())
    return Found->get<std::string>();
  if (Found->is_boolean())
    return Found->get<bool>() ? "yes" : "no";
  if (Found->is_number_float())
    return fmt::format("{:.2f}", Found->get<double>());
  return Found->dump();
}

std::string reasonOf(const ordered_json &Body, int Status) {
  if (Body.is_object() && Body.contains("reason") && Body["reason"].is_string())
    return Body["reason"].get<std::string>();
  return fmt::format("HTTP status {}", Status);
}

} // namespace yuccaplank::cli
