// Estimates of the memory that a job takes on the VMs that work on it.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"

#include <cstddef>
#include <cstdint>

namespace yuccaplank::dispatch {

/// Bytes of a job apart from its specification and its tasks.
inline constexpr std::uint64_t JobOverheadBytes = 1000;
/// Bytes of a task at its coordinator, and of its run at the owner of the server.
inline constexpr std::uint64_t CoordinatedTaskBytes = 500;
/// Bytes of a task that waits at the placer.
inline constexpr std::uint64_t WaitingTaskBytes = 100;

/// Memory of a job at its coordinator.
[[nodiscard]] inline std::uint64_t coordinatedBytes(const job_request &Request) {
  return JobOverheadBytes + Request.Specification.size() + CoordinatedTaskBytes * Request.TaskCount;
}

/// Memory of a job at the placer.
[[nodiscard]] inline std::uint64_t waitingBytes(std::size_t Tasks) {
  return JobOverheadBytes + WaitingTaskBytes * Tasks;
}

} // namespace yuccaplank::dispatch
