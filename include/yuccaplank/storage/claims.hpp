// Claims of caller keys in the table, several to one transaction.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/storage/table.hpp"

#include <functional>
#include <memory>
#include <string>

namespace yuccaplank::storage {

/// Result of a claim: the incarnation that owns the key, and its domain.
struct claim_owner {
  schema::incarnation Authority;
  std::string Domain;
  /// Whether this call, or an earlier one of the same incarnation with an open outcome, inserted the claim.
  bool Inserted = false;
};

/// Claims keys by insert-if-absent. A lost reply is resolved by reading back; errc::PlatformUnavailable means
/// that the owner could not be determined, and a later claim of the same key by the same incarnation settles
/// it.
class claims {
public:
  virtual ~claims() = default;
  /// Key is the caller key; its row is "claim/<key>".
  virtual void claim(std::string Key, std::function<void(runtime::result<claim_owner>)> OnDone) = 0;
  /// Owner of a key; errc::NotFound when nobody has claimed it.
  virtual void find(std::string Key, std::function<void(runtime::result<claim_owner>)> OnDone) = 0;
};

/// Owner of the claims, and batching.
struct claims_options {
  claim_owner Self;
  /// Claims that arrive within this time share a transaction.
  runtime::duration BatchDelay = std::chrono::milliseconds(5);
  std::size_t MaxBatch = 200;
};

/// The executor and the table must outlive the result.
std::unique_ptr<claims> makeClaims(runtime::executor &Executor, table &Table, claims_options Options);

} // namespace yuccaplank::storage
