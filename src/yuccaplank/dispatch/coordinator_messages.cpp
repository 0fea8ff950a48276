#include "coordinator_messages.hpp"

namespace yuccaplank::dispatch {

void describeJob(const coordinated_job &Job, runtime::time_point Now, const coordinator_options &Options,
                 schema::place_job &Place) {
  auto RemainingMs = [&](runtime::duration Total) {
    auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(Job.SubmittedAt + Total - Now);
    return static_cast<std::int32_t>(Remaining.count());
  };
  setJob(Place, Job.Request.Job);
  Place.set_pool(Job.Queue.Pool);
  Place.set_queue(Job.Queue.Name);
  *Place.mutable_size() = Job.Request.TaskSize;
  Place.set_estimate_ms(Job.Request.EstimateMs);
  Place.set_priority(Job.Queue.Priority);
  Place.set_objective_left_ms(RemainingMs(Job.Objective));
  Place.set_late_left_ms(
      RemainingMs(std::chrono::duration_cast<runtime::duration>(Job.Objective * Options.LateFactor)));
  Place.set_deadline_left_ms(RemainingMs(Job.Request.Deadline));
  Place.set_started(Job.PossiblyStartedRuns > 0);
  Place.set_origin(Job.Request.Origin);
  Place.set_rack(Job.Request.Rack);
  Place.set_same_rack(Job.Request.SameRack);
  if (!Job.Request.Rack.empty() || Job.Request.SameRack)
    Place.set_remote_factor(static_cast<float>(Options.RemoteFactor));
  for (const std::string &Server : Job.ServersToAvoid)
    Place.add_avoid(Server);
}

schema::dispatch_message makeStartOrder(const coordinated_job &Job, const run_key &Run,
                                        const schema::grant &Grant) {
  const task_state &Task = Job.Tasks.at(Run.Task.Index);
  schema::dispatch_message Message;
  schema::start_task &Start = *Message.mutable_start();
  *Start.mutable_task() = toMessage(Run);
  Start.set_grant(Grant.id());
  Start.set_server(Grant.server());
  Start.set_specification(Job.Request.Specification);
  *Start.mutable_size() = Job.Request.TaskSize;
  // The owner learns the server's speed and recognises overdue runs by this estimate.
  Start.set_estimate_ms(Task.EstimateMs);
  Start.set_token(Grant.token());
  Start.set_relayed(Job.Request.Relayed);
  Start.set_alone(Grant.alone());
  Start.set_overdue_runs(Task.OverdueRuns);
  Start.set_failed_runs(Task.Failures);
  return Message;
}

void describeRun(const coordinated_job &Job, const task_state &Task, const run_key &Run,
                 runtime::time_point Now, schema::adopted_run &Adopted) {
  *Adopted.mutable_task() = toMessage(Run);
  *Adopted.mutable_size() = Job.Request.TaskSize;
  Adopted.set_estimate_ms(Task.EstimateMs);
  Adopted.set_relayed(Job.Request.Relayed);
  Adopted.set_alone(Task.Alone);
  Adopted.set_overdue_runs(Task.OverdueRuns);
  Adopted.set_failed_runs(Task.Failures);
  Adopted.set_age_ms(static_cast<std::uint32_t>(runtime::toMs(Now - Task.StartOrderedAt)));
}

} // namespace yuccaplank::dispatch
