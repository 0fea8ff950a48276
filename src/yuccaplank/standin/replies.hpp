// Helpers for HTTP replies of the stand-in services.
#pragma once

#include "yuccaplank/wire/http_server.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace yuccaplank::standin {

/// Returns a reply with a JSON body; invalid UTF-8 is replaced.
wire::http_reply jsonReply(int Status, const nlohmann::json &Body);

/// Returns a reply with the body {"reason": Reason}.
wire::http_reply reasonReply(int Status, std::string_view Reason);

} // namespace yuccaplank::standin
