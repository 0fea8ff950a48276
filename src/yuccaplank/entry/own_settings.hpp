// The product's own settings, put into the options that they are for; 0 and empty leave the default.
#pragma once

#include "frontend.hpp"
#include "settings.pb.h"
#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::entry {

void applyOwnSettings(const schema::daemon_settings &Settings, dispatch::entry_vm_options &Options);
frontend_options frontendOptions(const schema::daemon_settings &Settings);
runtime::log_level logLevel(const schema::daemon_settings &Settings);
/// Share of the jobs of a queue that should be answered within their objective.
double objectivePercent(const schema::daemon_settings &Settings);

} // namespace yuccaplank::entry
