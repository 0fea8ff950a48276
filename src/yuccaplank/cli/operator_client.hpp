// Requests of commands to the operator listener, with errors reported on the console.
#pragma once

#include "service.pb.h"
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/session.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace yuccaplank::cli {

operator_session makeOperatorSession(const command_context &Context);

/// Reply to a query: a JSON object, or the status with which the command ends. The error has been reported.
struct fetched {
  nlohmann::ordered_json Body;
  int Status = 0;
  exit_status Exit = exit_status::Done;
  [[nodiscard]] bool ok() const { return Exit == exit_status::Done; }
};

/// With AllowMissing, a 404 is reported as Status only.
fetched fetch(command_context &Context, const std::string &Path, bool AllowMissing = false);

/// Reads {"revision":…,"change_id":…,"committed_ms":…,"document":{…}}.
std::optional<schema::service_revision> readRevision(const nlohmann::ordered_json &Object);

/// Elements of an array member; an empty array when it is absent.
nlohmann::ordered_json arrayOf(const nlohmann::ordered_json &Body, const char *Member);

/// Member as table cell: text as it is, numbers rounded, "-" when absent.
std::string cell(const nlohmann::ordered_json &Object, const char *Member);

/// Reason of an error reply, or the HTTP status as text.
std::string reasonOf(const nlohmann::ordered_json &Body, int Status);

} // namespace yuccaplank::cli
