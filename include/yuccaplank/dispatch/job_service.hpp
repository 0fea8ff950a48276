// Interface for submitting and cancelling jobs, independent of the VM that coordinates them.
#pragma once

#include "yuccaplank/dispatch/configuration.hpp"
#include "yuccaplank/dispatch/job_answer.hpp"
#include "yuccaplank/dispatch/job_id.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include "dispatch.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccaplank::dispatch {

/// A job of equal tasks, as submitted by a caller.
struct job_request {
  job_id Job;
  std::string Specification;
  std::uint32_t TaskCount = 0;
  schema::task_size TaskSize;
  std::uint32_t EstimateMs = 0;
  /// How long the caller waits for the answer after submitting the job.
  runtime::duration Deadline{};
  /// Time since the caller submitted the job; zero unless another VM relays it.
  runtime::duration Age{};
  /// Whether another VM relays the job.
  bool Relayed = false;
  /// The VM that relays the job; empty for a job of this VM's callers.
  std::string Origin = {};
  /// Rack in which the data of the tasks lies; empty if there is no preference.
  std::string Rack = {};
  /// Whether all tasks should run on one rack.
  bool SameRack = false;
};

enum class job_state : std::uint8_t { Queued, Running };

class job_service {
public:
  virtual ~job_service() = default;
  /// Returns false when a job with this id is already in progress here; the caller then waits for its answer.
  virtual bool submit(const queue_settings &Queue, job_request Request) = 0;
  /// Ends a job whose caller has left or cancelled it. Returns false when the job is not in progress here.
  virtual bool cancel(job_id Job, end_reason Reason) = 0;
  [[nodiscard]] virtual bool contains(job_id Job) const = 0;
  /// State of a job, which must be in progress here.
  [[nodiscard]] virtual job_state state(job_id Job) const = 0;
  [[nodiscard]] virtual std::size_t size() const = 0;
};

} // namespace yuccaplank::dispatch
