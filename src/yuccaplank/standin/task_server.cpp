#include "task_server.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace yuccaplank::standin {

using dispatch::order_outcome;
using dispatch::run_end;
using runtime::time_point;

namespace {

// Limit for the number of ends in one reply.
constexpr std::size_t MaxListedEnds = 500;
constexpr std::string_view RackPrefix = " rack=";

} // namespace

std::string encodeWork(const run_work &Work) {
  std::string Text = fmt::format("{} {}", Work.Cpu, runtime::toMs(Work.Duration));
  if (Work.CrashingTask)
    Text += fmt::format(" {}", *Work.CrashingTask);
  return Work.Rack.empty() ? Text : Text.append(RackPrefix).append(Work.Rack);
}

run_work decodeWork(const std::string &Specification) {
  std::size_t RackAt = Specification.find(RackPrefix);
  std::istringstream Stream(Specification.substr(0, RackAt));
  std::uint32_t Cpu = 0;
  double Ms = 0;
  if (!(Stream >> Cpu >> Ms))
    return {};
  run_work Work{Cpu, runtime::fromMs(Ms), false};
  std::uint32_t CrashingTask = 0;
  if (Stream >> CrashingTask)
    Work.CrashingTask = CrashingTask;
  if (RackAt != std::string::npos)
    Work.Rack = Specification.substr(RackAt + RackPrefix.size());
  return Work;
}

std::int64_t task_server::clockMs(time_point Now) const {
  return static_cast<std::int64_t>(runtime::toMs(Now.time_since_epoch()) * Options.ClockRate);
}

time_point task_server::fromClock(std::int64_t ClockMs) const {
  return time_point(runtime::fromMs(static_cast<double>(ClockMs) / Options.ClockRate));
}

bool task_server::rejectStaleToken(std::uint64_t FencingToken) {
  if (FencingToken < HighestToken)
    return true;
  HighestToken = FencingToken;
  return false;
}

void task_server::extendLease(time_point Now, std::int64_t LeaseEndMs) {
  auto MaxLeaseEnd =
      Now + std::chrono::duration_cast<runtime::duration>(Options.MaxLease / Options.ClockRate);
  LeaseEnd = std::max(LeaseEnd, std::min(fromClock(LeaseEndMs), MaxLeaseEnd));
}

order_outcome task_server::start(time_point Now, const dispatch::start_order &Order, const run_work &Work) {
  advance(Now);
  if (rejectStaleToken(Order.FencingToken))
    return order_outcome::Fenced;
  if (Order.LeaseEndMs <= clockMs(Now))
    return order_outcome::LeaseOver;
  extendLease(Now, Order.LeaseEndMs);
  auto Highest = HighestEndedRuns.find(Order.Run.Task);
  if (Highest != HighestEndedRuns.end() && Order.Run.Run <= Highest->second)
    return order_outcome::Superseded;
  auto Present = Runs.find(Order.Run.Task);
  if (Present != Runs.end())
    return Present->second.Run == Order.Run.Run ? order_outcome::Accepted : order_outcome::Superseded;
  Runs[Order.Run.Task] = {Order.Run.Run, Work, Now + Work.Duration, std::nullopt};
  return order_outcome::Accepted;
}

order_outcome task_server::stop(time_point Now, const dispatch::run_key &Run, std::uint64_t FencingToken) {
  advance(Now);
  if (rejectStaleToken(FencingToken))
    return order_outcome::Fenced;
  std::uint32_t &Highest = HighestEndedRuns[Run.Task];
  Highest = std::max(Highest, Run.Run);
  auto Present = Runs.find(Run.Task);
  if (Present != Runs.end() && Present->second.Run <= Run.Run && !Present->second.StoppedAt)
    Present->second.StoppedAt = Now + Options.StopDelay;
  return order_outcome::Accepted;
}

dispatch::hold_reply task_server::hold(time_point Now, const dispatch::hold_order &Order) {
  advance(Now);
  dispatch::hold_reply Reply;
  Reply.ClockMs = clockMs(Now);
  Reply.IncarnationStartMs = IncarnationStartMs;
  if (rejectStaleToken(Order.FencingToken)) {
    Reply.Outcome = order_outcome::Fenced;
    return Reply;
  }
  Reply.Outcome = order_outcome::Accepted;
  if (Order.LeaseEndMs)
    extendLease(Now, *Order.LeaseEndMs);
  while (!Ends.empty() && Ends.front().Number <= Order.Observed)
    Ends.pop_front();
  for (const dispatch::listed_end &End : Ends)
    if (Reply.Ended.size() < MaxListedEnds)
      Reply.Ended.push_back(End);
  Reply.Running = running();
  return Reply;
}

void task_server::endRun(std::map<dispatch::task_key, running_task>::iterator Task, run_end End) {
  std::uint32_t &Highest = HighestEndedRuns[Task->first];
  Highest = std::max(Highest, Task->second.Run);
  Ends.push_back({++LastEndNumber, {Task->first, Task->second.Run}, End});
  if (End == run_end::Lapsed && Options.OnLapsed)
    Options.OnLapsed(Ends.back().Run);
  Runs.erase(Task);
}

void task_server::advance(time_point Now) {
  // Events are processed in chronological order, so that a run that completes before the lease expires ends
  // as done.
  for (auto Due = nextEventTime(); Due && *Due <= Now; Due = nextEventTime()) {
    for (auto Task = Runs.begin(); Task != Runs.end();) {
      auto Current = Task++;
      const running_task &Run = Current->second;
      if (Run.DoneAt <= *Due)
        endRun(Current, Run.Work.Fails ? run_end::Failed : run_end::Done);
      else if (Run.StoppedAt && *Run.StoppedAt <= *Due)
        endRun(Current, run_end::Stopped);
      else if (LeaseEnd <= *Due)
        endRun(Current, run_end::Lapsed);
    }
  }
}

std::optional<time_point> task_server::nextEventTime() const {
  if (Runs.empty())
    return std::nullopt;
  time_point Next = LeaseEnd;
  for (const auto &[Task, Run] : Runs) {
    Next = std::min(Next, Run.DoneAt);
    if (Run.StoppedAt)
      Next = std::min(Next, *Run.StoppedAt);
  }
  return Next;
}

std::uint32_t task_server::usedCpu() const {
  std::uint32_t Sum = 0;
  for (const auto &[Task, Run] : Runs)
    Sum += Run.Work.Cpu;
  return Sum;
}

std::vector<dispatch::run_key> task_server::running() const {
  std::vector<dispatch::run_key> Result;
  Result.reserve(Runs.size());
  for (const auto &[Task, Run] : Runs)
    Result.push_back({Task, Run.Run});
  return Result;
}

std::vector<dispatch::run_key> task_server::unobservedEnds() const {
  std::vector<dispatch::run_key> Result;
  for (const dispatch::listed_end &End : Ends)
    Result.push_back(End.Run);
  return Result;
}

} // namespace yuccaplank::standin
