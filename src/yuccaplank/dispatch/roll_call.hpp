// Finds out which registered VMs are alive after all VMs that dispatch have been lost. In normal operation
// the VM that places tasks removes the registrations of lost dispatchers. Without any of these, a VM that
// finds nobody to relay to writes a roll call into the store, every VM that reads it registers again, and a
// registration that is older than the roll call no longer counts.
#pragma once

#include "yuccaplank/dispatch/contact_plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

struct roll_call_options {
  /// How long a relaying VM is without contact with any dispatching VM before it calls the roll. A start of
  /// the whole fleet and a takeover take less.
  runtime::duration SilenceTimeout = std::chrono::seconds(3);
  /// How long the VMs have to register again.
  runtime::duration AnswerTimeout = std::chrono::seconds(2);
  /// Minimum time between two roll calls, so that a VM that is cut off from the others but reaches the store
  /// does not keep the whole fleet registering.
  runtime::duration MinInterval = std::chrono::seconds(30);
  /// Delay before this VM writes a roll call again that it has not read since.
  runtime::duration RetryDelay = std::chrono::seconds(1);
  /// The VMs that miss the dispatchers at the same time spread their roll calls over this time. Most then
  /// read the first one before they write their own.
  runtime::duration Spread = std::chrono::seconds(1);
};

class roll_call {
public:
  /// Vm is the name of this VM.
  roll_call(std::string Vm, roll_call_options Options);

  /// Sets the version of the latest roll call in the store; 0 if there is none. Called after each read.
  void setVersion(std::uint64_t NewVersion, runtime::time_point Now);
  /// Takes whether this VM relays and no dispatching VM is in contact. Returns whether it has to call the
  /// roll.
  bool isDue(bool WithoutDispatcher, runtime::time_point Now);
  /// Returns true once for each roll call, when the time to answer it is over.
  bool hasEnded(runtime::time_point Now);

  /// Returns the VMs that may have a place: all of them until the time to answer a roll call is over, then
  /// those that have registered since.
  [[nodiscard]] registered_vms present(const registered_vms &Vms, runtime::time_point Now) const;
  /// Returns the VMs that have not answered a roll call of which this VM has read at Before or earlier.
  [[nodiscard]] std::vector<std::string> missingSince(const registered_vms &Vms,
                                                      runtime::time_point Before) const;

private:
  [[nodiscard]] bool answered(const registered_vm &Vm) const { return Vm.Version > Version; }

  roll_call_options Options;
  // Part of Spread by which this VM's roll calls are delayed.
  runtime::duration OwnDelay;
  std::uint64_t Version = 0;
  std::optional<runtime::time_point> ReadAt;
  // When a roll call was read that is certainly recent, unlike the one that this VM found at its start.
  std::optional<runtime::time_point> RecentCallAt;
  bool VersionKnown = false;
  bool EndReported = true;
  std::optional<runtime::time_point> SilentSince;
  std::optional<runtime::time_point> CalledAt;
};

} // namespace yuccaplank::dispatch
