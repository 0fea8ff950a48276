// Messages between VMs that relay jobs and VMs that dispatch them.
#pragma once

#include "yuccaplank/dispatch/job_service.hpp"
#include "yuccaplank/dispatch/messages.hpp"

namespace yuccaplank::dispatch {

schema::dispatch_message makeRelayJob(const queue_settings &Queue, const job_request &Request,
                                      std::uint32_t Session);
queue_settings queueOf(const schema::relay_job &Message);
job_request requestOf(const schema::relay_job &Message);

/// Of an answer that is repeated: it holds for whichever session the job was passed in last.
inline constexpr std::uint32_t AnySession = 0;

schema::dispatch_message makeRelayedAnswer(std::uint64_t Job, std::uint32_t Session,
                                           const job_answer &Answer);
/// The VM that sends this does not hold the job.
schema::dispatch_message makeNotHeld(std::uint64_t Job);
/// The job was not taken.
schema::dispatch_message makeNotTaken(const schema::relay_job &Message);
/// Without the queue's name. An outcome or a reason that is not known counts as timed out, which claims
/// least.
job_answer answerOf(const schema::relayed_answer &Message);

schema::dispatch_message makeWithdrawal(std::uint64_t Job, end_reason Reason);
end_reason reasonOf(std::uint32_t Value);

} // namespace yuccaplank::dispatch
