// Messages of a coordinator about its jobs.
#pragma once

#include "coordinated_job.hpp"
#include "yuccaplank/dispatch/job_coordinator.hpp"

namespace yuccaplank::dispatch {

/// Describes the job for the placer, without its tasks.
void describeJob(const coordinated_job &Job, runtime::time_point Now, const coordinator_options &Options,
                 schema::place_job &Place);
/// Returns the order to start a run that was granted, without the placer and the session.
schema::dispatch_message makeStartOrder(const coordinated_job &Job, const run_key &Run,
                                        const schema::grant &Grant);
/// Describes a run for the owner that adopts it.
void describeRun(const coordinated_job &Job, const task_state &Task, const run_key &Run,
                 runtime::time_point Now, schema::adopted_run &Adopted);

} // namespace yuccaplank::dispatch
