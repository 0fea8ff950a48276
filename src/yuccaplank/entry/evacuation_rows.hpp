// Reads evacuations of failure domains from the rows of a table in the platform's store.
#pragma once

#include "dispatch.pb.h"
#include "yuccaplank/platform/store_client.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace yuccaplank::entry {

class evacuation_rows {
public:
  /// With an empty set of known domains, every domain is accepted.
  evacuation_rows(schema::evacuation_source Source, std::set<std::string> KnownDomains)
      : Source(Source), KnownDomains(std::move(KnownDomains)) {}

  static bool isEvacuationKey(const std::string &Key) {
    return Key.starts_with(platform::EvacuationKeyPrefix);
  }
  static std::string keyOf(const std::string &Domain);

  [[nodiscard]] bool isKnown(const std::string &Domain) const {
    return KnownDomains.empty() || KnownDomains.contains(Domain);
  }
  /// Returns the evacuations as of a version of the store. A row that cannot be read or that names an unknown
  /// domain has no effect; it is counted and logged once.
  schema::evacuation_state read(const std::map<std::string, platform::store_row> &Rows,
                                std::uint64_t Version);
  /// Number of rows that had no effect.
  [[nodiscard]] std::uint64_t ignored() const { return IgnoredRows.size(); }

private:
  void ignore(const platform::store_row &Row, const char *Reason);

  schema::evacuation_source Source;
  std::set<std::string> KnownDomains;
  // Keys and versions of the rows that were ignored.
  std::set<std::pair<std::string, std::uint64_t>> IgnoredRows;
};

} // namespace yuccaplank::entry
