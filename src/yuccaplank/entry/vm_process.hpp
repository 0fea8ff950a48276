// The process of an entry VM: connects its components to sockets, signals and settings files.
#pragma once

#include "settings.pb.h"
#include "yuccaplank/platform/settings.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace yuccaplank::entry {

struct vm_process_options {
  platform::settings Settings;
  schema::daemon_settings OwnSettings;
  /// Port of the operators' interface on the VM's address; 0 disables it.
  std::uint16_t OperatorPort = 0;
  /// Reads both settings files again; returns false if they are invalid and must not be applied.
  std::function<bool(platform::settings &, schema::daemon_settings &)> ReadSettings;
  /// Returns the content of the settings files, which is polled because they also change without a signal.
  /// Optional.
  std::function<std::string()> ReadSettingsText;
};

class vm_process {
public:
  virtual ~vm_process() = default;
  /// Serves until a drain that SIGTERM or SIGINT started has ended; returns the exit status.
  virtual int run() = 0;
};

runtime::result<std::unique_ptr<vm_process>> makeVmProcess(runtime::loop &Loop, vm_process_options Options);

} // namespace yuccaplank::entry
