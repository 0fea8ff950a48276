// Messages that owners of backend servers send to coordinators.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/dispatch/server_orders.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccaplank::dispatch {

/// The event that reports the end of a run to its coordinator.
schema::run_event toRunEvent(run_end End);

schema::dispatch_message makeTaskEvent(const run_key &Run, schema::run_event Event, const std::string &Server,
                                       std::string_view Reason, schema::server_loss Loss = schema::LOSS_NONE);
/// Asks coordinators to adopt the runs that a claim has found on a server.
schema::dispatch_message makeAdoptRequest(const std::string &Server, std::uint64_t Token,
                                          const hold_reply &Found);
/// Reports that the sender no longer owns the server, which it held under Token.
schema::dispatch_message makeYield(const std::string &Server, std::uint64_t Token);

} // namespace yuccaplank::dispatch
