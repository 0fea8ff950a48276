// Documents that the platform's operators, backend servers and callers write, decoded into the product's
// types.
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

/// Operators' configuration. Errors: errc::MalformedDocument.
runtime::result<dispatch::configuration> decodeConfiguration(std::string_view Text);

/// A backend server's report about itself. Errors: errc::MalformedDocument for a report that names no usable
/// server.
runtime::result<dispatch::server_entry> decodeServer(const std::string &Id, std::string_view Text);

/// One step of a submitted job.
struct step_document {
  std::uint32_t TaskCount = 0;
  schema::task_size TaskSize;
  std::uint32_t EstimateMs = 0;
  /// Earlier steps that must have ended.
  std::size_t Dependencies = 0;
  bool Gang = false;
  bool LongRunning = false;
  bool FillsUnusedCapacity = false;
  /// Label that a server must have.
  std::string RequiredLabel;
  /// Tasks of the step that may run on one server; 0 means any number.
  std::uint32_t MaxPerServer = 0;
};

struct job_document {
  std::string Specification;
  std::vector<step_document> Steps;
  /// The answer is sent when the job has ended, and nobody asks later.
  bool BestEffort = false;
  /// Runs of the whole job at set times; 0 means one run now.
  std::uint32_t Repetitions = 0;
};

/// Errors: errc::MalformedDocument.
runtime::result<job_document> decodeJob(std::string_view Text);

/// Header, in lower case, in which a caller tells how many milliseconds it waits for the answer.
inline constexpr const char *DeadlineHeader = "deadline-milliseconds";

/// 16 hexadecimal digits; nothing for anything else.
std::optional<std::uint64_t> parseJobId(std::string_view Text);

/// State of a job as callers see it.
enum class shown_state : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };
/// Body of the answer about a job.
std::string encodeState(shown_state State);
/// Body of the answer about a queue.
std::string encodeWaitingCount(std::uint32_t Waiting);

} // namespace yuccaplank::platform
