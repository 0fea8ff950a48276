// Who waits for the jobs that this VM coordinates: its own callers, and VMs that relay jobs of theirs.
#pragma once

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
  using answer_function = std::function<void(std::uint64_t Job, const job_answer &Answer)>;

  job_waiters(job_coordinator &Jobs, send_function Send, answer_function AnswerCaller)
      : Jobs(Jobs), Send(std::move(Send)), AnswerCaller(std::move(AnswerCaller)) {}

  /// A job of an own caller; false when one already waits for it.
  bool submit(const queue_settings &Queue, job_request Request);
  /// Whether an own caller waits for the job.
  [[nodiscard]] bool hasCaller(std::uint64_t Job) const;
  /// No own caller waits any more; false when none did. The job ends unless others wait for it.
  bool leave(std::uint64_t Job, end_reason Reason);

  void onRelayJob(const std::string &Vm, const schema::relay_job &Message);
  void onWithdrawRelayed(const std::string &Vm, const schema::withdraw_relayed &Message);
  /// A session with a relaying VM begins; jobs that it no longer counts on end.
  void onResume(const std::string &Vm, const schema::resume_session &Session);
  void onVmLost(const std::string &Vm);
  /// A job of the coordinator has its answer.
  void onAnswer(std::uint64_t Job, const job_answer &Answer);

private:
  struct waiters {
    bool OwnCaller = false;
    // Relaying VMs with the session in which each has passed the job.
    std::map<std::string, std::uint32_t> Relays;
  };
  struct past_answer {
    std::uint64_t Job = 0;
    std::string Vm;
    job_answer Answer;
  };

  void drop(std::uint64_t Job, const std::string &Vm, end_reason Reason);
  void endUnlessAwaited(std::uint64_t Job, end_reason Reason);
  /// Sends the last answer that the VM has had for the job, if there is one and it Holds; tells whether it
  /// did.
  bool repeatAnswer(const std::string &Vm, std::uint64_t Job, const std::function<bool(job_outcome)> &Holds);

  job_coordinator &Jobs;
  send_function Send;
  answer_function AnswerCaller;
  std::unordered_map<std::uint64_t, waiters> Waiting;
  std::map<std::string, std::uint32_t> Sessions;
  // Answers that a relaying VM may not have received because its session broke.
  std::deque<past_answer> Answers;
};

} // namespace yuccaplank::dispatch
