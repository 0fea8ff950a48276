#include "yuccaplank/cli/requester.hpp"

namespace yuccaplank::cli {

wire::http_call_result requester::exchange(wire::http_call Call) {
  wire::http_call_result Result;
  bool Done = false;
  Client.call(std::move(Call), [&](wire::http_call_result Reply) {
    Result = std::move(Reply);
    Done = true;
    Driver.Stop();
  });
  while (!Done)
    Driver.Run();
  return Result;
}

void requester::sleepFor(runtime::duration Delay) {
  bool Done = false;
  Executor.after(Delay, [&] {
    Done = true;
    Driver.Stop();
  });
  while (!Done)
    Driver.Run();
}

} // namespace yuccaplank::cli
