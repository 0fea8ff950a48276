// Exchanges with the entry VMs and with the operator listener.
#pragma once

#include "yuccaplank/cli/requester.hpp"

#include <string>
#include <vector>

namespace yuccaplank::cli {

/// One request to whichever entry VM answers.
struct entry_request {
  std::string Method = "GET";
  std::string Path;
  std::vector<wire::http_header> Headers;
  std::string Body;
  runtime::duration Timeout{};
};

/// Reply of an entry VM, or why there is none.
struct entry_reply {
  /// Whether a complete reply has arrived; Error says why not.
  bool Answered = false;
  std::error_code Error;
  /// An attempt without a usable reply may have reached an entry VM.
  bool MaybeWritten = false;
  int Status = 0;
  std::string Body;
};

/// Entry VMs in the order given by the user; the first that answers is used until it fails.
class entry_session {
public:
  entry_session(requester &Requester, std::vector<std::string> Entries)
      : Requester(Requester), Entries(std::move(Entries)) {}

  /// Sends a request that may be repeated: a query, or a submission that carries its id. Another attempt
  /// follows when nothing was written, and after a lost connection, always with the same path. Attempts end
  /// with the timeout, or after one round of all entry VMs when nothing was written to any.
  entry_reply send(const entry_request &Request);
  /// Uses the next entry VM for the following requests.
  void advance() { Next = (Next + 1) % Entries.size(); }
  requester &timing() { return Requester; }

private:
  requester &Requester;
  std::vector<std::string> Entries;
  std::size_t Next = 0;
};

/// The operator listener of one VM.
class operator_session {
public:
  operator_session(requester &Requester, std::string Address, std::string Token)
      : Requester(Requester), Address(std::move(Address)), Token(std::move(Token)) {}

  /// One attempt.
  wire::http_call_result send(std::string Method, std::string Path, std::string Body,
                              runtime::duration Timeout);
  requester &timing() { return Requester; }

private:
  requester &Requester;
  std::string Address;
  std::string Token;
};

} // namespace yuccaplank::cli
