#include "yuccaplank/cli/session.hpp"

namespace yuccaplank::cli {

wire::http_call_result entry_session::exchangeWithCurrent(const call_factory &MakeCall,
                                                          runtime::duration Timeout) {
  wire::http_call Call = MakeCall(Entries[Current]);
  Call.Timeout = Timeout;
  return Requester.exchange(std::move(Call));
}

wire::http_call_result entry_session::exchangeWithAny(const call_factory &MakeCall,
                                                      runtime::duration Timeout) {
  wire::http_call_result Result;
  for (std::size_t Attempt = 0; Attempt < Entries.size(); ++Attempt) {
    Result = exchangeWithCurrent(MakeCall, Timeout);
    if (!Result.Error)
      break;
    selectNext();
  }
  return Result;
}

} // namespace yuccaplank::cli
