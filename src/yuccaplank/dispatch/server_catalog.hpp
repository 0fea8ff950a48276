// The entries of the backend servers as of one version of the store, and what has changed since another one.
#pragma once

#include "yuccaplank/dispatch/server_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

/// The version of the store orders what a VM reads itself and what other VMs tell it, so the catalog never
/// returns to an older state. Rewritten entries that say the same as before are no change.
class server_catalog {
public:
  /// Replaces all entries by those as of Version. Ignored if Version is older than that of the catalog.
  /// Returns whether it was not older.
  bool replace(const std::vector<server_entry> &Entries, std::uint64_t Version);
  /// Applies the changes that another VM has read. Returns whether the catalog is as new as they are now;
  /// changes since a later version than that of the catalog are incomplete and ignored.
  bool apply(const schema::server_entries &Changes);
  /// Called when nothing has changed up to Version.
  void confirm(std::uint64_t Version);
  void clear();

  /// Returns what has changed after the version. Removals are forgotten when there are too many of them.
  [[nodiscard]] schema::server_entries changesSince(std::uint64_t After) const;
  [[nodiscard]] std::vector<server_entry> entries() const;
  /// Version of the store that the entries reflect; 0 if there are none yet.
  [[nodiscard]] std::uint64_t version() const { return Version; }

private:
  struct record {
    server_entry Entry;
    // No later than this version the entry has become what it is.
    std::uint64_t ChangedAt = 0;
  };
  struct removal {
    std::string Server;
    std::uint64_t RemovedAt = 0;
  };

  void set(const server_entry &Entry, std::uint64_t ChangedAt);
  void remove(const std::string &Server, std::uint64_t RemovedAt);

  std::map<std::string, record> Records;
  std::deque<removal> Removals;
  std::uint64_t Version = 0;
};

} // namespace yuccaplank::dispatch
