// Keeps track of the callers of this VM and of the relaying VMs that wait for the jobs that this VM
// coordinates.
#pragma once

#include "memory_budget.hpp"
#include "yuccaplank/dispatch/job_coordinator.hpp"
#include "yuccaplank/dispatch/messages.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace yuccaplank::dispatch {

class job_waiters {
public:
  using answer_function = std::function<void(job_id Job, const job_answer &Answer)>;

  /// MaxRelayedBytes limits the memory of the jobs that other VMs relay to this one.
  job_waiters(job_coordinator &Jobs, send_function Send, answer_function AnswerCaller,
              std::uint64_t MaxRelayedBytes)
      : Jobs(Jobs), Send(std::move(Send)), AnswerCaller(std::move(AnswerCaller)), Relayed(MaxRelayedBytes) {}

  /// Submits a job of a caller of this VM. Returns false when such a caller already waits for it.
  bool submit(const queue_settings &Queue, job_request Request);
  /// Whether a caller of this VM waits for the job.
  [[nodiscard]] bool hasCaller(job_id Job) const;
  /// The caller of this VM no longer waits; returns false when none did. Cancels the job unless relaying VMs
  /// wait for it.
  bool removeCaller(job_id Job, end_reason Reason);

  /// Submits a relayed job, or refuses it when its memory would exceed the limit.
  void onRelayJob(const std::string &Vm, const schema::relay_job &Message);
  void onWithdrawRelayed(const std::string &Vm, const schema::withdraw_relayed &Message);
  /// A new session with a relaying VM begins. The VM no longer waits for jobs that it does not expect. For
  /// each job that it expects but that is not held here, it gets the last answer or a message that the job is
  /// not held.
  void onResume(const std::string &Vm, const schema::resume_session &Session);
  void onVmLost(const std::string &Vm);
  /// Passes the coordinator's answer of a job to all that wait for it.
  void onAnswer(job_id Job, const job_answer &Answer);
  /// Number of relayed jobs that were refused because of their memory.
  [[nodiscard]] std::uint64_t refusedForMemory() const { return Relayed.refusals(); }

private:
  struct waiters {
    bool HasCaller = false;
    // Relaying VMs, with the session in which each has relayed the job.
    std::map<std::string, std::uint32_t> RelayingVms;
    // Memory of a relayed job.
    memory_budget::reservation Memory;
  };
  struct sent_answer {
    job_id Job;
    std::string Vm;
    job_answer Answer;
  };

  /// Returns false when the memory of the job would exceed the limit.
  bool reserveMemory(const std::string &Vm, const job_request &Request);
  void refuse(const std::string &Vm, const schema::relay_job &Message);
  void removeRelayingVm(job_id Job, const std::string &Vm, end_reason Reason);
  void cancelIfUnawaited(job_id Job, end_reason Reason);
  /// Sends the last answer for the job to the VM again if there is one and MayResend accepts its outcome.
  /// Returns whether it did.
  bool resendAnswer(const std::string &Vm, job_id Job, const std::function<bool(job_outcome)> &MayResend);

  job_coordinator &Jobs;
  send_function Send;
  answer_function AnswerCaller;
  memory_budget Relayed;
  std::unordered_map<job_id, waiters> WaitersByJob;
  std::map<std::string, std::uint32_t> Sessions;
  // The latest answers to relaying VMs, which may not have received them because the session ended.
  std::deque<sent_answer> SentAnswers;
};

} // namespace yuccaplank::dispatch
