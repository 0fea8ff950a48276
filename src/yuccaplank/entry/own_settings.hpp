// Converts the product's own settings into options of its components. A value of 0 or an empty text selects
// the default.
#pragma once

#include "frontend.hpp"
#include "settings.pb.h"
#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/platform/settings.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::entry {

void applyOwnSettings(const schema::daemon_settings &Settings, const platform::settings &Machine,
                      dispatch::entry_vm_options &Options);
frontend_options frontendOptions(const schema::daemon_settings &Settings, const platform::settings &Machine);
/// Limits of unfinished requests on all HTTP ports.
wire::receive_limits receiveLimits(const schema::daemon_settings &Settings,
                                   const platform::settings &Machine);
/// Limits of one HTTP port. Operators and readiness checks need few connections.
enum class http_port : std::uint8_t { Callers, Readiness, Operators };
wire::http_server_options httpServerOptions(const schema::daemon_settings &Settings,
                                            const platform::settings &Machine, http_port Port);
runtime::log_level logLevel(const schema::daemon_settings &Settings);
/// Percentage of a queue's jobs that should be answered within their objective.
double objectivePercent(const schema::daemon_settings &Settings);

} // namespace yuccaplank::entry
