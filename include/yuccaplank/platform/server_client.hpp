// Orders to backend servers as the platform's HTTP calls.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yuccaplank::platform {

struct server_client_options {
  /// Time for a reply beyond the waiting time that the order itself allows.
  runtime::duration ReplyTimeout = std::chrono::milliseconds(250);
};

/// The client must outlive the result.
std::unique_ptr<dispatch::server_orders> makeServerClient(wire::http_client &Client,
                                                          server_client_options Options = {});

/// Name of a task on the wire: ID.OCCURRENCE.STEP.INDEX; jobs of one step without occurrences are served.
std::string taskName(const dispatch::task_key &Task);
std::optional<dispatch::task_key> parseTaskName(std::string_view Name);

/// Replies as they arrive, for tests and fuzzing.
dispatch::order_reply decodeOrderReply(const wire::http_call_result &Result);
dispatch::hold_reply decodeHoldReply(const wire::http_call_result &Result);

} // namespace yuccaplank::platform
