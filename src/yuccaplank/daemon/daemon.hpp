// The daemon of an entry VM: sockets around one entry node.
#pragma once

#include "settings.pb.h"
#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <memory>

namespace yuccaplank::daemon {

class entry_daemon {
public:
  virtual ~entry_daemon() = default;
  /// Serves until the shutdown is complete; returns the exit status.
  virtual int run() = 0;
  /// Ports of the listeners, for settings that leave the choice to the system with port 0.
  [[nodiscard]] virtual std::uint16_t callerPort() const = 0;
  [[nodiscard]] virtual std::uint16_t operatorPort() const = 0;
};

runtime::result<std::unique_ptr<entry_daemon>> makeDaemon(runtime::loop &Loop,
                                                          const schema::daemon_settings &Settings);

} // namespace yuccaplank::daemon
