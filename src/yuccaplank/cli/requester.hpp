// Runs HTTP exchanges synchronously, so that a command is written as a sequence of steps.
#pragma once

#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <functional>

namespace yuccaplank::cli {

/// Runs and stops the event loop of an executor.
struct event_driver {
  /// Processes events. Returns after Stop is called, or earlier.
  std::function<void()> Run;
  std::function<void()> Stop;
};

/// Blocking HTTP exchanges and delays on an executor.
class requester {
public:
  requester(runtime::executor &Executor, wire::http_client &Client, event_driver Driver)
      : Executor(Executor), Client(Client), Driver(std::move(Driver)) {}

  /// Sends the request and returns when the exchange has ended.
  wire::http_call_result exchange(wire::http_call Call);
  /// Blocks for the given delay.
  void sleepFor(runtime::duration Delay);
  [[nodiscard]] const runtime::clock &clock() const { return Executor.clock(); }

private:
  runtime::executor &Executor;
  wire::http_client &Client;
  event_driver Driver;
};

} // namespace yuccaplank::cli
