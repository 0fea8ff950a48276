// The owner's record of one backend server: its runs, its lease and its health.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace yuccaplank::dispatch {

/// Position of the term in a fencing token. The bits below it hold the registration of the VM that made the
/// claim.
inline constexpr unsigned TermShift = 32;
/// Highest term that is taken over from the store or from another VM: tokens stay below 2^53, the range of
/// exact integers on the platform. A higher one comes from an entry of another writer, and the terms that
/// follow it would overflow.
inline constexpr std::uint32_t MaxTerm = 1U << 20U;

/// A backend server as listed by the platform.
struct server_entry {
  server_target Target;
  std::string Pool;
  std::string Domain;
  std::string Rack;
  schema::task_size Capacity;
  bool Draining = false;
  /// Start of the incarnation that the entry describes, in Unix milliseconds; 0 if the entry does not tell.
  std::int64_t IncarnationStartMs = 0;
};

struct ledger_options {
  /// Length of the lease that each order gives to the runs of the server. It is long enough for another VM to
  /// notice that the owner is unresponsive and to claim its servers, so that the runs survive.
  /// dispatch/bounds keeps it shorter than the time after which a caller resends a job.
  runtime::duration LeaseDuration = std::chrono::milliseconds(900);
  /// Limits measured from when this VM sent the latest heartbeat that a coordinator has answered. They hold
  /// even if messages from the coordinator are missing: its starts reach a server only until StartLimit, and
  /// its runs end by RunLimit. RelayedRunLimit applies to jobs that another VM relays to the coordinator,
  /// because that VM is the first to notice a loss.
  runtime::duration StartLimit = std::chrono::milliseconds(560);
  runtime::duration RunLimit = std::chrono::milliseconds(1000);
  runtime::duration RelayedRunLimit = std::chrono::milliseconds(640);
  /// How long a server may delay its reply to a hold. Together with the reply time it is less than half of
  /// the lease.
  runtime::duration HoldWait = std::chrono::milliseconds(150);
  /// The same while replies get lost: a lost reply hides the ends of runs for this time and the reply
  /// timeout.
  runtime::duration ShortHoldWait = std::chrono::milliseconds(40);
  /// A server without runs is asked for its list this often, so that a restart in between is noticed before
  /// tasks are started there. Servers take longer than this to restart.
  runtime::duration IdleListInterval = std::chrono::milliseconds(1000);
  /// Consecutive holds without a reply after which a server is treated as unresponsive.
  std::uint32_t UnansweredHoldLimit = 2;
  /// Relative drift of a server's clock, and the error of this VM's estimate of that clock.
  double ClockDrift = 0.02;
  runtime::duration ClockError = std::chrono::milliseconds(60);
  /// Runs that no coordinator has claimed this long after a takeover are stopped.
  runtime::duration AdoptionTimeout = std::chrono::milliseconds(250);
  /// Delay before the server is claimed again after another VM has fenced this one off, so that two VMs
  /// without contact do not keep taking the server from each other. The delay is shorter when the other VM is
  /// in contact, because both VMs then agree on the owner.
  runtime::duration ReclaimDelay = std::chrono::seconds(2);
  runtime::duration ReclaimDelayInContact = std::chrono::milliseconds(150);
  /// Delay before a fenced claim is repeated under a higher token.
  runtime::duration FencedClaimDelay = std::chrono::milliseconds(10);
  /// Limits of the learnt time after which an order without a reply counts as probably lost, and its value
  /// before the first reply.
  runtime::duration MinReplyTimeout = std::chrono::milliseconds(30);
  runtime::duration InitialReplyTimeout = std::chrono::milliseconds(100);
  runtime::duration MaxReplyTimeout = std::chrono::milliseconds(250);
  /// A server that has not confirmed a stop for this time gets no new runs: unless it confirms the stop, its
  /// lease ends at the time at which the stopped run has to be over.
  runtime::duration StopConfirmTimeout = std::chrono::milliseconds(300);
  /// Delay before an unanswered order is repeated.
  runtime::duration OrderRetryDelay = std::chrono::milliseconds(100);
  /// Longest time after which an unanswered order may still be carried out.
  runtime::duration MaxOrderDelay = std::chrono::seconds(13);
  /// A run is stopped when it takes longer than its expected time multiplied by OverdueFactor, plus
  /// OverdueMargin. Declared times are off by a factor of up to 3.
  double OverdueFactor = 5;
  runtime::duration OverdueMargin = std::chrono::milliseconds(200);
  /// The same on a server that is on probation or on which several runs take much longer than expected. A job
  /// counts as late up to three times its objective (1.6 times its run time and 60 ms), so a task that is
  /// placed elsewhere by then can still end in that time.
  double EarlyOverdueFactor = 3;
  runtime::duration EarlyOverdueMargin = std::chrono::milliseconds(100);
  /// Length of the first quarantine of a server, and the limit of later ones (server_health).
  runtime::duration InitialQuarantine = std::chrono::milliseconds(1000);
  runtime::duration MaxQuarantine = std::chrono::milliseconds(4000);
};

struct ledger_counters {
  std::uint64_t Started = 0;
  std::uint64_t Done = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Gone = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Stops = 0;
  std::uint64_t Holds = 0;
  std::uint64_t UnansweredOrders = 0;
  /// Starts whose reply was late, and of these the ones that the server's list showed to be running.
  std::uint64_t SuspectedStarts = 0;
  std::uint64_t ConfirmedStarts = 0;
  std::uint64_t Overdue = 0;
  /// Overdue runs that were stopped by the earlier limit.
  std::uint64_t OverdueEarly = 0;
  std::uint64_t Quarantines = 0;
  /// Servers with runs that have restarted, and that did not reply until the lease of their runs had expired:
  /// those that refused connections, and those that were silent.
  std::uint64_t ServersRestarted = 0;
  std::uint64_t ServersRefused = 0;
  std::uint64_t ServersSilent = 0;
};

class reply_timeout;
struct fleet_shares;

/// The services that a ledger uses.
class ledger_ports {
public:
  virtual ~ledger_ports() = default;
  virtual server_orders &orders() = 0;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  /// Sends to every VM that may coordinate jobs, including this one.
  virtual void broadcast(const schema::dispatch_message &Message) = 0;
  /// Tells the same VMs of a loss.
  virtual void announceLoss(schema::lost_server Lost) = 0;
  /// Called when the server has replied: with the start of its incarnation, and the time on its clock, 0 if
  /// the reply does not tell. It settles whether losses of the server were crashes.
  virtual void onServerReplied(const std::string &Server, std::int64_t IncarnationStartMs,
                               std::int64_t ClockMs) = 0;
  /// Called when the free capacity of the server has changed; state() returns the new value.
  virtual void onCapacityChanged(const std::string &Server) = 0;
  /// Returns a token for a new claim, higher than Above.
  virtual std::uint64_t fencingToken(std::uint64_t Above) = 0;
  /// Returns when this VM sent the latest heartbeat that Vm has answered, on the clock that counts
  /// suspension. Returns nothing if Vm is out of contact, and time_point::max() for this VM itself.
  [[nodiscard]] virtual std::optional<runtime::time_point>
  lastAnsweredHeartbeat(const std::string &Vm) const = 0;
  /// Returns whether any VM that may own servers is out of contact.
  [[nodiscard]] virtual bool anyOwnerOutOfContact() const = 0;
  virtual ledger_counters &counters() = 0;
  /// The learnt reply time of this owner's servers.
  virtual reply_timeout &replyTimeout() = 0;
};

/// The record of one server. This VM may send orders to the server from claim() until release(). When two VMs
/// both assume that they own the server, its fence decides. All callbacks run on the executor.
class server_ledger {
public:
  virtual ~server_ledger() = default;
  /// Takes over the server: raises its fence, reads its list of runs, lets coordinators claim their runs and
  /// stops the others.
  virtual void claim() = 0;
  /// Called when another VM has claimed the server; the runs continue. Ignored if this VM's claim has the
  /// higher token.
  virtual void onClaimedElsewhere(std::uint64_t OtherToken) = 0;
  /// Requests the server's list of runs and starts nothing until it has arrived. This is needed when another
  /// VM may have sent orders under an earlier claim: a restarted server has lost the fence of the later
  /// claim.
  virtual void requestRunList() = 0;
  /// Gives up the server. Its runs continue if their coordinators learn of a new owner in time.
  virtual void release() = 0;
  /// Called when the platform's entry for the server has changed.
  virtual void update(const server_entry &Entry) = 0;
  /// Sets whether the server's failure domain is evacuated. An evacuated server gets no new runs; the runs
  /// that have begun continue.
  virtual void setEvacuated(bool IsEvacuated) = 0;
  /// Sets whether starts have to wait because the server's entry may be outdated.
  virtual void suspendStarts(bool Suspend) = 0;
  /// Called when the platform no longer lists the server. Its runs are reported as gone when their lease
  /// expires.
  virtual void delist() = 0;
  /// Returns whether the server is delisted and certainly has no runs left.
  [[nodiscard]] virtual bool mayBeRemoved() const = 0;
  virtual void start(const std::string &Coordinator, const schema::start_task &Request) = 0;
  virtual void stop(const std::string &Coordinator, const run_key &Run) = 0;
  virtual void adopt(const std::string &Coordinator, const schema::adopt_reply &Reply) = 0;
  /// If runs found at a takeover still wait for their coordinators, sends the adopt request to Coordinator
  /// again and returns true. Returns false otherwise.
  virtual bool resendAdoption(const std::string &Coordinator) = 0;
  /// Stops the runs of a coordinator that has died or lost contact.
  virtual void stopRunsOf(const std::string &Coordinator) = 0;
  /// Stops the coordinator's runs that it does not expect. The caller reports expected runs that are missing
  /// here as gone.
  virtual void resume(const std::string &Coordinator, const schema::resume_session &Session) = 0;
  [[nodiscard]] virtual bool containsRun(const run_key &Run) const = 0;
  /// Returns whether the server has no runs.
  [[nodiscard]] virtual bool idle() const = 0;
  /// Highest known fencing token of any VM's claim; 0 if there is none.
  [[nodiscard]] virtual std::uint64_t highestToken() const = 0;
  /// Whether this VM owns the server and knows all of its runs.
  [[nodiscard]] virtual bool owned() const = 0;
  /// Whether this VM neither owns nor claims the server.
  [[nodiscard]] virtual bool unowned() const = 0;
  /// Capacity and health for the placer. The caller appends the handled grants.
  [[nodiscard]] virtual schema::server_state state() const = 0;
  /// Stops overdue runs and ends runs whose lease has expired. Called every 50 ms.
  virtual void tick() = 0;
};

/// The ledgers of one owner share Fleet, so that they can tell faults of a server from those of tasks. A
/// ledger without it knows its own server only.
std::unique_ptr<server_ledger> makeServerLedger(runtime::executor &Executor, ledger_ports &Ports,
                                                server_entry Entry, ledger_options Options = {},
                                                std::shared_ptr<fleet_shares> Fleet = nullptr);

} // namespace yuccaplank::dispatch
