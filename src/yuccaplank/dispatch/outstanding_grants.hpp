// The grants of the placer that have neither expired nor been reported as handled by an owner.
#pragma once

#include "resource_amounts.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccaplank::dispatch {

struct outstanding_grant {
  std::string Coordinator;
  std::string Server;
  schema::task_size Size;
  bool Alone = false;
  runtime::time_point ExpiresAt;
};

/// Limits how far the placer may run ahead of the owners. Each grant causes a start order that carries the
/// job's specification, so without a limit a job of many small tasks fills the memory of its coordinator.
class outstanding_grants {
public:
  /// Grants of one server at a time. Its owner reports grants as handled as soon as it has the start orders.
  static constexpr std::size_t MaxPerServer = 32;
  /// Grants of one coordinator at a time.
  static constexpr std::size_t MaxPerCoordinator = 512;

  /// The ids start after FirstId.
  explicit outstanding_grants(std::uint64_t FirstId) : LastId(FirstId) {}

  /// Returns the id of the grant.
  std::uint64_t add(const outstanding_grant &Grant);
  /// Removes a grant and returns the name of its server; empty if there is no such grant.
  std::string remove(std::uint64_t Id);
  /// Removes the grants of a server whose owner is lost: the next owner refuses their start orders.
  void removeOfServer(const std::string &Server);
  [[nodiscard]] const outstanding_grant &get(std::uint64_t Id) const { return Grants.at(Id); }

  [[nodiscard]] std::vector<std::uint64_t> expired(runtime::time_point Now) const;
  [[nodiscard]] std::vector<std::uint64_t> ofCoordinator(const std::string &Coordinator) const;
  /// Number of grants of the server.
  [[nodiscard]] std::size_t countOfServer(const std::string &Server) const;
  [[nodiscard]] bool serverIsFull(const std::string &Server) const {
    return countOfServer(Server) >= MaxPerServer;
  }
  [[nodiscard]] bool coordinatorIsFull(const std::string &Coordinator) const;
  /// Whether a grant is for the server without other tasks.
  [[nodiscard]] bool anyAlone(const std::string &Server) const;
  /// Subtracts what the granted tasks will use from the server's free capacity.
  void subtractFrom(const std::string &Server, resource_amounts &Free) const;

private:
  std::unordered_map<std::uint64_t, outstanding_grant> Grants;
  // Ids by server, and their number by coordinator.
  std::unordered_map<std::string, std::vector<std::uint64_t>> ByServer;
  std::map<std::string, std::size_t> CountByCoordinator;
  std::uint64_t LastId;
};

} // namespace yuccaplank::dispatch
