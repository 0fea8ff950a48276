// Runs HTTP exchanges one after another, so that commands read as a sequence of steps.
#pragma once

#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <functional>

namespace yuccaplank::cli {

/// Lets an executor run.
struct event_driver {
  /// Runs events; returns after Stop, or earlier.
  std::function<void()> Run;
  std::function<void()> Stop;
};

/// Blocking exchanges on an executor.
class requester {
public:
  requester(runtime::executor &Executor, wire::http_client &Client, event_driver Driver)
      : Executor(Executor), Client(Client), Driver(std::move(Driver)) {}

  /// Returns when the exchange has ended.
  wire::http_call_result exchange(wire::http_call Call);
  /// Returns after Delay.
  void pause(runtime::duration Delay);
  [[nodiscard]] const runtime::clock &clock() const { return Executor.clock(); }

private:
  runtime::executor &Executor;
  wire::http_client &Client;
  event_driver Driver;
};

} // namespace yuccaplank::cli
