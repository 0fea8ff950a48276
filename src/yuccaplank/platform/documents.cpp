#include "yuccaplank/platform/documents.hpp"
#include "json_reader.hpp"
#include "yuccaplank/platform/configuration_check.hpp"
#include "yuccaplank/platform/store_client.hpp"
#include "yuccaplank/wire/socket_address.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace yuccaplank::platform {
namespace {

using runtime::errc;

constexpr auto StateNames =
    std::to_array<std::string_view>({"queued", "running", "completed", "failed", "cancelled"});

void readTaskSize(const json &Value, const std::string &Path, schema::task_size &Size,
                  std::vector<field_issue> &Issues) {
  object_reader Reader(Value, Path, Issues);
  std::uint32_t Cpu = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  Reader.optionalInteger("cpu", Cpu);
  Reader.optionalInteger("memory_limit_mb", MemoryMb);
  Reader.optionalInteger("gpu", Accelerators);
  Size.set_cpu(Cpu);
  Size.set_memory_mb(MemoryMb);
  Size.set_accelerators(Accelerators);
}

dispatch::queue_settings readQueue(const json &Value, const std::string &Path,
                                   std::vector<field_issue> &Issues) {
  dispatch::queue_settings Queue;
  object_reader Reader(Value, Path, Issues);
  Reader.requiredText("name", Queue.Name);
  Reader.requiredText("host", Queue.Host);
  Reader.requiredText("path_prefix", Queue.PathPrefix);
  Reader.requiredText("service", Queue.Pool);
  Reader.optionalInteger("priority", Queue.Priority);
  Reader.optionalInteger("max_attempts", Queue.MaxAttempts);
  Reader.optionalNumber("stretch", Queue.Stretch);
  Reader.optionalInteger("target_latency_ms", Queue.LatencyMs);
  Reader.optionalInteger("timeout_ms", Queue.TimeoutMs);
  Queue.NeedsAdvice = Value.is_object() && Value.contains("advice") && !Value.at("advice").is_null();
  return Queue;
}

dispatch::configuration readConfiguration(const json &Document, std::vector<field_issue> &Issues) {
  dispatch::configuration Configuration;
  object_reader Reader(Document, "", Issues);
  Reader.requiredInteger("version", Configuration.Version);
  std::size_t Index = 0;
  for (const json &Route : Reader.child("routes", true, true))
    Configuration.Queues.push_back(readQueue(Route, "routes[" + std::to_string(Index++) + "]", Issues));
  object_reader Limits(Reader.child("limits", false, false), "limits", Issues);
  Limits.optionalInteger("max_body_bytes", Configuration.Limits.MaxBodyBytes);
  return Configuration;
}

// Reads a list of objects with names, or an object whose keys are the names. Returns nullopt if the field is
// missing or null.
std::optional<std::vector<std::string>> readServiceNames(const json &Document,
                                                         std::vector<field_issue> &Issues) {
  auto Services = Document.find("services");
  if (Services == Document.end() || Services->is_null())
    return std::nullopt;
  std::vector<std::string> Names;
  if (Services->is_object()) {
    for (const auto &[Name, Service] : Services->items())
      Names.push_back(Name);
    return Names;
  }
  std::size_t Index = 0;
  object_reader Reader(Document, "", Issues);
  for (const json &Service : Reader.child("services", false, true)) {
    object_reader Entry(Service, "services[" + std::to_string(Index++) + "]", Issues);
    Entry.requiredText("name", Names.emplace_back());
  }
  return Names;
}

step_document readStep(const json &Value, const std::string &Path, std::vector<field_issue> &Issues) {
  step_document Step;
  object_reader Reader(Value, Path, Issues);
  Reader.requiredInteger("count", Step.TaskCount);
  readTaskSize(Value, Path, Step.TaskSize, Issues);
  Reader.optionalInteger("estimated_ms", Step.EstimateMs);
  Step.Dependencies = Reader.child("after", false, true).size();
  Reader.optionalFlag("gang", Step.Gang);
  Reader.optionalFlag("long_running", Step.LongRunning);
  Reader.optionalFlag("fills", Step.FillsUnusedCapacity);
  Reader.optionalText("requirements", Step.RequiredLabel);
  Reader.optionalInteger("anti_affinity", Step.MaxPerServer);
  Reader.optionalText("affinity", Step.Rack);
  Reader.optionalFlag("same_rack", Step.SameRack);
  return Step;
}

// A server's labels include its kind and its rack; the label of a rack has the form "rNUMBER-NUMBER".
bool isRackLabel(std::string_view Label) {
  return Label.size() >= 4 && Label[0] == 'r' && Label.find('-') != std::string_view::npos;
}

} // namespace

runtime::result<dispatch::configuration> decodeConfiguration(std::string_view Text) {
  std::vector<field_issue> Issues;
  dispatch::configuration Configuration = readConfiguration(parseJson(Text), Issues);
  if (!Issues.empty())
    return make_error_code(errc::MalformedDocument);
  return Configuration;
}

configuration_document readConfigurationDocument(std::string_view Text) {
  configuration_document Result;
  json Document = parseJson(Text);
  std::vector<field_issue> Issues;
  if (Document.is_object()) {
    Result.Configuration = readConfiguration(Document, Issues);
    Result.Services = readServiceNames(Document, Issues);
  } else {
    Issues.push_back({errc::MalformedDocument, ""});
  }
  for (const field_issue &Issue : Issues)
    Result.Errors.push_back({finding_level::Error, Issue.Path, std::string(runtime::errcName(Issue.Reason))});
  return Result;
}

runtime::result<std::string> decodeEvacuation(std::string_view Key, std::string_view Text) {
  if (!Key.starts_with(EvacuationKeyPrefix) || !parseJson(Text).is_object())
    return make_error_code(errc::MalformedDocument);
  return std::string(Key.substr(EvacuationKeyPrefix.size()));
}

runtime::result<dispatch::server_entry> decodeServer(const std::string &Id, std::string_view Text) {
  json Document = parseJson(Text);
  std::vector<field_issue> Issues;
  dispatch::server_entry Entry;
  Entry.Target.Id = Id;
  std::string State;
  object_reader Reader(Document, "", Issues);
  Reader.requiredText("service", Entry.Pool);
  Reader.requiredText("address", Entry.Target.Address);
  Reader.requiredText("zone", Entry.Domain);
  Reader.requiredText("state", State);
  readTaskSize(Reader.child("capacity", true, false), "capacity", Entry.Capacity, Issues);
  for (const json &Label : Reader.child("labels", false, true))
    if (Label.is_string() && isRackLabel(Label.get<std::string>()))
      Entry.Rack = Label.get<std::string>();
  if (Entry.Rack.empty())
    Entry.Rack = Id;
  Entry.Draining = State == "draining";
  Reader.optionalInteger("born", Entry.IncarnationStartMs);
  auto Address = wire::parseSocketAddress(Entry.Target.Address);
  if (!Issues.empty() || (State != "ready" && State != "draining") || !Address || Address.value().port() == 0)
    return make_error_code(errc::MalformedDocument);
  return Entry;
}

runtime::result<job_document> decodeJob(std::string_view Text) {
  json Document = parseJson(Text);
  std::vector<field_issue> Issues;
  job_document Job;
  object_reader Reader(Document, "", Issues);
  Reader.optionalText("specification", Job.Specification);
  std::size_t Index = 0;
  for (const json &Step : Reader.child("steps", true, true))
    Job.Steps.push_back(readStep(Step, "steps[" + std::to_string(Index++) + "]", Issues));
  Reader.optionalFlag("best_effort", Job.BestEffort);
  Reader.optionalInteger("repetitions", Job.Repetitions);
  if (!Issues.empty())
    return make_error_code(errc::MalformedDocument);
  return Job;
}

std::string encodeState(caller_job_state State) {
  return json{{"state", StateNames.at(static_cast<std::size_t>(State))}}.dump();
}

std::string encodeError(const char *Reason) { return json{{"error", Reason}}.dump(); }

std::string encodeWaitingCount(std::uint32_t Waiting) { return json{{"waiting_count", Waiting}}.dump(); }

} // namespace yuccaplank::platform
