// Replies of the stand-ins' HTTP services.
#pragma once

#include "yuccaplank/wire/http_server.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace yuccaplank::standin {

/// Reply with a JSON body; invalid UTF-8 is replaced.
wire::http_reply jsonReply(int Status, const nlohmann::json &Body);

/// Reply with the body {"reason": Reason}.
wire::http_reply reasonReply(int Status, std::string_view Reason);

} // namespace yuccaplank::standin
