// Sends requests to entry VMs, with failover to the next one.
#pragma once

#include "yuccaplank/cli/requester.hpp"

#include <functional>
#include <string>
#include <vector>

namespace yuccaplank::cli {

/// Entry VMs in the order that the user gave. A session keeps using one entry VM until an exchange with it
/// fails.
class entry_session {
public:
  /// Makes the call for the entry VM at the given address.
  using call_factory = std::function<wire::http_call(const std::string &Entry)>;

  entry_session(requester &Requester, std::vector<std::string> Entries)
      : Requester(Requester), Entries(std::move(Entries)) {}

  /// Makes one attempt with the current entry VM.
  wire::http_call_result exchangeWithCurrent(const call_factory &MakeCall, runtime::duration Timeout);
  /// Tries the entry VMs in turn, beginning with the current one, until one replies. Each is tried at most
  /// once.
  wire::http_call_result exchangeWithAny(const call_factory &MakeCall, runtime::duration Timeout);
  /// Makes the next entry VM the current one.
  void selectNext() { Current = (Current + 1) % Entries.size(); }
  requester &getRequester() { return Requester; }

private:
  requester &Requester;
  std::vector<std::string> Entries;
  std::size_t Current = 0;
};

} // namespace yuccaplank::cli
