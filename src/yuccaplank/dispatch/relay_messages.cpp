#include "relay_messages.hpp"

namespace yuccaplank::dispatch {

schema::dispatch_message makeRelayJob(const queue_settings &Queue, const job_request &Request,
                                      std::uint32_t Session) {
  schema::dispatch_message Message;
  schema::relay_job &Job = *Message.mutable_relay();
  setJob(Job, Request.Job);
  Job.set_session(Session);
  Job.set_specification(Request.Specification);
  Job.set_task_count(Request.TaskCount);
  *Job.mutable_size() = Request.TaskSize;
  Job.set_estimate_ms(Request.EstimateMs);
  Job.set_deadline_ms(static_cast<std::uint32_t>(runtime::toMs(Request.Deadline)));
  Job.set_age_ms(static_cast<std::uint32_t>(runtime::toMs(Request.Age)));
  Job.set_queue(Queue.Name);
  Job.set_pool(Queue.Pool);
  Job.set_priority(Queue.Priority);
  Job.set_max_attempts(Queue.MaxAttempts);
  Job.set_stretch(Queue.Stretch);
  Job.set_latency_ms(Queue.LatencyMs);
  Job.set_rack(Request.Rack);
  Job.set_same_rack(Request.SameRack);
  return Message;
}

queue_settings toQueueSettings(const schema::relay_job &Message) {
  queue_settings Queue;
  Queue.Name = Message.queue();
  Queue.Pool = Message.pool();
  Queue.Priority = Message.priority();
  Queue.MaxAttempts = Message.max_attempts();
  Queue.Stretch = Message.stretch();
  Queue.LatencyMs = Message.latency_ms();
  return Queue;
}

job_request toJobRequest(const schema::relay_job &Message) {
  job_request Request;
  Request.Job = jobOf(Message);
  Request.Specification = Message.specification();
  Request.TaskCount = Message.task_count();
  Request.TaskSize = Message.size();
  Request.EstimateMs = Message.estimate_ms();
  Request.Deadline = std::chrono::milliseconds(Message.deadline_ms());
  Request.Age = std::chrono::milliseconds(Message.age_ms());
  Request.Relayed = true;
  Request.Rack = Message.rack();
  Request.SameRack = Message.same_rack();
  return Request;
}

schema::dispatch_message makeRelayedAnswer(job_id Job, std::uint32_t Session, const job_answer &Answer) {
  schema::dispatch_message Message;
  schema::relayed_answer &Relayed = *Message.mutable_relayed();
  setJob(Relayed, Job);
  Relayed.set_session(Session);
  Relayed.set_end(static_cast<schema::relayed_end>(Answer.Outcome));
  Relayed.set_reason(static_cast<std::uint32_t>(Answer.Reason));
  Relayed.set_retry_after_ms(Answer.RetryAfterMs);
  Relayed.set_within_objective(Answer.WithinObjective);
  return Message;
}

schema::dispatch_message makeNotHeldAnswer(job_id Job) {
  schema::dispatch_message Message;
  setJob(*Message.mutable_relayed(), Job);
  Message.mutable_relayed()->set_end(schema::RELAYED_NOT_HELD);
  return Message;
}

schema::dispatch_message makeNotTakenAnswer(const schema::relay_job &Message) {
  schema::dispatch_message Answer;
  schema::relayed_answer &Relayed = *Answer.mutable_relayed();
  setJob(Relayed, jobOf(Message));
  Relayed.set_session(Message.session());
  Relayed.set_end(schema::RELAYED_NOT_TAKEN);
  return Answer;
}

job_answer toJobAnswer(const schema::relayed_answer &Message) {
  bool IsKnownOutcome =
      Message.end() >= schema::RELAYED_COMPLETED && Message.end() <= schema::RELAYED_CANCELLED;
  job_answer Answer;
  Answer.Outcome = IsKnownOutcome ? static_cast<job_outcome>(Message.end()) : job_outcome::TimedOut;
  Answer.Reason = decodeEndReason(Message.reason());
  Answer.RetryAfterMs = Message.retry_after_ms();
  Answer.WithinObjective = Message.within_objective();
  return Answer;
}

void addRelayedJob(schema::resume_session &Session, job_id Job) {
  Session.add_relayed(Job.digits());
  if (!Job.hasCapitals())
    return;
  while (Session.relayed_capitals_size() < Session.relayed_size() - 1)
    Session.add_relayed_capitals(0);
  Session.add_relayed_capitals(Job.capitals());
}

std::set<job_id> relayedJobsOf(const schema::resume_session &Session) {
  std::set<job_id> Jobs;
  for (int Index = 0; Index < Session.relayed_size(); ++Index) {
    bool HasCapitals = Index < Session.relayed_capitals_size();
    Jobs.insert(job_id(Session.relayed(Index), HasCapitals ? Session.relayed_capitals(Index) : 0));
  }
  return Jobs;
}

schema::dispatch_message makeWithdrawal(job_id Job, end_reason Reason) {
  schema::dispatch_message Message;
  setJob(*Message.mutable_withdraw_relayed(), Job);
  Message.mutable_withdraw_relayed()->set_reason(static_cast<std::uint32_t>(Reason));
  return Message;
}

end_reason decodeEndReason(std::uint32_t Value) {
  return Value <= static_cast<std::uint32_t>(LastEndReason) ? static_cast<end_reason>(Value)
                                                            : end_reason::None;
}

} // namespace yuccaplank::dispatch
