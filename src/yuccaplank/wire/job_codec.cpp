#include "yuccaplank/wire/job_codec.hpp"

#include "yuccaplank/wire/document_checks.hpp"
#include "yuccaplank/wire/document_reader.hpp"
#include "yuccaplank/wire/document_writer.hpp"
#include "yuccaplank/wire/message_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <optional>
#include <unordered_set>
#include <utility>

namespace yuccaplank::wire {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using runtime::errc;

// Base64 turns groups of 3 bytes into 4 characters.
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

std::string encodeBase64(const std::string &Bytes) {
  std::string Text((Bytes.size() + GroupBytes - 1) / GroupBytes * GroupCharacters, '\0');
  // The encoder adds a final null character, for which std::string has room.
  EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                  reinterpret_cast<const unsigned char *>(Bytes.data()), static_cast<int>(Bytes.size()));
  return Text;
}

std::optional<std::string> decodeBase64(const std::string &Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % GroupCharacters != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / GroupCharacters * GroupBytes, '\0');
  int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()), static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  // The decoder counts padding as bytes.
  std::size_t Padding = Text.ends_with("==") ? 2 : (Text.ends_with('=') ? 1 : 0);
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

struct outcome_name {
  schema::outcome_kind Outcome;
  std::string_view Name;
};
constexpr auto OutcomeNames = std::to_array<outcome_name>({
    {schema::OUTCOME_DONE, "done"},
    {schema::OUTCOME_FAILED, "failed"},
    {schema::OUTCOME_REFUSED, "refused"},
    {schema::OUTCOME_UNKNOWN, "unknown"},
    {schema::OUTCOME_PENDING, "pending"},
});

struct outcome_status {
  schema::outcome_kind Outcome;
  int Status;
};
constexpr auto OutcomeStatus = std::to_array<outcome_status>({
    {schema::OUTCOME_DONE, 200},
    {schema::OUTCOME_FAILED, 502},
    {schema::OUTCOME_UNKNOWN, 410},
    {schema::OUTCOME_PENDING, 202},
});

struct refusal_status {
  errc Reason;
  int Status;
};
// Reasons of refusals; all others are temporary conditions of the system.
constexpr auto RefusalStatus = std::to_array<refusal_status>({
    {errc::MalformedDocument, 400}, {errc::InvalidId, 400},        {errc::Unauthorized, 401},
    {errc::UnknownService, 404},    {errc::UnknownPath, 404},      {errc::NotFound, 404},
    {errc::MethodNotAllowed, 405},  {errc::RequestTimeout, 408},   {errc::IdReused, 409},
    {errc::Cancelled, 409},         {errc::RevisionConflict, 409}, {errc::BodyTooLarge, 413},
    {errc::UnknownField, 422},      {errc::WrongType, 422},        {errc::OutOfRange, 422},
    {errc::MissingField, 422},      {errc::TooManyTasks, 422},     {errc::DuplicateTaskName, 422},
    {errc::DeadlinePassed, 422},    {errc::IdRequired, 422},       {errc::NoFitServer, 422},
    {errc::QuotaExceeded, 429},
});
constexpr int StatusUnavailable = 503;

const google::protobuf::FieldDescriptor *deadlineField() {
  return schema::job::descriptor()->FindFieldByNumber(schema::job::kDeadlineMsFieldNumber);
}

void checkTask(document_checks &Checks, const std::string &Path, const schema::task &Task) {
  Checks.requireName(Path + ".name", Task.name(), name_rule::Task);
  if (!Task.kind().empty())
    Checks.requireName(Path + ".kind", Task.kind(), name_rule::Task);
  if (Task.declared_ms() < 0)
    Checks.add(errc::OutOfRange, Path + ".declared_ms", "number of at least 0");
}

std::vector<document_issue> checkJob(const schema::job &Job) {
  document_checks Checks;
  Checks.requireName("service", Job.service(), name_rule::Service);
  if (Job.tasks().empty())
    Checks.add(errc::MissingField, "tasks", fmt::format("1 to {} tasks", MaxTasksPerJob));
  if (Job.tasks_size() > MaxTasksPerJob) {
    Checks.add(errc::TooManyTasks, "tasks", fmt::format("1 to {} tasks", MaxTasksPerJob));
    return Checks.take();
  }
  std::unordered_set<std::string_view> Names;
  for (int Index = 0; Index < Job.tasks_size(); ++Index) {
    const schema::task &Task = Job.tasks(Index);
    std::string Path = fmt::format("tasks[{}]", Index);
    checkTask(Checks, Path, Task);
    if (!Task.name().empty() && !Names.insert(Task.name()).second)
      Checks.add(errc::DuplicateTaskName, Path + ".name", "name that no other task of the job has");
  }
  return Checks.take();
}

ordered_json resultToJson(const schema::task_result &Result) {
  ordered_json Object = {{"name", Result.name()}};
  if (isUtf8(Result.payload()))
    Object["payload"] = Result.payload();
  else
    Object["payload_base64"] = encodeBase64(Result.payload());
  return Object;
}

// Reads one result; false when it is malformed.
bool readResult(const json &Object, schema::task_result &Result) {
  Result.set_name(Object.at("name").get<std::string>());
  if (!Object.contains("payload_base64")) {
    Result.set_payload(Object.at("payload").get<std::string>());
    return true;
  }
  auto Bytes = decodeBase64(Object["payload_base64"].get<std::string>());
  if (Bytes)
    Result.set_payload(*Bytes);
  return Bytes.has_value();
}

schema::outcome_kind outcomeFromName(std::string_view Name) {
  for (const outcome_name &Entry : OutcomeNames)
    if (Entry.Name == Name)
      return Entry.Outcome;
  return schema::OUTCOME_UNSPECIFIED;
}

std::string_view outcomeName(schema::outcome_kind Outcome) {
  for (const outcome_name &Entry : OutcomeNames)
    if (Entry.Outcome == Outcome)
      return Entry.Name;
  return "unknown";
}

// Reads an answer; false when it is malformed. Throws json::exception on wrong types.
bool fillAnswer(const json &Object, schema::job_answer &Answer) {
  Answer.set_outcome(outcomeFromName(Object.at("outcome").get<std::string>()));
  Answer.set_id(Object.value("id", ""));
  Answer.set_reason(Object.value("reason", ""));
  Answer.set_subject(Object.value("subject", ""));
  if (Object.contains("retry_after_ms")) {
    const json &Value = Object["retry_after_ms"];
    if (!Value.is_number_unsigned() || !std::in_range<std::uint32_t>(Value.get<std::uint64_t>()))
      return false;
    Answer.set_retry_after_ms(Value.get<std::uint32_t>());
  }
  if (Object.contains("results"))
    for (const json &Result : Object["results"])
      if (!readResult(Result, *Answer.add_results()))
        return false;
  return Answer.outcome() != schema::OUTCOME_UNSPECIFIED;
}

} // namespace

std::vector<document_issue> readJob(std::string_view Text, schema::job &Job) {
  auto Issues = readMessage(Text, Job, {deadlineField(), errc::DeadlinePassed});
  if (!Issues.empty())
    return Issues;
  Issues = checkJob(Job);
  locateIssues(Text, Job, Issues);
  return Issues;
}

std::string writeJob(const schema::job &Job) { return writeDocument(Job); }

std::string writeAnswer(const schema::job_answer &Answer) {
  ordered_json Object = ordered_json::object();
  if (!Answer.id().empty())
    Object["id"] = Answer.id();
  Object["outcome"] = outcomeName(Answer.outcome());
  if (Answer.outcome() == schema::OUTCOME_REFUSED)
    Object["run"] = false;
  if (Answer.outcome() == schema::OUTCOME_FAILED || Answer.outcome() == schema::OUTCOME_UNKNOWN)
    Object["may_have_run"] = true;
  if (!Answer.reason().empty())
    Object["reason"] = Answer.reason();
  if (!Answer.subject().empty())
    Object["subject"] = Answer.subject();
  if (Answer.retry_after_ms() != 0)
    Object["retry_after_ms"] = Answer.retry_after_ms();
  if (Answer.outcome() == schema::OUTCOME_DONE) {
    auto &Results = Object["results"] = ordered_json::array();
    for (const schema::task_result &Result : Answer.results())
      Results.push_back(resultToJson(Result));
  }
  return Object.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

runtime::result<schema::job_answer> readAnswer(std::string_view Text) {
  schema::job_answer Answer;
  try {
    if (fillAnswer(json::parse(Text), Answer))
      return Answer;
  } catch (const json::exception &) {
    return errc::MalformedDocument;
  }
  return errc::MalformedDocument;
}

int httpStatus(const schema::job_answer &Answer) {
  for (const outcome_status &Entry : OutcomeStatus)
    if (Entry.Outcome == Answer.outcome())
      return Entry.Status;
  errc Reason = runtime::errcFromName(Answer.reason());
  for (const refusal_status &Entry : RefusalStatus)
    if (Entry.Reason == Reason)
      return Entry.Status;
  return StatusUnavailable;
}

http_reply answerReply(const schema::job_answer &Answer) {
  constexpr std::uint32_t MsPerSecond = 1000;
  http_reply Reply;
  Reply.Status = httpStatus(Answer);
  Reply.Body = writeAnswer(Answer);
  if (Answer.retry_after_ms() != 0)
    Reply.Headers.push_back(
        {"Retry-After",
         std::to_string((std::uint64_t{Answer.retry_after_ms()} + MsPerSecond - 1) / MsPerSecond)});
  return Reply;
}

bool neverDelivered(const schema::job_answer &Answer) {
  return Answer.outcome() == schema::OUTCOME_UNKNOWN &&
         (Answer.reason() == runtime::errcName(runtime::errc::AuthorityGone) ||
          Answer.reason() == runtime::errcName(runtime::errc::AuthorityUnreachable));
}

schema::job_answer makeAnswer(std::string Id, schema::outcome_kind Outcome, errc Reason, std::string Subject,
                              std::uint32_t RetryAfterMs) {
  schema::job_answer Answer;
  Answer.set_id(std::move(Id));
  Answer.set_outcome(Outcome);
  if (Reason != errc::Ok)
    Answer.set_reason(std::string(runtime::errcName(Reason)));
  Answer.set_subject(std::move(Subject));
  Answer.set_retry_after_ms(RetryAfterMs);
  return Answer;
}

} // namespace yuccaplank::wire
