// Ordered set of pending timers, shared by the executors.
#pragma once

#include "yuccaplank/runtime/executor.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace yuccaplank::runtime {

class timer_queue {
public:
  timer_id add(time_point Due, std::function<void()> Function) {
    timer_id Id = ++LastId;
    auto Position = Timers.emplace(Due, entry{Id, std::move(Function)});
    Index.emplace(Id, Position);
    return Id;
  }

  void cancel(timer_id Id) {
    auto Found = Index.find(Id);
    if (Found == Index.end())
      return;
    Timers.erase(Found->second);
    Index.erase(Found);
  }

  [[nodiscard]] std::optional<time_point> nextDue() const {
    if (Timers.empty())
      return std::nullopt;
    return Timers.begin()->first;
  }

  /// Removes and returns the earliest timer's function; the queue must not be empty.
  std::function<void()> pop() {
    auto First = Timers.begin();
    auto Function = std::move(First->second.Function);
    Index.erase(First->second.Id);
    Timers.erase(First);
    return Function;
  }

private:
  struct entry {
    timer_id Id;
    std::function<void()> Function;
  };
  // Equal due times run in insertion order.
  std::multimap<time_point, entry> Timers;
  std::unordered_map<timer_id, std::multimap<time_point, entry>::iterator> Index;
  timer_id LastId = 0;
};

} // namespace yuccaplank::runtime
