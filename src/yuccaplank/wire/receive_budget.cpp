#include "yuccaplank/wire/receive_budget.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace yuccaplank::wire {
namespace {

using runtime::duration;
using runtime::time_point;

// Between two checks the requests grow by what the process can read in this time, at least one iteration's
// reads.
constexpr auto MinCheckInterval = std::chrono::milliseconds(4);
constexpr auto MaxCheckInterval = std::chrono::milliseconds(10);
// The interval as a multiple of the time of a check, so that many connections cost at most 5 % of the time.
constexpr int CheckIntervalFactor = 20;

class receive_budget_impl final : public receive_budget {
public:
  receive_budget_impl(runtime::loop &Loop, receive_limits Limits) : Loop(Loop), Limits(Limits) {
    Loop.setIterationHandler([this] { onIteration(); });
  }
  receive_budget_impl(const receive_budget_impl &) = delete;
  receive_budget_impl &operator=(const receive_budget_impl &) = delete;
  ~receive_budget_impl() override { Loop.setIterationHandler({}); }

  void add(std::weak_ptr<receive_source> Source) override { Sources.push_back(std::move(Source)); }
  [[nodiscard]] receive_counts counts() const override { return Counts; }

private:
  void onIteration() {
    time_point Now = Loop.clock().now();
    if (Now < NextCheck)
      return;
    collect(Now);
    // Without the time for refusals: the next check must not wait longer because there was something to
    // refuse.
    time_point Collected = Loop.clock().now();
    NextCheck = Collected + std::clamp<duration>(CheckIntervalFactor * (Collected - Now), MinCheckInterval,
                                                 MaxCheckInterval);
    if (!Requests.empty())
      refuseExcess(Now);
  }

  void collect(time_point Now) {
    Requests.clear();
    for (std::size_t Index = 0; Index < Sources.size(); ++Index) {
      auto Source = Sources[Index].lock();
      if (!Source)
        continue;
      std::size_t First = Requests.size();
      Source->collect(Requests, Now);
      for (; First < Requests.size(); ++First)
        Requests[First].Source = Index;
    }
  }

  void refuseExcess(time_point Now) {
    chooseRefused(Requests, Limits, Now);
    for (const unfinished_request &Request : Requests)
      if (Request.Refusal != receive_refusal::None)
        refuse(Request, Now);
  }

  void refuse(const unfinished_request &Request, time_point Now) {
    bool ForMemory = Request.Refusal == receive_refusal::Memory;
    ++(ForMemory ? Counts.RefusedForMemory : Counts.RefusedForTime);
    log(runtime::log_level::Warning, "unfinished_request_refused",
        {{"reason", std::string(ForMemory ? "memory" : "time")},
         {"bytes", static_cast<std::int64_t>(Request.Bytes)},
         {"age_ms", runtime::toMs(Now - Request.Since)},
         {"unfinished", static_cast<std::int64_t>(Requests.size())}});
    if (auto Source = Sources[Request.Source].lock())
      Source->refuse(Request);
  }

  runtime::loop &Loop;
  receive_limits Limits;
  std::vector<std::weak_ptr<receive_source>> Sources;
  // Kept for its capacity.
  std::vector<unfinished_request> Requests;
  receive_counts Counts;
  time_point NextCheck{};
};

} // namespace

void chooseRefused(std::vector<unfinished_request> &Requests, const receive_limits &Limits, time_point Now) {
  std::size_t Total = 0;
  for (unfinished_request &Request : Requests) {
    if (Now - Request.Since > Limits.MaxTime)
      Request.Refusal = receive_refusal::Time;
    else
      Total += Request.Bytes;
  }
  if (Total <= Limits.MaxBytes)
    return;
  std::ranges::sort(Requests, {}, [](const unfinished_request &Request) {
    return std::tuple(-std::bit_width(Request.Bytes), Request.Since);
  });
  for (unfinished_request &Request : Requests) {
    if (Total <= Limits.MaxBytes)
      return;
    if (Request.Refusal != receive_refusal::None)
      continue;
    Request.Refusal = receive_refusal::Memory;
    Total -= Request.Bytes;
  }
}

std::shared_ptr<receive_budget> makeReceiveBudget(runtime::loop &Loop, receive_limits Limits) {
  return std::make_shared<receive_budget_impl>(Loop, Limits);
}

} // namespace yuccaplank::wire
