// Logs and counts the answers to a coordinator's jobs.
#pragma once

#include "coordinated_job.hpp"
#include "yuccaplank/dispatch/job_coordinator.hpp"

#include <string>

namespace yuccaplank::dispatch {

/// Logs how the job ended at the time Now. Placer is the VM that places tasks, empty if none is known.
void logAnswer(const coordinated_job &Job, const job_answer &Answer, const std::string &Placer,
               runtime::time_point Now);
/// Counts one job with this outcome.
void countOutcome(job_outcome Outcome, coordinator_counters &Counters);

} // namespace yuccaplank::dispatch
