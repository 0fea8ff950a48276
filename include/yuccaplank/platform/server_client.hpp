// Sends orders to backend servers as the platform's HTTP calls.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yuccaplank::platform {

struct server_client_options {
  /// Timeout of a reply, in addition to the time for which the order lets the server wait.
  runtime::duration ReplyTimeout = std::chrono::milliseconds(250);
};

/// The client must outlive the result.
std::unique_ptr<dispatch::server_orders> makeServerClient(wire::http_client &Client,
                                                          server_client_options Options = {});

/// Name of a task on the wire: ID.OCCURRENCE.STEP.INDEX. OCCURRENCE and STEP are always 0, because only jobs
/// of one step without repetitions are supported.
std::string taskName(const dispatch::task_key &Task);
/// Returns nullopt for a text that is not such a name.
std::optional<dispatch::task_key> parseTaskName(std::string_view Name);

/// Decode the servers' replies; declared here for tests and fuzzing.
dispatch::order_reply decodeOrderReply(const wire::http_call_result &Result);
dispatch::hold_reply decodeHoldReply(const wire::http_call_result &Result);

} // namespace yuccaplank::platform
