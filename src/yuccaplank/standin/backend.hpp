// One backend server of the stand-in, see docs/design.md, section 4.2.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/standin/start_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yuccaplank::standin {

/// What a server does wrong.
enum class fault_mode : std::uint8_t {
  /// Tasks run for the time their payload asks for.
  Normal,
  /// Every task starts and fails.
  FailAll,
  /// Tasks start and never end, except by their lease.
  Stall,
  /// Every task is refused as not started.
  Refuse,
  /// Answers come later by the delay.
  Late,
  /// Answers carry the id and result of the task answered before.
  Crossed,
  /// Listener and connections are closed and running tasks are gone.
  Down,
  /// Every reply announces that the server is leaving.
  Leaving,
  /// Tasks run, and the connection closes instead of the answer.
  DropAnswer,
  /// The connection closes after the request was read; the task does not start.
  DropRequest,
};

/// Mode by its snake_case name; nothing for an unknown name.
std::optional<fault_mode> faultFromName(std::string_view Name);

struct backend_options {
  /// "ip:port" of the listener; port 0 takes a free port, which a server keeps from then on.
  std::string Address;
  /// Tasks that run at the same time; further ones are refused as not started.
  std::uint32_t Slots = 0;
  /// Connections accepted; further ones are closed at accept.
  std::uint32_t Connections = 0;
  /// Factor by which tasks run faster than their payload says.
  double Speed = 1;
};

/// Counts since the start of the process.
struct server_totals {
  /// Tasks refused as not started.
  std::uint64_t Refused = 0;
  /// Tasks ended by a request or by their lease.
  std::uint64_t Stopped = 0;
  /// Most connections that were open at the same time when a request arrived.
  std::size_t MaxConnections = 0;
};

/// A running server.
class backend {
public:
  virtual ~backend() = default;
  /// Delay applies to fault_mode::Late. Fails with the system's error when a server that was down cannot
  /// listen.
  virtual runtime::result<void> setFault(fault_mode Mode, runtime::duration Delay) = 0;
  /// Port of the listener; 0 while the server is down.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  [[nodiscard]] virtual const server_totals &totals() const = 0;
};

/// Starts a server, which records every start of a task in the ledger; fails with the system's error when it
/// cannot listen.
runtime::result<std::unique_ptr<backend>> makeBackend(runtime::loop &Loop, backend_options Options,
                                                      start_ledger &Ledger);

/// Result of a task: "<task id>:<xxh64 of the payload in hex>".
std::string taskResult(std::string_view TaskId, std::string_view Payload);

} // namespace yuccaplank::standin
