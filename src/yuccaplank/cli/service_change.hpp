// Commits a change of a service document and follows its rollout.
#pragma once

#include "yuccaplank/cli/session.hpp"
#include "yuccaplank/wire/service_codec.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccaplank::cli {

/// A document to commit. Timeout covers all repetitions.
struct change_plan {
  std::string Service;
  /// JSON text of the document.
  std::string Document;
  std::uint64_t ExpectedRevision = 0;
  std::string ChangeId;
  runtime::duration Timeout = std::chrono::seconds(30);
};

/// What became of a change.
enum class change_end : std::uint8_t {
  Committed,
  /// Another revision is current; nothing was changed.
  Conflict,
  /// The document is not acceptable.
  Rejected,
  /// Not applied, for a reason that may pass.
  Refused,
  /// May have been applied; repeating it with the same change id settles it.
  Open,
};

/// End of a change, with the reply that decided it.
struct change_result {
  change_end End = change_end::Open;
  /// Last reply; null when none was received.
  nlohmann::ordered_json Body;
  int Status = 0;
  std::error_code Error;
};

/// Repeats the request with the same change id while its outcome is open, until the timeout.
change_result commitChange(operator_session &Session, const change_plan &Plan,
                           const std::function<void(std::string_view)> &Progress);

/// How far a revision has spread over the VMs.
struct rollout {
  /// VMs with the revision or a later one.
  std::vector<std::string> Reached;
  /// VMs with an earlier revision, and VMs that gave no answer.
  std::vector<std::string> NotReached;
};

/// Rollout from the reply of the VM asked.
rollout readRollout(const nlohmann::ordered_json &Body, std::uint64_t Revision);

/// Polls until every VM has the revision or the time is over.
rollout awaitRollout(operator_session &Session, const std::string &Service, std::uint64_t Revision,
                     runtime::duration Timeout, const std::function<void(std::string_view)> &Progress);

/// One line a difference: "~ weight: 1 -> 2", "+ …" for a new field, "- …" for a removed one.
std::string formatDifferences(const std::vector<wire::document_difference> &Differences);
nlohmann::ordered_json differencesJson(const std::vector<wire::document_difference> &Differences);

} // namespace yuccaplank::cli
