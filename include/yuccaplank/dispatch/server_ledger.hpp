// The owner's record of one backend server: what runs there, under which lease, and how the server behaves.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"
#include "yuccaplank/runtime/executor.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace yuccaplank::dispatch {

/// Position of the term in a fencing token; below it is the registration of the VM that made the claim.
inline constexpr unsigned TermShift = 32;

/// A backend server as the platform lists it.
struct server_entry {
  server_target Target;
  std::string Pool;
  std::string Domain;
  std::string Rack;
  schema::task_size Capacity;
  bool Draining = false;
};

struct ledger_options {
  /// Lease that runs get with each order. It outlasts the time in which a VM that falls silent is noticed and
  /// its servers are claimed, so that its runs go on; dispatch/bounds keeps it below the time of a resent
  /// job.
  runtime::duration Lease = std::chrono::milliseconds(900);
  /// Times from when this VM sent the last heartbeat that a coordinator has answered. Whatever that one has
  /// not told yet, its starts reach a server only until the first, and its runs last until the second at
  /// most; the third holds for jobs that another VM relays to it, since that VM is the first to notice a
  /// loss.
  runtime::duration StartLimit = std::chrono::milliseconds(560);
  runtime::duration RunLimit = std::chrono::milliseconds(1000);
  runtime::duration RelayedRunLimit = std::chrono::milliseconds(640);
  /// Waiting time of a hold; with the reply time it stays below half of the lease.
  runtime::duration HoldWait = std::chrono::milliseconds(150);
  /// Holds without a reply, one after the other, after which a server counts as silent.
  std::uint32_t HoldsToSilence = 2;
  /// Drift of a server's clock, and the error of the estimate of that clock.
  double ClockDrift = 0.02;
  runtime::duration ClockError = std::chrono::milliseconds(60);
  /// Runs that nobody has claimed this long after a take-over are stopped.
  runtime::duration AdoptionTime = std::chrono::milliseconds(250);
  /// Pause before another claim after another VM has fenced this one off, so that two VMs that do not see
  /// each other do not take turns; a shorter one when that VM is in contact, since both then come to the same
  /// view.
  runtime::duration ReclaimDelay = std::chrono::seconds(2);
  runtime::duration ReclaimDelayInContact = std::chrono::milliseconds(150);
  /// Pause before a claim that was fenced is made again under a higher token.
  runtime::duration FencedDelay = std::chrono::milliseconds(10);
  /// Pause before an order that got no answer is repeated.
  runtime::duration RepeatDelay = std::chrono::milliseconds(100);
  /// An order without an answer may be carried out this much later.
  runtime::duration LateOrderTime = std::chrono::seconds(13);
  /// A run that takes this many times its expected time is stopped; declared times are off by up to 3 times.
  double OverdueFactor = 5;
  runtime::duration OverdueMargin = std::chrono::milliseconds(200);
  /// Runs that end without a result, one after the other, before the server gets no more work.
  std::uint32_t FailuresToQuarantine = 3;
  runtime::duration FirstQuarantine = std::chrono::milliseconds(1000);
  runtime::duration LongestQuarantine = std::chrono::milliseconds(4000);
};

struct ledger_counters {
  std::uint64_t Started = 0;
  std::uint64_t Done = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Gone = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Stops = 0;
  std::uint64_t Holds = 0;
  std::uint64_t NoAnswers = 0;
  std::uint64_t Overdue = 0;
};

/// What a ledger needs from its surroundings.
class ledger_ports {
public:
  virtual ~ledger_ports() = default;
  virtual server_orders &orders() = 0;
  virtual void send(const std::string &Vm, schema::dispatch_message Message) = 0;
  /// Sends to every VM that may coordinate jobs, the own one included.
  virtual void broadcast(const schema::dispatch_message &Message) = 0;
  /// The free capacity of the server has changed; state() tells it.
  virtual void onCapacityChanged(const std::string &Server) = 0;
  /// Token for a claim, higher than Above.
  virtual std::uint64_t fencingToken(std::uint64_t Above) = 0;
  /// When this VM sent the last heartbeat that the VM has answered, by the clock that counts suspension;
  /// nothing when it is out of contact, and the greatest time for this VM itself.
  [[nodiscard]] virtual std::optional<runtime::time_point> answeredAt(const std::string &Vm) const = 0;
  /// Whether a VM that may own servers is out of contact.
  [[nodiscard]] virtual bool ownerMissing() const = 0;
  virtual ledger_counters &counters() = 0;
};

/// Record of one server. From claim() until release() this VM may order it; the server's fence decides
/// between two VMs that both believe so. All callbacks run on the executor.
class server_ledger {
public:
  virtual ~server_ledger() = default;
  /// Takes the server over: raises the fence, looks at what runs, lets coordinators claim their runs, stops
  /// the rest.
  virtual void claim() = 0;
  /// Another VM has claimed the server; its runs go on. Ignored when the own claim is the later one.
  virtual void onClaimedElsewhere(std::uint64_t ItsToken) = 0;
  /// Another VM may have ordered the server under an older claim: nothing is started until the server has
  /// told what runs there, since one that was born again has forgotten the later claim.
  virtual void requestRunList() = 0;
  /// Gives up the server; its runs go on if their coordinators hear of a new owner in time.
  virtual void release() = 0;
  /// What the platform says of the server has changed.
  virtual void update(const server_entry &Entry) = 0;
  /// The platform no longer lists the server; its runs count as gone when their lease is over.
  virtual void delist() = 0;
  /// Whether nothing may run on a delisted server any more.
  [[nodiscard]] virtual bool finished() const = 0;
  virtual void start(const std::string &Coordinator, const schema::start_task &Request) = 0;
  virtual void stop(const std::string &Coordinator, const run_key &Run) = 0;
  virtual void adopt(const std::string &Coordinator, const schema::adopt_reply &Reply) = 0;
  /// While runs found at a take-over wait for their coordinators: asks this one again; false otherwise.
  virtual bool resendAdoption(const std::string &Coordinator) = 0;
  /// The coordinator has died or lost contact: its runs are stopped.
  virtual void stopRunsOf(const std::string &Coordinator) = 0;
  /// Stops the coordinator's runs that it does not count on; those counted on that are not here are reported
  /// gone by the caller.
  virtual void resume(const std::string &Coordinator, const schema::resume_session &Session) = 0;
  [[nodiscard]] virtual bool holds(const run_key &Run) const = 0;
  /// Whether nothing runs there.
  [[nodiscard]] virtual bool idle() const = 0;
  /// Highest fencing token of any VM's claim that is known; 0 before the first.
  [[nodiscard]] virtual std::uint64_t token() const = 0;
  /// Whether all runs on the server are known here.
  [[nodiscard]] virtual bool owned() const = 0;
  /// Whether another VM owns the server, or nobody.
  [[nodiscard]] virtual bool unowned() const = 0;
  /// Room for a placer; Grants are appended by the caller.
  [[nodiscard]] virtual schema::server_state state() const = 0;
  /// Looks for overdue runs and ended leases; called every 50 ms.
  virtual void tick() = 0;
};

std::unique_ptr<server_ledger> makeServerLedger(runtime::executor &Executor, ledger_ports &Ports,
                                                server_entry Entry, ledger_options Options = {});

} // namespace yuccaplank::dispatch
