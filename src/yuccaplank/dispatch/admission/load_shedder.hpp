// Refuses jobs of this VM's callers without a message while the placer refuses most jobs of their kind.
#pragma once

#include "../decayed_sum.hpp"
#include "known_backlogs.hpp"
#include "yuccaplank/dispatch/job_service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yuccaplank::dispatch::admission {

/// Answers a burst that lasts: each job that the placer will refuse costs a VM two messages and the placer a
/// decision. Follows the rule of adaptive throttling: a VM passes on somewhat more jobs of a queue than were
/// accepted lately, so that it notices at once when the placer accepts more.
class load_shedder {
public:
  load_shedder(const runtime::clock &Clock, const known_backlogs &Backlogs)
      : Clock(Clock), Backlogs(Backlogs) {}

  /// Called for each new job. Returns when its caller should come back, if the job is to be refused here.
  [[nodiscard]] std::optional<runtime::duration> shed(const queue_settings &Queue,
                                                      const job_request &Request);
  /// Called for each answer to a job that was passed on.
  void onAnswer(const job_answer &Answer);
  [[nodiscard]] std::uint64_t shedJobs() const { return Shed; }

private:
  static constexpr runtime::duration Window = std::chrono::seconds(1);
  // Jobs that are passed on for each accepted one. With fewer, the placer sees too little of the demand to
  // tell a burst from a mild one, and capacity that becomes free is noticed late.
  static constexpr double PassedPerAccepted = 2;
  static constexpr double MaxShedShare = 0.9;
  // A job is refused here only if the predicted wait takes more than this share of the time that it can wait.
  static constexpr double MinWaitShare = 0.5;

  struct queue_history {
    decayed_sum Requests{Window};
    decayed_sum Refusals{Window};
    // Sum of the shares to refuse; a job is refused whenever it reaches 1.
    double Owed = 0;
  };

  const runtime::clock &Clock;
  const known_backlogs &Backlogs;
  std::map<std::string, queue_history> Queues;
  std::uint64_t Shed = 0;
};

} // namespace yuccaplank::dispatch::admission
