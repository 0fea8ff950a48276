// The process of an entry VM on the platform: sockets, signals, and the parts between them.
#pragma once

#include "yuccaplank/platform/settings.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace yuccaplank::entry {

struct vm_process_options {
  platform::settings Settings;
  /// Port of the metrics, on the VM's address; 0 serves none.
  std::uint16_t MetricsPort = 0;
  /// Reads the settings file again after SIGHUP; false leaves the settings as they are.
  std::function<bool(platform::settings &)> ReadSettings;
};

class vm_process {
public:
  virtual ~vm_process() = default;
  /// Serves until SIGTERM and the end of the drain; returns the exit status.
  virtual int run() = 0;
};

runtime::result<std::unique_ptr<vm_process>> makeVmProcess(runtime::loop &Loop, vm_process_options Options);

} // namespace yuccaplank::entry
