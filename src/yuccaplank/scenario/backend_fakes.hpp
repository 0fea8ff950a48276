// Backend servers of a scenario: slots, speeds, faults, and a count of the starts of every task.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/node/entry_node.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccaplank::scenario {

enum class server_mode : std::uint8_t { Normal, FailAll, Stall, Refuse, Down, Leaving };

/// Result that a server computes for a task, so that an answer can be checked.
std::string taskResult(const std::string &TaskId, const std::string &Payload);

class backend_fakes {
public:
  explicit backend_fakes(runtime::executor &Executor) : Executor(Executor) {}

  void add(const schema::backend_entry &Entry, double Speed);
  /// The payload of a task is its run time at speed 1, in milliseconds.
  void start(const node::task_order &Order, std::function<void(node::task_report)> OnDone);
  void stop(const std::string &TaskId);
  void setMode(const std::string &Server, server_mode Mode);
  [[nodiscard]] const std::string &domainOf(const std::string &Server) const;
  [[nodiscard]] std::vector<schema::backend_entry> entries() const;

  /// Starts of each task, and by server.
  std::unordered_map<std::string, int> Starts;
  std::unordered_map<std::string, int> StartsByServer;

private:
  struct running_task {
    std::string TaskId;
    runtime::timer_id Timer = 0;
    std::function<void(node::task_report)> OnDone;
  };
  struct server {
    schema::backend_entry Entry;
    double Speed = 1;
    server_mode Mode = server_mode::Normal;
    std::map<std::uint64_t, running_task> Running;
  };
  void finish(server &Server, std::uint64_t Run, node::task_report Report);

  runtime::executor &Executor;
  std::map<std::string, server> Servers;
  std::uint64_t LastRun = 0;
};

} // namespace yuccaplank::scenario
