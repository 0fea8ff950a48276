// Keys of tasks and runs in messages and logs, and how messages between VMs are sent.
#pragma once

#include "yuccaplank/dispatch/job_id.hpp"

#include "dispatch.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace yuccaplank::dispatch {

/// One task of one job.
struct task_key {
  job_id Job;
  std::uint32_t Index = 0;
  bool operator==(const task_key &) const = default;
  bool operator<(const task_key &Other) const {
    return std::tie(Job, Index) < std::tie(Other.Job, Other.Index);
  }
};

/// One attempt to run a task.
struct run_key {
  task_key Task;
  std::uint32_t Run = 0;
  bool operator==(const run_key &) const = default;
  bool operator<(const run_key &Other) const { return std::tie(Task, Run) < std::tie(Other.Task, Other.Run); }
};

inline run_key toRunKey(const schema::task_run &Run) { return {{jobOf(Run), Run.index()}, Run.run()}; }
schema::task_run toMessage(const run_key &Run);

/// Returns the text for logs: the id of the job, then "/index#run".
std::string format(const run_key &Run);
/// Returns the runs' texts, separated by commas.
std::string formatRuns(const std::vector<run_key> &Runs);

/// Queues a message for a VM, which may be this one. Messages to a VM arrive in order, or the session with it
/// ends.
using send_function = std::function<void(const std::string &Vm, schema::dispatch_message Message)>;

} // namespace yuccaplank::dispatch
