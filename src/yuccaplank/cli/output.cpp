#include "yuccaplank/cli/output.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace yuccaplank::cli {
namespace {

std::string outcomeText(schema::outcome_kind Outcome) {
  switch (Outcome) {
  case schema::OUTCOME_FAILED:
    return "failed and may have run";
  case schema::OUTCOME_REFUSED:
    return "was refused and not run";
  case schema::OUTCOME_UNKNOWN:
    return "has an unknown outcome and may have run";
  case schema::OUTCOME_PENDING:
    return "is in progress";
  default:
    return "has no outcome";
  }
}

} // namespace

std::string formatAnswer(const schema::job_answer &Answer) {
  if (Answer.outcome() == schema::OUTCOME_PENDING)
    return Answer.id() + "\n";
  std::string Text;
  for (const schema::task_result &Result : Answer.results())
    Text += fmt::format("{}\t{}\n", Result.name(), Result.payload());
  return Text;
}

std::string explainAnswer(const schema::job_answer &Answer) {
  if (Answer.outcome() == schema::OUTCOME_DONE)
    return {};
  std::string Job = Answer.id().empty() ? "the job" : fmt::format("job {}", Answer.id());
  std::string Text = fmt::format("{} {}", Job, outcomeText(Answer.outcome()));
  if (!Answer.reason().empty())
    Text += fmt::format(": {}", Answer.reason());
  if (!Answer.subject().empty())
    Text += fmt::format(" ({})", Answer.subject());
  if (Answer.retry_after_ms() > 0)
    Text += fmt::format("; another submission is useful after {} ms", Answer.retry_after_ms());
  return Text + ".";
}

std::string formatTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Text;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Line += fmt::format("{:<{}}  ", Row[Column], Widths[Column]);
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

std::string formatTime(std::int64_t UnixMs) {
  if (UnixMs <= 0)
    return "-";
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(UnixMs / 1000)));
}

} // namespace yuccaplank::cli
