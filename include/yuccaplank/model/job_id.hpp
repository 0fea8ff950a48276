// Job ids and incarnations.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccaplank::model {

enum class id_kind : std::uint8_t { Issued, CallerKey };

/// Parsed job id.
struct job_id {
  id_kind Kind = id_kind::Issued;
  std::string Text;
  // Issued ids.
  std::string Domain;
  schema::incarnation Authority;
  std::uint64_t Sequence = 0;
  // Caller keys.
  std::string Key;
};

/// Accepts "i.<domain>.<vm>.<started_ms>-<nonce>.<sequence>" and "k.<key>" with 1 to 128 characters of A-Z,
/// a-z, 0-9,
/// '-', '_'; errc::InvalidId otherwise. Domain and VM names hold no '.'.
runtime::result<job_id> parseJobId(std::string_view Text);

std::string issuedId(const std::string &Domain, const schema::incarnation &Authority, std::uint64_t Sequence);

bool sameIncarnation(const schema::incarnation &Left, const schema::incarnation &Right);
/// Order by start time, then nonce, then VM id; the dispatcher is the least.
bool olderIncarnation(const schema::incarnation &Left, const schema::incarnation &Right);
/// "<vm>@<started_ms>-<nonce>" for logs and map keys.
std::string incarnationName(const schema::incarnation &Value);

} // namespace yuccaplank::model
