// Checks of the promises of docs/design.md, section 1.2, on answers and on the stand-in servers' records.
#pragma once

#include "job.pb.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccaplank::load {

/// Breaches of the promises in docs/design.md, section 1.2, that callers can observe.
enum class breach_kind : std::uint8_t {
  /// A task started more than once.
  DoubleStart,
  /// An answer without all results, or results in an answer that is not done.
  PartialAnswer,
  /// A result that is not the task's, results out of order, or an answer that is not one for the job.
  WrongAnswer,
  /// A task of a job whose every submission was refused has started.
  RefusedButRun,
  /// No submission of the job was answered.
  NoOutcome,
};
/// Indexed by breach_kind.
inline constexpr std::array<std::string_view, 5> BreachNames = {
    "double_starts", "partial_answers", "wrong_answers", "refused_but_run", "jobs_without_outcome"};

/// One breach, with the details for the report.
struct breach {
  breach_kind Kind;
  std::string JobId;
  std::string Detail;
};

/// Checks the answer to a submission of Job under Id. Results must be what the stand-in servers compute.
std::optional<breach> checkAnswer(const std::string &Id, const schema::job &Job,
                                  const schema::job_answer &Answer);

/// Result that a stand-in server computes: "<task id>:<xxh64 of the payload, 16 hexadecimal digits>".
std::string expectedResult(const std::string &JobId, const schema::task &Task);

/// What became of one submission.
enum class submission_end : std::uint8_t { Done, Failed, Refused, Unknown, NoAnswer };

/// Outcomes of all submissions by job.
class outcome_ledger {
public:
  /// A job is about to be submitted.
  void addJob(const std::string &Id) { Jobs.try_emplace(Id); }
  /// A submission has ended.
  void addEnd(const std::string &Id, submission_end End);
  /// An attempt of a submission may have reached an entry VM but was not answered.
  void addLostAttempt(const std::string &Id) { Jobs[Id].Lost = true; }

  /// Jobs with at least one submission, all of which were refused.
  [[nodiscard]] std::vector<std::string> refusedOnly() const;
  /// Jobs of which no submission was answered.
  [[nodiscard]] std::vector<breach> withoutOutcome() const;

private:
  struct job_ends {
    std::array<std::uint32_t, 5> Ends{};
    bool Lost = false;
  };
  std::unordered_map<std::string, job_ends> Jobs;
};

/// Double starts in the reply of GET /summary; nothing when the reply is malformed.
std::optional<std::vector<breach>> checkSummary(const nlohmann::json &Summary);

/// Result of checkRefused.
struct refused_check {
  /// False when the reply is malformed.
  bool Valid = false;
  std::optional<breach> Breach;
};
/// Checks the reply of GET /tasks/<job id> for a job whose every submission was refused.
refused_check checkRefused(const std::string &Id, const nlohmann::json &StartedTasks);

} // namespace yuccaplank::load
