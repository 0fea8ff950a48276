#include "yuccaplank/cli/session.hpp"

namespace yuccaplank::cli {

wire::http_call_result entry_session::attempt(const call_maker &MakeCall, runtime::duration Timeout) {
  wire::http_call Call = MakeCall(Entries[Next]);
  Call.Timeout = Timeout;
  return Requester.exchange(std::move(Call));
}

wire::http_call_result entry_session::ask(const call_maker &MakeCall, runtime::duration Timeout) {
  wire::http_call_result Result;
  for (std::size_t Attempt = 0; Attempt < Entries.size(); ++Attempt) {
    Result = attempt(MakeCall, Timeout);
    if (!Result.Error)
      break;
    advance();
  }
  return Result;
}

} // namespace yuccaplank::cli
