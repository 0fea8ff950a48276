// Decodes documents written by operators, backend servers and callers into the product's types, and encodes
// the replies to callers.
#pragma once

#include "yuccaplank/dispatch/configuration.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/runtime/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::platform {

/// Decodes the operators' configuration. Error: errc::MalformedDocument.
runtime::result<dispatch::configuration> decodeConfiguration(std::string_view Text);

/// Decodes a request to evacuate a failure domain, whose name is in the row's key, and returns the domain.
/// Error: errc::MalformedDocument.
runtime::result<std::string> decodeEvacuation(std::string_view Key, std::string_view Text);

/// Decodes the entry that a backend server writes about itself. Error: errc::MalformedDocument if the entry
/// describes no usable server.
runtime::result<dispatch::server_entry> decodeServer(const std::string &Id, std::string_view Text);

/// One step of a submitted job.
struct step_document {
  std::uint32_t TaskCount = 0;
  schema::task_size TaskSize;
  std::uint32_t EstimateMs = 0;
  /// Number of earlier steps that must have ended.
  std::size_t Dependencies = 0;
  bool Gang = false;
  bool LongRunning = false;
  bool FillsUnusedCapacity = false;
  /// Label that a server must have to run a task; empty for none.
  std::string RequiredLabel;
  /// Maximum number of the step's tasks on one server; 0 means no limit.
  std::uint32_t MaxPerServer = 0;
  /// Rack in which the data of the tasks lies; empty if there is no preference.
  std::string Rack;
  /// Whether all tasks should run on one rack.
  bool SameRack = false;
};

struct job_document {
  std::string Specification;
  std::vector<step_document> Steps;
  /// The caller waits for the answer and does not ask for it later, so the job need not be kept.
  bool BestEffort = false;
  /// Number of scheduled repetitions of the whole job; 0 means that it runs once, now.
  std::uint32_t Repetitions = 0;
};

/// Decodes a submitted job. Error: errc::MalformedDocument.
runtime::result<job_document> decodeJob(std::string_view Text);

/// Name, in lower case, of the header with the number of milliseconds that a caller waits for the answer.
inline constexpr const char *DeadlineHeader = "deadline-milliseconds";

/// State of a job as reported to callers.
enum class caller_job_state : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };
/// Encodes the body of a reply about a job.
std::string encodeState(caller_job_state State);
/// Encodes the body of a reply to a request that the caller has to correct.
std::string encodeError(const char *Reason);
/// Encodes the body of a reply about a queue: the number of its waiting jobs.
std::string encodeWaitingCount(std::uint32_t Waiting);

} // namespace yuccaplank::platform
