#include "run_table.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {

server_run *run_table::find(const run_key &Run) {
  auto Found = Runs.find(Run);
  return Found == Runs.end() ? nullptr : &Found->second;
}

schema::task_size run_table::used(const schema::task_size &Capacity) const {
  schema::task_size Sum;
  for (const auto &[Run, State] : Runs) {
    const schema::task_size &Size = State.FillsServer ? Capacity : State.Size;
    Sum.set_cpu(Sum.cpu() + Size.cpu());
    Sum.set_memory_mb(Sum.memory_mb() + Size.memory_mb());
    Sum.set_accelerators(Sum.accelerators() + Size.accelerators());
  }
  return Sum;
}

resource_amounts run_table::freeCapacity(const schema::task_size &Capacity) const {
  resource_amounts Free = toResourceAmounts(Capacity);
  Free.subtract(used(Capacity));
  return Free;
}

bool run_table::containsTask(const task_key &Task) const {
  return std::ranges::any_of(Runs, [&](const auto &Entry) { return Entry.first.Task == Task; });
}

bool run_table::anyUnclaimed() const {
  return std::ranges::any_of(Runs, [](const auto &Entry) { return Entry.second.Unclaimed; });
}

bool run_table::anyAlone() const {
  return std::ranges::any_of(Runs, [](const auto &Entry) { return Entry.second.Alone; });
}

std::set<std::string> run_table::coordinators() const {
  std::set<std::string> Result;
  for (const auto &[Run, State] : Runs)
    if (!State.Coordinator.empty())
      Result.insert(State.Coordinator);
  return Result;
}

std::vector<run_key> run_table::keys() const {
  std::vector<run_key> Result;
  Result.reserve(Runs.size());
  for (const auto &[Run, State] : Runs)
    Result.push_back(Run);
  return Result;
}

runtime::time_point run_table::allowedUntil() const {
  runtime::time_point Until = runtime::time_point::max();
  for (const auto &[Run, State] : Runs)
    if (State.Phase != run_phase::StopConfirmed)
      Until = std::min(Until, State.AllowedUntil);
  return Until;
}

bool run_table::anyStopUnconfirmedSince(runtime::time_point Before) const {
  return std::ranges::any_of(Runs, [Before](const auto &Entry) {
    return Entry.second.Phase == run_phase::Stopping && Entry.second.StoppedAt < Before;
  });
}

void run_table::confirmBegun(const std::vector<run_key> &Listed) {
  for (const run_key &Run : Listed)
    if (server_run *Found = find(Run))
      Found->Begun = true;
}

std::vector<run_key> run_table::missingFrom(const std::vector<run_key> &Listed, std::uint64_t Hold) const {
  std::set<run_key> Present(Listed.begin(), Listed.end());
  std::vector<run_key> Result;
  for (const auto &[Run, State] : Runs)
    if (State.ConfirmedAfterHold && *State.ConfirmedAfterHold < Hold && !Present.contains(Run))
      Result.push_back(Run);
  return Result;
}

bool run_table::anyAwaitsList() const {
  return std::ranges::any_of(Runs, [](const auto &Entry) {
    const server_run &Run = Entry.second;
    return Run.Phase == run_phase::StopConfirmed ||
           (Run.Phase == run_phase::Starting && Run.SuspectedAfterHold);
  });
}

std::vector<run_key> run_table::endingWithLease(bool IncludePendingStarts) const {
  std::vector<run_key> Result;
  for (const auto &[Run, State] : Runs)
    if (!State.StartPending || IncludePendingStarts)
      Result.push_back(Run);
  return Result;
}

} // namespace yuccaplank::dispatch
