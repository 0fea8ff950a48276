#include "yuccaplank/wire/service_codec.hpp"

#include "yuccaplank/wire/document_checks.hpp"
#include "yuccaplank/wire/document_reader.hpp"
#include "yuccaplank/wire/document_writer.hpp"
#include "yuccaplank/wire/job_codec.hpp"
#include "yuccaplank/wire/message_json.hpp"

#include <google/protobuf/descriptor.h>

namespace yuccaplank::wire {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using runtime::errc;

constexpr std::uint32_t MaxJobBytes = 64U << 20U;
constexpr std::uint32_t MaxDeadlineMs = 600'000;
constexpr std::uint32_t MaxWeight = 1'000;
constexpr std::uint32_t MaxRetryBudgetPercent = 100;
constexpr std::uint32_t MaxAttempts = 3;

void checkObjective(document_checks &Checks, const schema::service_objective &Objective) {
  // An objective of 100 % leaves no error budget that a burn rate could refer to.
  if (!(Objective.percent() > 0 && Objective.percent() < 100))
    Checks.add(errc::OutOfRange, "objective.percent", "number above 0 and below 100");
  Checks.requireRange("objective.within_ms", Objective.within_ms(), 1, MaxDeadlineMs);
}

// Walks two messages of one type; absent objects count as empty.
void diffMessages(const std::string &Prefix, const Message &Old, const Message &New,
                  std::vector<document_difference> &Differences) {
  auto OldJson = messageToJson(Old);
  auto NewJson = messageToJson(New);
  for (int Index = 0; Index < Old.GetDescriptor()->field_count(); ++Index) {
    const FieldDescriptor &Field = *Old.GetDescriptor()->field(Index);
    std::string Path = Prefix + Field.name();
    if (Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && !Field.is_repeated()) {
      diffMessages(Path + ".", Old.GetReflection()->GetMessage(Old, &Field),
                   New.GetReflection()->GetMessage(New, &Field), Differences);
      continue;
    }
    auto Value = [&](const nlohmann::ordered_json &Object) {
      return Object.contains(Field.name()) ? Object[Field.name()].dump() : std::string();
    };
    if (Value(OldJson) != Value(NewJson))
      Differences.push_back({Path, Value(OldJson), Value(NewJson)});
  }
}

} // namespace

std::vector<document_issue> checkService(const schema::service_document &Document) {
  document_checks Checks;
  Checks.requireName("service", Document.service(), name_rule::Service);
  Checks.requireName("team", Document.team(), name_rule::Service);
  Checks.requireName("pool", Document.pool(), name_rule::Service);
  Checks.requireRange("weight", Document.weight(), 0, MaxWeight);
  Checks.requireRange("limits.max_tasks_per_job", Document.limits().max_tasks_per_job(), 0, MaxTasksPerJob);
  Checks.requireRange("limits.max_job_bytes", Document.limits().max_job_bytes(), 0, MaxJobBytes);
  Checks.requireRange("default_deadline_ms", Document.default_deadline_ms(), 0, MaxDeadlineMs);
  Checks.requireRange("retry.budget_percent", Document.retry().budget_percent(), 0, MaxRetryBudgetPercent);
  Checks.requireRange("retry.max_attempts", Document.retry().max_attempts(), 0, MaxAttempts);
  if (Document.has_objective())
    checkObjective(Checks, Document.objective());
  return Checks.take();
}

std::vector<document_issue> readService(std::string_view Text, schema::service_document &Document) {
  auto Issues = readDocument(Text, Document);
  if (!Issues.empty())
    return Issues;
  Issues = checkService(Document);
  locateIssues(Text, Document, Issues);
  return Issues;
}

std::string writeService(const schema::service_document &Document) {
  return writeDocument(Document, json_layout::Pretty) + "\n";
}

std::vector<document_difference> diffServices(const schema::service_document &Old,
                                              const schema::service_document &New) {
  std::vector<document_difference> Differences;
  diffMessages("", Old, New, Differences);
  return Differences;
}

} // namespace yuccaplank::wire
