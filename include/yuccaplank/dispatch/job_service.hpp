// Jobs of callers as the process hands them in, whichever VM serves them.
#pragma once

#include "yuccaplank/dispatch/configuration.hpp"
#include "yuccaplank/dispatch/job_answer.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include "dispatch.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccaplank::dispatch {

/// A job of equal tasks as a caller has submitted it.
struct job_request {
  std::uint64_t Job = 0;
  std::string Specification;
  std::uint32_t TaskCount = 0;
  schema::task_size TaskSize;
  std::uint32_t EstimateMs = 0;
  /// How long the caller waits for the answer, from when it handed the job in.
  runtime::duration Deadline{};
  /// Time since then, when the job comes by way of another VM.
  runtime::duration Age{};
  /// Whether another VM relays the job.
  bool Relayed = false;
};

enum class job_state : std::uint8_t { Queued, Running };

class job_service {
public:
  virtual ~job_service() = default;
  /// False when a job with this id is in progress here; the caller then waits for the same answer.
  virtual bool submit(const queue_settings &Queue, job_request Request) = 0;
  /// The caller has left or cancelled; false when the job is not here.
  virtual bool cancel(std::uint64_t Job, end_reason Reason) = 0;
  [[nodiscard]] virtual bool contains(std::uint64_t Job) const = 0;
  /// State of a job in progress here.
  [[nodiscard]] virtual job_state state(std::uint64_t Job) const = 0;
  [[nodiscard]] virtual std::size_t size() const = 0;
};

} // namespace yuccaplank::dispatch
