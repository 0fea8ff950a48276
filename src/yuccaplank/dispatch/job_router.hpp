// Hands a job of this VM's callers to the own coordinator or to another VM.
#pragma once

#include "job_relay.hpp"
#include "job_waiters.hpp"

#include <functional>

namespace yuccaplank::dispatch {

class job_router final : public job_service {
public:
  /// Relays tells whether new jobs go to another VM now.
  job_router(job_coordinator &Coordinator, job_waiters &Waiters, job_relay &Relay,
             std::function<bool()> Relays)
      : Coordinator(Coordinator), Waiters(Waiters), Relay(Relay), Relays(std::move(Relays)) {}

  bool submit(const queue_settings &Queue, job_request Request) override {
    if (Relay.contains(Request.Job))
      return false;
    if (Waiters.hasCaller(Request.Job) || !Relays())
      return Waiters.submit(Queue, std::move(Request));
    return Relay.submit(Queue, std::move(Request));
  }
  bool cancel(std::uint64_t Job, end_reason Reason) override {
    return Relay.cancel(Job, Reason) || Waiters.leave(Job, Reason);
  }
  [[nodiscard]] bool contains(std::uint64_t Job) const override {
    return Relay.contains(Job) || Coordinator.contains(Job);
  }
  [[nodiscard]] job_state state(std::uint64_t Job) const override {
    return Relay.contains(Job) ? Relay.state(Job) : Coordinator.state(Job);
  }
  [[nodiscard]] std::size_t size() const override { return Relay.size() + Coordinator.size(); }

private:
  job_coordinator &Coordinator;
  job_waiters &Waiters;
  job_relay &Relay;
  std::function<bool()> Relays;
};

} // namespace yuccaplank::dispatch
