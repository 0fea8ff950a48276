#include "yuccaplank/platform/caller_client.hpp"
#include "json_reader.hpp"
#include "yuccaplank/platform/documents.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace yuccaplank::platform {
namespace {

struct state_entry {
  std::string_view Name;
  caller_outcome Outcome;
};
constexpr auto States = std::to_array<state_entry>({
    {"completed", caller_outcome::Completed},
    {"failed", caller_outcome::Failed},
    {"cancelled", caller_outcome::Cancelled},
    {"queued", caller_outcome::Pending},
    {"running", caller_outcome::Pending},
});

wire::http_call makeCall(const char *Method, const std::string &EntryAddress, const queue_address &Queue,
                         const std::string &Name) {
  wire::http_call Call;
  Call.Method = Method;
  Call.Address = EntryAddress;
  Call.Host = Queue.Host;
  Call.Path = Queue.Path + Name;
  return Call;
}

caller_outcome outcomeOf(int Status) {
  switch (Status) {
  case 404:
  case 410:
    return caller_outcome::NotFound;
  case 429:
  case 503:
    return caller_outcome::Refused;
  case 400:
  case 405:
  case 413:
    return caller_outcome::Malformed;
  default:
    return caller_outcome::Unanswered;
  }
}

std::uint32_t parseRetryAfter(const wire::http_call_result &Result) {
  std::string_view Text = Result.header("retry-after");
  std::uint32_t Seconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  return Seconds;
}

caller_answer readState(const wire::http_call_result &Result) {
  json Body = parseJson(Result.Body);
  std::vector<field_issue> Issues;
  std::string State;
  object_reader(Body, "", Issues).requiredText("state", State);
  for (const state_entry &Entry : States)
    if (Entry.Name == State)
      return {Entry.Outcome, 0, State};
  return {caller_outcome::Unanswered, 0, "unreadable answer"};
}

} // namespace

wire::http_call makeSubmitCall(const std::string &EntryAddress, const queue_address &Queue,
                               const caller_job &Job) {
  wire::http_call Call = makeCall("POST", EntryAddress, Queue, dispatch::formatJob(Job.Id));
  json Step{{"count", Job.TaskCount},
            {"cpu", Job.TaskSize.cpu()},
            {"memory_limit_mb", Job.TaskSize.memory_mb()},
            {"estimated_ms", Job.EstimateMs}};
  if (Job.TaskSize.accelerators() > 0)
    Step["gpu"] = Job.TaskSize.accelerators();
  if (!Job.Rack.empty())
    Step["affinity"] = Job.Rack;
  if (Job.SameRack)
    Step["same_rack"] = true;
  json Body{
      {"specification", Job.Specification}, {"best_effort", true}, {"steps", json::array({std::move(Step)})}};
  Call.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  Call.Headers = {{"content-type", "application/json"}};
  if (Job.DeadlineMs > 0)
    Call.Headers.push_back({DeadlineHeader, std::to_string(Job.DeadlineMs)});
  return Call;
}

wire::http_call makeStateCall(const std::string &EntryAddress, const queue_address &Queue,
                              dispatch::job_id Job) {
  return makeCall("GET", EntryAddress, Queue, dispatch::formatJob(Job));
}

wire::http_call makeCancelCall(const std::string &EntryAddress, const queue_address &Queue,
                               dispatch::job_id Job) {
  return makeCall("DELETE", EntryAddress, Queue, dispatch::formatJob(Job));
}

wire::http_call makeWaitingCountCall(const std::string &EntryAddress, const queue_address &Queue) {
  return makeCall("GET", EntryAddress, Queue, "");
}

caller_answer decodeCallerAnswer(const wire::http_call_result &Result) {
  if (Result.Error)
    return {caller_outcome::Unanswered, 0, Result.Error.message()};
  if (Result.Status >= 200 && Result.Status < 300)
    return readState(Result);
  return {outcomeOf(Result.Status), parseRetryAfter(Result), fmt::format("HTTP status {}", Result.Status)};
}

std::optional<std::uint32_t> decodeWaitingCount(const wire::http_call_result &Result) {
  if (Result.Error || Result.Status != 200)
    return std::nullopt;
  json Body = parseJson(Result.Body);
  std::vector<field_issue> Issues;
  std::uint32_t Waiting = 0;
  object_reader(Body, "", Issues).requiredInteger("waiting_count", Waiting);
  return Issues.empty() ? std::optional(Waiting) : std::nullopt;
}

} // namespace yuccaplank::platform
