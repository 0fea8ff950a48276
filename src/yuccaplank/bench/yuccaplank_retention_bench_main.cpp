// Measures the memory of job records: answers within their retention, and ids below the horizon, which need
// none.
#include "yuccaplank/model/job_table.hpp"
#include "yuccaplank/runtime/clock.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <unordered_set>

using namespace yuccaplank;

namespace {

constexpr int JobsPerSecond = 75;
constexpr int SimulatedSeconds = 3600;
constexpr int TasksPerJob = 32;
constexpr std::size_t ResultBytes = 40;

std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void emit(std::string_view Name, double Value, std::string_view Unit) {
  fmt::print(R"({{"name":"{}","value":{:.4g},"unit":"{}"}})"
             "\n",
             Name, Value, Unit);
}

schema::job_answer doneAnswer(const std::string &Id) {
  schema::job_answer Answer = wire::makeAnswer(Id, schema::OUTCOME_DONE, runtime::errc::Ok);
  for (int Task = 0; Task < TasksPerJob; ++Task) {
    schema::task_result &Result = *Answer.add_results();
    Result.set_name(fmt::format("t{}", Task));
    Result.set_payload(std::string(ResultBytes, 'x'));
  }
  return Answer;
}

void runJob(model::job_table &Table, const schema::incarnation &Self) {
  std::string Id = model::issuedId("d1", Self, Table.issue(1));
  Table.submit(model::parseJobId(Id).value(), 1, 0);
  Table.finish(Id, doneAnswer(Id));
}

} // namespace

int main() {
  runtime::manual_clock Clock;
  schema::incarnation Self;
  Self.set_vm("d1-1");
  Self.set_started_ms(Clock.unixMs());
  Self.set_nonce(1);
  model::job_table_options Options;
  Options.MaxRetainedBytes = 4ULL << 30U;
  std::size_t Empty = heapBytes();
  auto Table = model::makeJobTable(Clock, "d1", Self, Options);
  std::size_t AtRetention = 0;
  for (int Second = 0; Second < SimulatedSeconds; ++Second) {
    for (int Job = 0; Job < JobsPerSecond; ++Job)
      runJob(*Table, Self);
    Clock.advance(std::chrono::seconds(1));
    Table->expire();
    if (Second == 600)
      AtRetention = heapBytes() - Empty;
  }
  auto Usage = Table->usage();
  double Jobs = static_cast<double>(JobsPerSecond) * SimulatedSeconds;
  emit("retained_outcomes", static_cast<double>(Usage.Retained), "count");
  emit("retained_outcome_bytes",
       static_cast<double>(heapBytes() - Empty) / static_cast<double>(Usage.Retained), "B");
  emit("heap_after_10_minutes", static_cast<double>(AtRetention) / 1e6, "MB");
  emit("heap_after_1_hour", static_cast<double>(heapBytes() - Empty) / 1e6, "MB");
  // What remembering every used id would add, as the smallest set that can hold them.
  std::size_t Before = heapBytes();
  std::unordered_set<std::uint64_t> Used;
  for (std::uint64_t Sequence = 0; Sequence < static_cast<std::uint64_t>(Jobs); ++Sequence)
    Used.insert(Sequence);
  emit("used_id_without_horizon_bytes", static_cast<double>(heapBytes() - Before) / Jobs, "B");
  return 0;
}
