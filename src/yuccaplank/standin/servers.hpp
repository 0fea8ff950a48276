// Stand-in for backend servers: several servers in one process, with slots, speeds and switchable faults.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::standin {

struct servers_options {
  /// IP number of all listeners.
  std::string Listen = "127.0.0.1";
  /// Port of the first server; the others follow. 0 takes free ports.
  std::uint16_t FirstPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint32_t Count = 1;
  std::uint32_t Slots = 8;
  /// Connections accepted by one server; further ones are closed at accept.
  std::uint32_t Connections = 60;
  /// Speed factors, given to the servers in turn.
  std::vector<double> Speeds = {1};
  /// Failure domains, given to the servers in turn.
  std::vector<std::string> Domains = {"d1"};
  std::string Pool = "default";
  // Sizes that the VM list reports for each server.
  std::uint32_t Cores = 64;
  std::uint32_t MemoryMb = 131'072;
  std::uint32_t Accelerators = 0;
};

/// Running servers "s1" to "sN" and their control listener, see docs/design.md, section 4.2.
class servers {
public:
  virtual ~servers() = default;
  [[nodiscard]] virtual std::uint16_t controlPort() const = 0;
  /// Port of a server, by its index from 0.
  [[nodiscard]] virtual std::uint16_t port(std::uint32_t Index) const = 0;
};

runtime::result<std::unique_ptr<servers>> makeServers(runtime::loop &Loop, servers_options Options);

/// `{"backends":[…]}` with the fields of the schema's backend_entry.
std::string vmListJson(const servers_options &Options);

} // namespace yuccaplank::standin
