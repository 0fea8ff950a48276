// Exchanges with entry VMs.
#pragma once

#include "yuccaplank/cli/requester.hpp"

#include <functional>
#include <string>
#include <vector>

namespace yuccaplank::cli {

/// Entry VMs in the order given by the user; the first that answers is used until it fails.
class entry_session {
public:
  /// Makes the call for an entry VM.
  using call_maker = std::function<wire::http_call(const std::string &Entry)>;

  entry_session(requester &Requester, std::vector<std::string> Entries)
      : Requester(Requester), Entries(std::move(Entries)) {}

  /// One attempt at the current entry VM.
  wire::http_call_result attempt(const call_maker &MakeCall, runtime::duration Timeout);
  /// Asks one entry VM after the other until one answers; at most one round.
  wire::http_call_result ask(const call_maker &MakeCall, runtime::duration Timeout);
  /// Uses the next entry VM from now on.
  void advance() { Next = (Next + 1) % Entries.size(); }
  requester &timing() { return Requester; }

private:
  requester &Requester;
  std::vector<std::string> Entries;
  std::size_t Next = 0;
};

} // namespace yuccaplank::cli
