#include "yuccaplank/load/checks.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <numeric>
#include <unordered_set>

namespace yuccaplank::load {
namespace {

breach makeBreach(breach_kind Kind, const std::string &Id, std::string Detail) {
  return {Kind, Id, std::move(Detail)};
}

// Every task must be present exactly once.
bool complete(const schema::job &Job, const schema::job_answer &Answer) {
  std::unordered_set<std::string_view> Missing;
  for (const schema::task &Task : Job.tasks())
    Missing.insert(Task.name());
  for (const schema::task_result &Result : Answer.results())
    if (Missing.erase(Result.name()) == 0)
      return false;
  return Missing.empty();
}

} // namespace

std::optional<breach> checkAnswer(const std::string &Id, const schema::job &Job,
                                  const schema::job_answer &Answer) {
  if (!Answer.id().empty() && Answer.id() != Id)
    return makeBreach(breach_kind::WrongAnswer, Id, "answer has the id " + Answer.id());
  if (Answer.outcome() == schema::OUTCOME_PENDING || Answer.outcome() == schema::OUTCOME_UNSPECIFIED)
    return makeBreach(breach_kind::WrongAnswer, Id, "answer without a final outcome");
  if (Answer.outcome() != schema::OUTCOME_DONE) {
    if (Answer.results().empty())
      return std::nullopt;
    return makeBreach(breach_kind::PartialAnswer, Id, "results in an answer that is not done");
  }
  if (!complete(Job, Answer))
    return makeBreach(breach_kind::PartialAnswer, Id,
                      fmt::format("{} results for {} tasks", Answer.results_size(), Job.tasks_size()));
  for (int Index = 0; Index < Job.tasks_size(); ++Index) {
    const schema::task_result &Result = Answer.results(Index);
    const schema::task &Task = Job.tasks(Index);
    if (Result.name() != Task.name() || Result.payload() != expectedResult(Id, Task))
      return makeBreach(
          breach_kind::WrongAnswer, Id,
          fmt::format("task {} has the result {} '{}'", Task.name(), Result.name(), Result.payload()));
  }
  return std::nullopt;
}

std::string expectedResult(const std::string &JobId, const schema::task &Task) {
  return fmt::format("{}/{}:{:016x}", JobId, Task.name(),
                     XXH64(Task.payload().data(), Task.payload().size(), 0));
}

void outcome_ledger::addEnd(const std::string &Id, submission_end End) {
  ++Jobs[Id].Ends[static_cast<std::size_t>(End)];
}

std::vector<std::string> outcome_ledger::refusedOnly() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Job] : Jobs) {
    auto All = std::accumulate(Job.Ends.begin(), Job.Ends.end(), std::uint32_t{0});
    if (All > 0 && All == Job.Ends[static_cast<std::size_t>(submission_end::Refused)] && !Job.Lost)
      Ids.push_back(Id);
  }
  return Ids;
}

std::vector<breach> outcome_ledger::withoutOutcome() const {
  std::vector<breach> Breaches;
  for (const auto &[Id, Job] : Jobs) {
    auto All = std::accumulate(Job.Ends.begin(), Job.Ends.end(), std::uint32_t{0});
    if (All == Job.Ends[static_cast<std::size_t>(submission_end::NoAnswer)])
      Breaches.push_back(makeBreach(breach_kind::NoOutcome, Id, fmt::format("{} submissions", All)));
  }
  return Breaches;
}

std::optional<std::vector<breach>> checkSummary(const nlohmann::json &Summary) {
  if (!Summary.is_object() || !Summary.contains("double_started") || !Summary["double_started"].is_array())
    return std::nullopt;
  std::vector<breach> Breaches;
  for (const auto &TaskId : Summary["double_started"])
    Breaches.push_back(makeBreach(breach_kind::DoubleStart,
                                  TaskId.is_string() ? TaskId.get<std::string>() : "",
                                  "started more than once"));
  return Breaches;
}

refused_check checkRefused(const std::string &Id, const nlohmann::json &StartedTasks) {
  if (!StartedTasks.is_array())
    return {};
  if (StartedTasks.empty())
    return {true, std::nullopt};
  return {true,
          makeBreach(breach_kind::RefusedButRun, Id, fmt::format("{} tasks started", StartedTasks.size()))};
}

} // namespace yuccaplank::load
