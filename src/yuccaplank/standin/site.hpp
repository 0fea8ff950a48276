// The users' platform in one process, for tests: its store, its backend servers, and checks of what is
// ordered.
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
  /// Ports of the store, of the control listener and of the first worker; 0 takes free ones.
  std::uint16_t StorePort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t FirstWorkerPort = 0;
  std::uint32_t Workers = 12;
  std::vector<std::string> Domains{"d1"};
  std::string Pool = "pool";
  /// Factors on run times, given to the workers in turn.
  std::vector<double> Slowness{0.6, 1, 1.6};
  /// Interval at which workers write their entries; these are removed after three of them.
  runtime::duration HeartbeatInterval = std::chrono::milliseconds(500);
  std::uint64_t Seed = 1;
};

class site {
public:
  virtual ~site() = default;
  virtual store_service &store() = 0;
  [[nodiscard]] virtual std::uint16_t controlPort() const = 0;
  virtual worker &workerAt(std::size_t Index) = 0;
  /// Operators' configuration with one queue for the pool: host "jobs.example", path "/jobs/".
  virtual void configure(std::uint64_t Version) = 0;
  /// Start orders carried out.
  [[nodiscard]] virtual std::uint64_t starts() const = 0;
  /// Two runs of a task at a time, and starts beyond a worker's room; one line each.
  [[nodiscard]] virtual const std::vector<std::string> &violations() const = 0;
};

inline constexpr const char *SiteHost = "jobs.example";
inline constexpr const char *SitePath = "/jobs/";

/// Errors are those of wire::makeHttpServer. The loop must outlive the result.
runtime::result<std::unique_ptr<site>> makeSite(runtime::loop &Loop, site_options Options);

} // namespace yuccaplank::standin
