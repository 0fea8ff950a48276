// One entry VM without its sockets: joins job table, scheduler, membership, catalog and reports. All I/O goes
// through ports, so that the daemon, tests, and scenarios run the same decisions.
#pragma once

#include "job.pb.h"
#include "peer.pb.h"
#include "service.pb.h"
#include "yuccaplank/model/burn.hpp"
#include "yuccaplank/model/job_table.hpp"
#include "yuccaplank/model/membership.hpp"
#include "yuccaplank/model/scheduler.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/storage/claims.hpp"
#include "yuccaplank/storage/documents.hpp"
#include "yuccaplank/wire/start_certainty.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::node {

/// A task to start on a backend server.
struct task_order {
  /// "<job id>/<task name>".
  std::string TaskId;
  std::string Server;
  std::string Address;
  std::string Kind;
  std::string Payload;
  /// Time after which the server stops the task itself.
  runtime::duration Lease{};
};

/// The end of a task order.
struct task_report {
  wire::attempt_outcome Outcome;
  /// Result when completed.
  std::string Payload;
};

/// What a node needs from its surroundings.
class ports {
public:
  virtual ~ports() = default;
  virtual void sendToPeer(const std::string &Vm, const std::string &Address, schema::envelope Message) = 0;
  virtual void disconnectPeer(const std::string &Vm) = 0;
  /// OnDone runs exactly once, later.
  virtual void startTask(task_order Order, std::function<void(task_report)> OnDone) = 0;
  /// Asks the server to stop a task; the task's order still ends by its callback.
  virtual void stopTask(const std::string &TaskId, const std::string &Address) = 0;
  /// Tells whether a connection to a server can be established.
  virtual void checkServer(const std::string &Address, std::function<void(bool Reachable)> OnDone) = 0;
};

struct entry_node_options {
  schema::incarnation Self;
  std::string Domain;
  std::string PeerAddress;
  /// Failure domains that share one dispatcher, the own one among them; empty for the own one alone.
  std::vector<std::string> DispatchGroup;
  model::job_table_options Jobs;
  model::scheduler_options Scheduler;
  model::membership_options Membership;
  /// "ip:port" of peers to ask when the platform cannot be reached at the start.
  std::vector<std::string> SeedPeers;
  std::uint64_t Seed = 1;
};

/// How a submission is identified.
struct submit_request {
  /// Empty for a repeatable job without an id.
  std::string Id;
  schema::job Job;
  bool RespondAsync = false;
};

using answer_function = std::function<void(schema::job_answer)>;

struct backend_view {
  schema::backend_entry Entry;
  model::server_view View;
};

/// Counters for metrics, since the start.
struct node_counters {
  std::uint64_t JobsDone = 0;
  std::uint64_t JobsFailed = 0;
  std::uint64_t JobsRefused = 0;
  std::uint64_t JobsUnknown = 0;
  std::uint64_t JobsForwarded = 0;
  std::uint64_t JobsOverflowed = 0;
  std::uint64_t TasksStarted = 0;
  std::uint64_t TasksCompleted = 0;
  std::uint64_t TasksFailed = 0;
  std::uint64_t StartsRefused = 0;
  std::uint64_t StopsSent = 0;
  std::uint64_t PeerMessagesSent = 0;
};

class entry_node {
public:
  virtual ~entry_node() = default;

  // Callers. Every function answers exactly once through its callback.
  virtual void issueIds(std::uint32_t Count,
                        std::function<void(runtime::result<std::vector<std::string>>)> OnDone) = 0;
  /// Returns a handle with which a caller that has gone can be removed.
  virtual std::uint64_t submit(submit_request Request, answer_function OnAnswer) = 0;
  virtual std::uint64_t query(const std::string &Id, std::uint32_t WaitMs, answer_function OnAnswer) = 0;
  virtual void cancel(const std::string &Id, answer_function OnAnswer) = 0;
  /// The caller's connection has closed; the job goes on.
  virtual void callerGone(std::uint64_t Handle) = 0;

  // Operators.
  virtual void apply(storage::apply_request Request,
                     std::function<void(runtime::result<storage::apply_reply>)> OnDone) = 0;
  [[nodiscard]] virtual std::vector<std::shared_ptr<const schema::service_revision>> services() const = 0;
  virtual void
  history(std::string Service,
          std::function<void(runtime::result<std::vector<schema::service_revision>>)> OnDone) = 0;
  struct vm_revision {
    std::string Vm;
    /// 0 when the service is unknown there.
    std::uint64_t Revision = 0;
  };
  struct rollout_report {
    std::vector<vm_revision> Vms;
    std::vector<std::string> SilentVms;
  };
  /// Which revision of a service is in force on each VM.
  virtual void rollout(const std::string &Service, std::function<void(rollout_report)> OnDone) = 0;
  struct burn_report {
    std::vector<model::burn_line> Lines;
    std::vector<std::string> SilentVms;
  };
  virtual void burnReport(std::function<void(burn_report)> OnDone) = 0;
  [[nodiscard]] virtual std::vector<model::member_view> members() const = 0;
  /// The dispatcher of each failure domain, as far as known here.
  [[nodiscard]] virtual std::vector<schema::incarnation> dispatchers() const = 0;
  [[nodiscard]] virtual std::vector<backend_view> backends() const = 0;

  // Surroundings.
  virtual void onPeerMessage(const schema::incarnation &From, const std::string &Domain,
                             const schema::envelope &Message) = 0;
  virtual void onPeerClosed(const schema::incarnation &Peer) = 0;
  virtual void onPeerConnectFailed(const std::string &Address) = 0;
  /// The process has not run for a while.
  virtual void onPause(runtime::duration Pause) = 0;

  // Life cycle.
  virtual void start() = 0;
  /// Refuses new jobs; OnDrained runs when no job is left.
  virtual void drain(std::function<void()> OnDrained) = 0;
  /// Whether the balancer should send callers here.
  [[nodiscard]] virtual bool serving() const = 0;
  [[nodiscard]] virtual bool isDispatcher() const = 0;
  [[nodiscard]] virtual node_counters counters() const = 0;
  [[nodiscard]] virtual model::scheduler_load load() const = 0;
  [[nodiscard]] virtual model::job_table_usage jobUsage() const = 0;
  [[nodiscard]] virtual std::size_t jobsInProgress() const = 0;
};

std::unique_ptr<entry_node> makeEntryNode(runtime::executor &Executor, ports &Ports, storage::table &Table,
                                          entry_node_options Options);

} // namespace yuccaplank::node
