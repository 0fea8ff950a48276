// Reads the configuration, the backend servers and the VMs' entries from the platform's store, and maintains
// this VM's entry there.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/platform/store_client.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <system_error>

namespace yuccaplank::entry {

struct directory_options {
  std::string Vm;
  /// Address at which other VMs reach this one.
  std::string PeerAddress;
  std::string Domain;
  /// CPU capacity in thousandths of a core.
  std::uint32_t Strength = 0;
  /// All failure domains. Evacuations of other domains are ignored; if empty, none are.
  std::set<std::string> Domains;
  /// Servers whose entries expired while the store was unreachable are kept for this time after it becomes
  /// reachable again, so that running servers can re-register.
  runtime::duration ReregistrationTimeout = std::chrono::milliseconds(2500);
  runtime::duration RetryDelay = std::chrono::milliseconds(300);
};

class directory {
public:
  virtual ~directory() = default;
  /// Starts or stops watching the table of backend servers.
  virtual void setServerWatch(bool Enabled) = 0;
  /// Removes the entry of a VM that has been gone for long without unregistering, unless the entry has
  /// changed since it was read.
  virtual void removeStaleEntry(const std::string &Name) = 0;
  /// Writes a roll call, unless another VM has written one that this VM has not read yet. Every VM that reads
  /// it registers again.
  virtual void callRoll() = 0;
  /// Stores the term of this VM's fencing tokens in its entry; a lower term than the stored one is ignored.
  virtual void setTerm(std::uint32_t Term) = 0;
  /// Begins or ends an evacuation of a failure domain. OnDone receives errc::UnknownDomain,
  /// errc::AlreadyEvacuated or errc::NotEvacuated if nothing has been changed, and
  /// errc::PlatformUnavailable if the store may or may not carry out the change.
  virtual void setEvacuation(const std::string &Domain, bool Evacuate,
                             std::function<void(std::error_code)> OnDone) = 0;
  /// Number of rows in the store that request no evacuation of a known failure domain.
  [[nodiscard]] virtual std::uint64_t ignoredEvacuations() const = 0;
  /// Removes this VM's entry; OnDone runs even if the removal fails.
  virtual void unregister(std::function<void()> OnDone) = 0;
};

/// Starts at once and passes what it reads to Vm. All references must outlive the result.
std::unique_ptr<directory> makeDirectory(runtime::executor &Executor, platform::store_client &Store,
                                         dispatch::entry_vm &Vm, directory_options Options);

/// Decodes a configuration and applies it; returns false if it cannot be read or is not newer.
bool applyConfiguration(dispatch::entry_vm &Vm, const std::string &Document);

} // namespace yuccaplank::entry
