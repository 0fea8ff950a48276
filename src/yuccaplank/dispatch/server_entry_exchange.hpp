// Keeps the entries of the backend servers fresh on a VM that the store turns away: it requests the changes
// from a VM in contact that reads the store.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/dispatch/server_entry_options.hpp"
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

class server_entry_ports {
public:
  virtual ~server_entry_ports() = default;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  /// VMs in contact that read the entries from the store and answer requests for changes.
  [[nodiscard]] virtual std::vector<std::string> sources() const = 0;
  /// Called when entries have changed, with all of them.
  virtual void onEntriesChanged(const std::vector<server_entry> &Entries) = 0;
  /// Called when this VM begins or ceases to read the entries from the store; the others are to be told.
  virtual void onReadingChanged(bool Reads) = 0;
  /// Called when starts by the entries have to wait, or no longer have to, because another VM may know newer
  /// ones.
  virtual void onStartsSuspended(bool Suspended) = 0;
};

class server_entry_exchange {
public:
  virtual ~server_entry_exchange() = default;
  /// Sets the entries that this VM has read, as of a version of the store.
  virtual void setEntries(const std::vector<server_entry> &Entries, std::uint64_t Version) = 0;
  /// Called after each attempt to read the store that was sent at SentAt, on the clock that counts
  /// suspension: Version is the one that it has reached, or nothing if the attempt has failed.
  virtual void onRead(std::optional<std::uint64_t> Version, runtime::time_point SentAt) = 0;
  /// Called when this VM no longer needs the entries.
  virtual void clear() = 0;
  /// Called when the process was suspended: the entries may have changed meanwhile.
  virtual void onPause() = 0;
  /// Called every 50 ms, and when contact with another VM begins or ends.
  virtual void update() = 0;
  virtual void onRequest(const std::string &Vm, const schema::server_entries_request &Request) = 0;
  virtual void onChanges(const std::string &Vm, const schema::server_entries &Changes) = 0;
  [[nodiscard]] virtual server_entry_counters counters() const = 0;
};

/// Vm is the name of this VM. Clock and Ports must outlive the result.
std::unique_ptr<server_entry_exchange> makeServerEntryExchange(const runtime::clock &Clock, std::string Vm,
                                                               server_entry_ports &Ports,
                                                               server_entry_options Options = {});

} // namespace yuccaplank::dispatch
