// Passes each job of this VM's callers to the local coordinator or to the relay to another VM.
#pragma once

#include "job_relay.hpp"
#include "job_waiters.hpp"

#include <functional>

namespace yuccaplank::dispatch {

class job_router final : public job_service {
public:
  /// RelaysNewJobs returns whether new jobs are to be relayed to another VM now.
  job_router(job_coordinator &Coordinator, job_waiters &Waiters, job_relay &Relay,
             std::function<bool()> RelaysNewJobs)
      : Coordinator(Coordinator), Waiters(Waiters), Relay(Relay), RelaysNewJobs(std::move(RelaysNewJobs)) {}

  bool submit(const queue_settings &Queue, job_request Request) override {
    if (Relay.contains(Request.Job))
      return false;
    if (Waiters.hasCaller(Request.Job) || !RelaysNewJobs())
      return Waiters.submit(Queue, std::move(Request));
    return Relay.submit(Queue, std::move(Request));
  }
  bool cancel(job_id Job, end_reason Reason) override {
    return Relay.cancel(Job, Reason) || Waiters.removeCaller(Job, Reason);
  }
  [[nodiscard]] bool contains(job_id Job) const override {
    return Relay.contains(Job) || Coordinator.contains(Job);
  }
  [[nodiscard]] job_state state(job_id Job) const override {
    return Relay.contains(Job) ? Relay.state(Job) : Coordinator.state(Job);
  }
  [[nodiscard]] std::size_t size() const override { return Relay.size() + Coordinator.size(); }

private:
  job_coordinator &Coordinator;
  job_waiters &Waiters;
  job_relay &Relay;
  std::function<bool()> RelaysNewJobs;
};

} // namespace yuccaplank::dispatch
