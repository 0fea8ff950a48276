// The failure domains whose backend servers get no new tasks because operators evacuate them.
#pragma once

#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

inline constexpr std::size_t EvacuationSourceCount = schema::evacuation_source_ARRAYSIZE;

/// An evacuated failure domain.
struct evacuation {
  std::string Domain;
  schema::evacuation_source Source = schema::EVACUATION_PLATFORM;
  /// Version of the store as of which this VM learned of the evacuation.
  std::uint64_t Version = 0;
  runtime::time_point KnownSince{};
};

/// What a VM knows of the evacuations, from the store or from other VMs. The version of the store orders what
/// it learns, so a VM never returns to an older state.
class evacuations {
public:
  explicit evacuations(const runtime::clock &Clock) : Clock(Clock) {}

  /// Whether applying the state would change nothing.
  [[nodiscard]] bool knows(const schema::evacuation_state &State) const;
  /// Applies the evacuations of one source unless a newer state of that source is known. Returns whether the
  /// evacuated domains have changed.
  bool apply(const schema::evacuation_state &State);
  /// Returns the evacuated domains of all sources.
  [[nodiscard]] std::set<std::string> domains() const;
  /// Returns the evacuations in the order of the domains' names.
  [[nodiscard]] std::vector<evacuation> list() const;
  /// Returns the states to pass to other VMs: those of the sources that have ever had an evacuation.
  [[nodiscard]] std::vector<schema::evacuation_state> states() const;

private:
  struct source_state {
    std::uint64_t Version = 0;
    // Whether any VM may still know an evacuation of this source.
    bool Shared = false;
    std::map<std::string, evacuation> Domains;
  };

  const runtime::clock &Clock;
  std::array<source_state, EvacuationSourceCount> Sources;
};

} // namespace yuccaplank::dispatch
