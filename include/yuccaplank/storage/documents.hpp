// Service documents in the table: reading, applying by compare-and-set, history.
#pragma once

#include "service.pb.h"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/storage/table.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::storage {

/// A change of one service document.
struct apply_request {
  schema::service_document Document;
  /// Revision that the operator has seen; the apply conflicts when another one is current. 0 for a new
  /// service.
  std::uint64_t ExpectedRevision = 0;
  /// Chosen by the operator's client, 1 to 128 characters; the same id is never applied twice.
  std::string ChangeId;
  /// Highest revision of the service that this VM knows; the new one is higher.
  std::uint64_t KnownRevision = 0;
};

/// Result of an apply whose outcome is known.
struct apply_reply {
  /// False when another revision was current.
  bool Committed = false;
  /// The committed revision, or the current one on a conflict.
  schema::service_revision Current;
};

/// Keys: "service/<name>" holds the current revision, "history/<name>/<revision, 20 digits>" all of them, and
/// "change/<name>/<change id>" the revision that a change committed.
class documents {
public:
  virtual ~documents() = default;
  /// errc::PlatformUnavailable means that the outcome stays open; repeating with the same change id settles
  /// it. A change that was applied before, and may have been replaced since, is reported as committed.
  /// ExpectedRevision is compared with the higher of the table's revision and KnownRevision.
  virtual void apply(apply_request Request, std::function<void(runtime::result<apply_reply>)> OnDone) = 0;
  /// Documents changed after a table revision; all documents when the table's revision is lower than that,
  /// as after a restore from an old copy.
  virtual void changes(std::uint64_t After,
                       std::function<void(runtime::result<schema::catalog_snapshot>)> OnDone) = 0;
  /// All revisions of a service, oldest first.
  virtual void
  history(std::string Service,
          std::function<void(runtime::result<std::vector<schema::service_revision>>)> OnDone) = 0;
};

/// The executor and the table must outlive the result.
std::unique_ptr<documents> makeDocuments(runtime::executor &Executor, table &Table);

} // namespace yuccaplank::storage
