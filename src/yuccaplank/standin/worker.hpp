// One backend server of the users' platform over HTTP, with its faults.
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
  /// Calls get no answer; what runs goes on.
  Silent,
  /// Every run fails.
  Failing,
  /// Runs never end by themselves.
  Hanging,
};

struct worker_faults {
  worker_mode Mode = worker_mode::Normal;
  /// Share of orders that are carried out and not answered.
  double LostAnswers = 0;
  /// Share of orders that are not answered and carried out seconds later.
  double LateOrders = 0;
  /// Factor on all run times.
  double Slowdown = 1;
};

struct worker_options {
  std::string Id;
  /// "ip:port"; port 0 takes a free port.
  std::string Listen;
  std::string Pool;
  std::string Domain;
  std::string Rack;
  /// Thousandths of a core.
  std::uint32_t Cpu = 64'000;
  std::uint32_t MemoryMb = 262'144;
  /// Factor on all run times.
  double Slowness = 1;
  task_server_options Server;
};

class worker {
public:
  virtual ~worker() = default;
  [[nodiscard]] virtual const worker_options &options() const = 0;
  /// Address of the latest life.
  [[nodiscard]] virtual std::string address() const = 0;
  /// What the worker writes about itself into the store.
  [[nodiscard]] virtual std::string makeEntry(std::uint64_t Sequence, bool Draining) const = 0;
  [[nodiscard]] virtual bool alive() const = 0;
  /// Ends without a word: connections close and everything is forgotten.
  virtual void crash() = 0;
  /// A new life at the same address. Errors are those of wire::makeHttpServer.
  virtual runtime::result<void> start() = 0;
  virtual void setFaults(worker_faults Faults) = 0;
  /// Whether a run of the task is at work now.
  [[nodiscard]] virtual bool isRunning(const dispatch::task_key &Task) = 0;
  [[nodiscard]] virtual std::uint32_t usedCpu() = 0;
};

/// OnStart runs after each start that was carried out. Starts at once.
runtime::result<std::unique_ptr<worker>> makeWorker(runtime::loop &Loop, runtime::random &Random,
                                                    worker_options Options,
                                                    std::function<void(const dispatch::run_key &)> OnStart);

} // namespace yuccaplank::standin
