// The process of an entry VM on the platform: sockets, signals, and the parts between them.
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
  schema::daemon_settings Own;
  /// Port for operators, on the VM's address; 0 serves none.
  std::uint16_t OperatorPort = 0;
  /// Reads both settings files again; false leaves the settings as they are.
  std::function<bool(platform::settings &, schema::daemon_settings &)> ReadSettings;
  /// Content of the settings files, which change without a signal too; optional.
  std::function<std::string()> SettingsText;
};

class vm_process {
public:
  virtual ~vm_process() = default;
  /// Serves until SIGTERM and the end of the drain; returns the exit status.
  virtual int run() = 0;
};

runtime::result<std::unique_ptr<vm_process>> makeVmProcess(runtime::loop &Loop, vm_process_options Options);

} // namespace yuccaplank::entry
