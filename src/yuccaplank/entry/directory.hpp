// What this VM reads from the platform's store and writes there: configuration, backend servers, and the VMs'
// entries.
#pragma once

#include "yuccaplank/dispatch/entry_vm.hpp"
#include "yuccaplank/platform/store_client.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <memory>
#include <string>

namespace yuccaplank::entry {

struct directory_options {
  std::string Vm;
  /// Where other VMs reach this one.
  std::string PeerAddress;
  std::string Domain;
  /// Thousandths of a core.
  std::uint32_t Strength = 0;
  /// Servers whose entries lapsed while the store was away are kept for this time after its return, in which
  /// those that live register again.
  runtime::duration RegisterAgainTime = std::chrono::milliseconds(2500);
  runtime::duration RetryDelay = std::chrono::milliseconds(300);
};

class directory {
public:
  virtual ~directory() = default;
  /// Follows the backend servers from now on, or no longer.
  virtual void followServers(bool Follows) = 0;
  /// Removes the entry of a VM that was removed without a signal, unless the entry changes meanwhile.
  virtual void removeStale(const std::string &Name) = 0;
  /// Keeps the term of the VM's fencing tokens in its entry.
  virtual void setTerm(std::uint32_t Term) = 0;
  /// Removes this VM's entry; OnDone runs in any case.
  virtual void unregister(std::function<void()> OnDone) = 0;
};

/// Starts at once and tells Vm what it reads. Both references must outlive the result.
std::unique_ptr<directory> makeDirectory(runtime::executor &Executor, platform::store_client &Store,
                                         dispatch::entry_vm &Vm, directory_options Options);

/// Decodes a configuration and puts it in force; false when it cannot be read or is not newer.
bool applyConfiguration(dispatch::entry_vm &Vm, const std::string &Document);

} // namespace yuccaplank::entry
