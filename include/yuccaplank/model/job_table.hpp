// Records of jobs for which this incarnation is the authority: first submission, joiners, outcomes,
// retention.
#pragma once

#include "job.pb.h"
#include "yuccaplank/model/job_id.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::model {

/// Somebody who waits for a job's answer; meaning is the user's.
using waiter_id = std::uint64_t;

struct job_table_options {
  runtime::duration Retention = std::chrono::seconds(600);
  std::uint64_t MaxRetainedBytes = 48U << 20U;
  /// Issued ids may be submitted for the first time until this time after their issue.
  runtime::duration IdValidity = std::chrono::seconds(600);
};

/// What a submission leads to.
enum class submission_kind : std::uint8_t {
  /// First submission: start the job.
  Start,
  /// The job is in progress; the waiter has been added.
  Joined,
  /// The job has ended; Answer holds the outcome.
  Ended,
  /// Not run and will not be: the id is invalid, expired, or used with another document; Answer holds the
  /// reply.
  Rejected,
};

struct submission {
  submission_kind Kind = submission_kind::Rejected;
  schema::job_answer Answer;
};

struct job_table_usage {
  std::size_t Running = 0;
  std::size_t Retained = 0;
  std::uint64_t RetainedBytes = 0;
};

class job_table {
public:
  virtual ~job_table() = default;
  /// Reserves sequence numbers; returns the first.
  virtual std::uint64_t issue(std::uint32_t Count) = 0;
  /// Decides about a submission. DocumentHash tells identical documents apart from different ones.
  virtual submission submit(const job_id &Id, std::uint64_t DocumentHash, waiter_id Waiter) = 0;
  /// Takes back a Start that was refused by admission: the id may be submitted again.
  virtual std::vector<waiter_id> withdraw(const std::string &Id) = 0;
  /// Whether there is a record of the job.
  [[nodiscard]] virtual bool contains(const std::string &Id) const = 0;
  /// State of a job; a pending answer adds the waiter when it is not 0.
  virtual schema::job_answer query(const job_id &Id, waiter_id Waiter) = 0;
  virtual void removeWaiter(waiter_id Waiter) = 0;
  /// Ends a job and returns those who wait for its answer. A second call for the same job returns nobody.
  virtual std::vector<waiter_id> finish(const std::string &Id, const schema::job_answer &Answer) = 0;
  /// Drops outcomes past their retention.
  virtual void expire() = 0;
  [[nodiscard]] virtual job_table_usage usage() const = 0;
};

std::unique_ptr<job_table> makeJobTable(const runtime::clock &Clock, const std::string &Domain,
                                        const schema::incarnation &Self, job_table_options Options = {});

} // namespace yuccaplank::model
