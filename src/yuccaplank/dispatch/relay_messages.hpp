// Builds and reads the messages between VMs that relay jobs and VMs that dispatch them.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/messages.hpp"

#include <set>

namespace yuccaplank::dispatch {

schema::dispatch_message makeRelayJob(const queue_settings &Queue, const job_request &Request,
                                      std::uint32_t Session);
queue_settings toQueueSettings(const schema::relay_job &Message);
job_request toJobRequest(const schema::relay_job &Message);

/// Session number of an answer that is sent again: it is valid for the session in which the job was relayed
/// last.
inline constexpr std::uint32_t AnySession = 0;

schema::dispatch_message makeRelayedAnswer(job_id Job, std::uint32_t Session, const job_answer &Answer);
/// Answers that the sending VM does not hold the job.
schema::dispatch_message makeNotHeldAnswer(job_id Job);
/// Answers that the sending VM has not taken the relayed job.
schema::dispatch_message makeNotTakenAnswer(const schema::relay_job &Message);
/// Returns the answer without the queue's name. An unknown outcome counts as timed out, which says the least
/// about what has run, and an unknown reason as none.
job_answer toJobAnswer(const schema::relayed_answer &Message);

/// Adds a job that the sender of Session has relayed to its receiver.
void addRelayedJob(schema::resume_session &Session, job_id Job);
std::set<job_id> relayedJobsOf(const schema::resume_session &Session);

schema::dispatch_message makeWithdrawal(job_id Job, end_reason Reason);
end_reason decodeEndReason(std::uint32_t Value);

} // namespace yuccaplank::dispatch
