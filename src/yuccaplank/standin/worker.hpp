// Worker: HTTP service of a stand-in backend server, with injected faults.
#pragma once

#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/standin/task_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace yuccaplank::standin {

enum class worker_mode : std::uint8_t {
  Normal,
  /// Calls are neither executed nor answered; active runs continue.
  Silent,
  /// All runs fail.
  Failing,
  /// Runs do not complete by themselves.
  Hanging,
};

struct worker_faults {
  worker_mode Mode = worker_mode::Normal;
  /// Share of orders that are executed but not answered.
  double LostAnswers = 0;
  /// Share of orders that are not answered and are executed seconds later.
  double LateOrders = 0;
  /// Additional factor on all run times.
  double Slowdown = 1;
};

struct worker_options {
  std::string Id;
  /// Listening address in the form "ip:port"; port 0 selects a free port.
  std::string Listen;
  std::string Pool;
  std::string Domain;
  std::string Rack;
  /// Thousandths of a core.
  std::uint32_t Cpu = 64'000;
  std::uint32_t MemoryMb = 262'144;
  /// Factor on all run times: the speed of this worker.
  double Slowness = 1;
  /// Factor on the time of a run outside the rack of its data.
  double RemoteFactor = 1.5;
  /// Returns the rack of the first run of a job, which is on Rack if there was none before.
  std::function<std::string(dispatch::job_id Job, const std::string &Rack)> FirstRackOf;
  task_server_options Server;
};

/// Numbers of started runs that prefer a rack.
struct rack_counts {
  std::uint64_t OnRack = 0;
  std::uint64_t Elsewhere = 0;
};

class worker {
public:
  virtual ~worker() = default;
  [[nodiscard]] virtual const worker_options &options() const = 0;
  /// Address of the latest incarnation.
  [[nodiscard]] virtual std::string address() const = 0;
  /// Returns the entry that the worker writes into the store about itself.
  [[nodiscard]] virtual std::string makeEntry(std::uint64_t Sequence, bool Draining) const = 0;
  [[nodiscard]] virtual bool alive() const = 0;
  /// Simulates a crash: all connections close and all state is lost.
  virtual void crash() = 0;
  /// Starts a new incarnation at the same address. Errors are those of wire::makeHttpServer.
  virtual runtime::result<void> start() = 0;
  virtual void setFaults(worker_faults Faults) = 0;
  /// Returns whether a run of the task is active.
  [[nodiscard]] virtual bool isRunning(const dispatch::task_key &Task) = 0;
  [[nodiscard]] virtual std::uint32_t usedCpu() = 0;
  [[nodiscard]] virtual rack_counts rackCounts() const = 0;
};

/// Creates and starts a worker. OnStart is called after each executed start order.
runtime::result<std::unique_ptr<worker>> makeWorker(runtime::loop &Loop, runtime::random &Random,
                                                    worker_options Options,
                                                    std::function<void(const dispatch::run_key &)> OnStart);

} // namespace yuccaplank::standin
