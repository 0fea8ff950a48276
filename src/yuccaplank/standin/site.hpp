// Stand-in for the users' platform, for tests: its store and its backend servers in one process, and checks
// of the orders that the servers execute. A stand-in for a backend server is called a worker.
#pragma once

#include "store_service.hpp"
#include "worker.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::standin {

struct site_options {
  std::string Ip = "127.0.0.1";
  /// Ports of the store, the control listener and the first worker; 0 selects a free port. Further workers
  /// use the following ports.
  std::uint16_t StorePort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t FirstWorkerPort = 0;
  std::uint32_t Workers = 12;
  std::vector<std::string> Domains{"d1"};
  std::string Pool = "pool";
  /// Factors on run times, assigned to the workers in rotation.
  std::vector<double> Slowness{0.6, 1, 1.6};
  /// Workers of a failure domain that share a rack.
  std::uint32_t RackSize = 6;
  /// Factor on the time of a run outside the rack of its data.
  double RemoteFactor = 1.5;
  /// Interval at which each worker writes its entry into the store. An entry is removed after three missed
  /// heartbeats.
  runtime::duration HeartbeatInterval = std::chrono::milliseconds(500);
  std::uint64_t Seed = 1;
};

class site {
public:
  virtual ~site() = default;
  virtual store_service &store() = 0;
  [[nodiscard]] virtual std::uint16_t controlPort() const = 0;
  virtual worker &workerAt(std::size_t Index) = 0;
  /// Writes an operators' configuration with one queue for the pool: host "jobs.example", path "/jobs/".
  virtual void configure(std::uint64_t Version) = 0;
  /// Number of executed start orders.
  [[nodiscard]] virtual std::uint64_t starts() const = 0;
  /// Detected violations, as one line each: two concurrent runs of a task, or a start that exceeds the
  /// capacity of a worker.
  [[nodiscard]] virtual const std::vector<std::string> &violations() const = 0;
};

inline constexpr const char *SiteHost = "jobs.example";
inline constexpr const char *SitePath = "/jobs/";

/// Starts a site. Errors are those of wire::makeHttpServer. The loop must outlive the site.
runtime::result<std::unique_ptr<site>> makeSite(runtime::loop &Loop, site_options Options);

} // namespace yuccaplank::standin
