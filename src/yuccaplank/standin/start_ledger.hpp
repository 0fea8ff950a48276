// Counts the starts of every task, for checks of the promise that no task starts twice.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccaplank::standin {

/// Remembers all starts. Tasks are grouped by job, since a job's tasks share its long id.
class start_ledger {
public:
  struct task_starts {
    std::string Name;
    std::uint32_t Count = 0;
  };

  /// TaskId is "<job id>/<task name>".
  void record(std::string_view TaskId) {
    std::size_t Slash = TaskId.rfind('/');
    std::string_view Job = TaskId.substr(0, Slash);
    std::string_view Name = Slash == std::string_view::npos ? std::string_view() : TaskId.substr(Slash + 1);
    ++Total;
    std::vector<task_starts> &Tasks = Jobs[std::string(Job)];
    for (task_starts &Task : Tasks)
      if (Task.Name == Name) {
        if (++Task.Count == 2)
          DoubleStarted.emplace_back(TaskId);
        return;
      }
    Tasks.push_back({std::string(Name), 1});
  }

  [[nodiscard]] std::uint64_t total() const { return Total; }
  /// Ids of tasks that started more than once.
  [[nodiscard]] const std::vector<std::string> &doubleStarted() const { return DoubleStarted; }
  [[nodiscard]] const std::unordered_map<std::string, std::vector<task_starts>> &jobs() const { return Jobs; }

private:
  std::unordered_map<std::string, std::vector<task_starts>> Jobs;
  std::vector<std::string> DoubleStarted;
  std::uint64_t Total = 0;
};

} // namespace yuccaplank::standin
