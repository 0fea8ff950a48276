#include "yuccaplank/dispatch/placement_queue.hpp"
#include "pool_index.hpp"
#include "resource_amounts.hpp"
#include "yuccaplank/dispatch/job_answer.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <unordered_map>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::time_point;
using std::chrono::milliseconds;

// A waiting job of one coordinator.
struct waiting_job {
  std::string Coordinator;
  schema::place_job Request;
  time_point Arrived;
  time_point Objective;
  time_point Late;
  time_point Deadline;
  bool Started = false;
  // Run numbers of the tasks that wait, by index.
  std::map<std::uint32_t, std::uint32_t> Tasks;
};

// Whether and how well a job can still be served; lower values are served first.
enum class prospect : std::uint8_t { InTime, Late, Hopeless };

struct known_server {
  std::string Owner;
  schema::server_state State;
  std::vector<std::uint64_t> Grants;
};

struct outstanding_grant {
  std::string Coordinator;
  std::string Server;
  schema::task_size Size;
  time_point Expires;
};

struct job_key {
  std::string Coordinator;
  std::uint64_t Job = 0;
  bool operator<(const job_key &Other) const {
    return std::tie(Coordinator, Job) < std::tie(Other.Coordinator, Other.Job);
  }
};

class placement_queue_impl final : public placement_queue {
public:
  placement_queue_impl(const runtime::clock &Clock, send_function Send, placement_options Options)
      : Clock(Clock), Send(std::move(Send)), Options(Options) {}

  void place(const std::string &Coordinator, const schema::place_job &Request) override {
    time_point Now = Clock.now();
    auto [Entry, IsNew] = Jobs.try_emplace({Coordinator, Request.job()});
    waiting_job &Job = Entry->second;
    if (IsNew) {
      Job.Coordinator = Coordinator;
      Job.Arrived = Now;
    }
    Job.Started = Request.started();
    Job.Objective = Now + milliseconds(Request.objective_left_ms());
    Job.Late = Now + milliseconds(Request.late_left_ms());
    Job.Deadline = Now + milliseconds(Request.deadline_left_ms());
    for (const schema::task_run &Task : Request.tasks())
      Job.Tasks[Task.index()] = Task.run();
    Job.Request = Request;
  }

  void withdraw(const std::string &Coordinator, const schema::withdraw_job &Withdrawal) override {
    auto Found = Jobs.find({Coordinator, Withdrawal.job()});
    if (Found == Jobs.end())
      return;
    for (std::uint32_t Index : Withdrawal.indexes())
      Found->second.Tasks.erase(Index);
    if (Withdrawal.indexes().empty() || Found->second.Tasks.empty())
      Jobs.erase(Found);
  }

  void decline(const std::string &Coordinator, const schema::decline_grant &Declined) override {
    releaseGrant(Declined.id());
    if (!Declined.unreachable_owner().empty())
      Unreachable[{Coordinator, Declined.unreachable_owner()}] = Clock.now() + Options.UnreachableTime;
  }

  void updateServer(const std::string &Owner, const schema::server_state &State) override {
    for (std::uint64_t Grant : State.handled())
      releaseGrant(Grant);
    auto Found = Servers.find(State.server());
    if (State.removed()) {
      if (Found != Servers.end() && Found->second.Owner == Owner)
        eraseServer(Found);
      return;
    }
    if (Found != Servers.end() && Found->second.Owner != Owner && Found->second.State.token() > State.token())
      return;
    if (Found != Servers.end() && Found->second.State.pool() != State.pool())
      eraseServer(Found);
    known_server &Server = Servers[State.server()];
    Server.Owner = Owner;
    Server.State = State;
    Server.State.clear_handled();
    index(Server);
  }

  void removeVm(const std::string &Vm) override {
    for (auto Server = Servers.begin(); Server != Servers.end();)
      Server = Server->second.Owner == Vm ? eraseServer(Server) : std::next(Server);
    std::erase_if(Jobs, [&](const auto &Entry) { return Entry.first.Coordinator == Vm; });
    std::vector<std::uint64_t> Void;
    for (const auto &[Id, Grant] : Grants)
      if (Grant.Coordinator == Vm)
        Void.push_back(Id);
    for (std::uint64_t Id : Void)
      releaseGrant(Id);
  }

  void schedule() override {
    time_point Now = Clock.now();
    expireGrants(Now);
    std::erase_if(Unreachable, [&](const auto &Entry) { return Entry.second <= Now; });
    NoRoom.clear();
    for (waiting_job *Job : ordered(Now))
      if (!rejectIfHopeless(*Job, Now))
        grantTasks(*Job, Now);
    std::erase_if(Jobs, [](const auto &Entry) { return Entry.second.Tasks.empty(); });
  }

  [[nodiscard]] std::size_t waitingJobs() const override { return Jobs.size(); }

  [[nodiscard]] placement_counters counters() const override {
    placement_counters Result = Counters;
    for (const auto &[Key, Job] : Jobs)
      Result.WaitingTasks += Job.Tasks.size();
    Result.Servers = Servers.size();
    return Result;
  }

private:
  [[nodiscard]] static prospect prospectOf(const waiting_job &Job, time_point Now) {
    time_point End = Now + milliseconds(Job.Request.estimate_ms());
    if (End <= Job.Objective)
      return prospect::InTime;
    return End <= std::min(Job.Late, Job.Deadline) ? prospect::Late : prospect::Hopeless;
  }

  std::vector<waiting_job *> ordered(time_point Now) {
    std::vector<std::pair<prospect, waiting_job *>> Order;
    Order.reserve(Jobs.size());
    for (auto &[Key, Job] : Jobs)
      Order.emplace_back(prospectOf(Job, Now), &Job);
    std::ranges::sort(Order, [](const auto &Left, const auto &Right) {
      if (Left.first != Right.first)
        return Left.first < Right.first;
      // A job that has begun holds the room of its finished tasks for nothing until its last task ends.
      if (Left.second->Started != Right.second->Started)
        return Left.second->Started;
      if (Left.second->Request.priority() != Right.second->Request.priority())
        return Left.second->Request.priority() < Right.second->Request.priority();
      return Left.second->Arrived < Right.second->Arrived;
    });
    std::vector<waiting_job *> Result;
    Result.reserve(Order.size());
    for (const auto &[Prospect, Job] : Order)
      Result.push_back(Job);
    return Result;
  }

  // A job of which nothing has run is refused as soon as it cannot be served in time.
  bool rejectIfHopeless(waiting_job &Job, time_point Now) {
    if (Job.Started)
      return false;
    if (!fitsAnywhere(Job.Request)) {
      reject(Job, schema::REJECT_NO_SERVER_LARGE_ENOUGH, Now);
      return true;
    }
    auto Allowed = std::chrono::duration_cast<duration>((Job.Deadline - Job.Arrived) * Options.MaxWaitShare);
    if (prospectOf(Job, Now) != prospect::Hopeless && Now - Job.Arrived <= Allowed)
      return false;
    reject(Job, schema::REJECT_NO_ROOM_IN_TIME, Now);
    return true;
  }

  [[nodiscard]] bool fitsAnywhere(const schema::place_job &Request) const {
    // Before the owners have told their servers, nothing is known about sizes.
    auto Pool = Pools.find(Request.pool());
    return Pool == Pools.end() || Pool->second.empty() || Pool->second.fitsAnywhere(Request.size());
  }

  void reject(waiting_job &Job, schema::reject_reason Reason, time_point Now) {
    schema::dispatch_message Message;
    schema::reject_job &Rejection = *Message.mutable_reject();
    Rejection.set_job(Job.Request.job());
    Rejection.set_reason(Reason);
    Rejection.set_retry_after_ms(RetryAfterMs);
    Send(Job.Coordinator, std::move(Message));
    ++Counters.Rejected;
    runtime::log(runtime::log_level::Info, "job_rejected",
                 {{"job", formatJob(Job.Request.job())},
                  {"reason", std::string(endReasonName(endReasonOf(Reason)))},
                  {"waited_ms", runtime::toMs(Now - Job.Arrived)},
                  {"estimate_ms", std::int64_t{Job.Request.estimate_ms()}},
                  {"objective_left_ms", runtime::toMs(Job.Objective - Now)},
                  {"waiting_jobs", static_cast<std::int64_t>(Jobs.size())},
                  {"servers", static_cast<std::int64_t>(Servers.size())}});
    Job.Tasks.clear();
  }

  void grantTasks(waiting_job &Job, time_point Now) {
    while (!Job.Tasks.empty()) {
      const std::string *Server = bestServer(Job, Now);
      if (!Server)
        return;
      auto [Index, Run] = *Job.Tasks.begin();
      Job.Tasks.erase(Job.Tasks.begin());
      grantTask(Job, {{Job.Request.job(), Index}, Run}, *Server, Now);
    }
  }

  [[nodiscard]] resource_amounts freeCapacity(const known_server &Server) const {
    resource_amounts Free = toResourceAmounts(Server.State.capacity());
    Free.subtract(Server.State.used());
    for (std::uint64_t Grant : Server.Grants)
      Free.subtract(Grants.at(Grant).Size);
    return Free;
  }

  [[nodiscard]] bool admits(const known_server &Server) const {
    if (!Server.State.usable())
      return false;
    std::size_t Tasks = Server.State.tasks() + Server.Grants.size();
    return Server.State.task_limit() == 0 || Tasks < Server.State.task_limit();
  }

  using server_iterator = std::map<std::string, known_server>::iterator;

  void index(const known_server &Server) {
    const schema::server_state &State = Server.State;
    auto [Pool, IsNew] = Pools.try_emplace(State.pool(), Options.SlownessStep);
    Pool->second.set(State.server(), {freeCapacity(Server), toResourceAmounts(State.capacity()),
                                      State.slowness(), admits(Server)});
  }

  server_iterator eraseServer(server_iterator Server) {
    Pools.at(Server->second.State.pool()).erase(Server->first);
    return Servers.erase(Server);
  }

  // Highest slowness (natural logarithm) with which a task ends within the objective.
  [[nodiscard]] double slownessAllowed(const waiting_job &Job, time_point Now) const {
    double LeftMs = runtime::toMs(Job.Objective - Now);
    double EstimateMs = Job.Request.estimate_ms() * Options.EstimateMargin;
    if (LeftMs <= 0)
      return -std::numeric_limits<double>::infinity();
    return EstimateMs > 0 ? std::log(LeftMs / EstimateMs) : std::numeric_limits<double>::infinity();
  }

  // The best server that has room; one that the job should avoid only if there is no other. While a server
  // that suffices may still become free in time, one that does not is left to other jobs.
  const std::string *bestServer(const waiting_job &Job, time_point Now) {
    auto Pool = Pools.find(Job.Request.pool());
    if (Pool == Pools.end() || knownFull(Job.Request))
      return nullptr;
    double Allowed = slownessAllowed(Job, Now);
    auto OutOfReach = [&](const std::string &Id) {
      return !Unreachable.empty() && Unreachable.contains({Job.Coordinator, Servers.at(Id).Owner});
    };
    auto Avoided = [&](const std::string &Id) {
      return OutOfReach(Id) || std::ranges::find(Job.Request.avoid(), Id) != Job.Request.avoid().end();
    };
    pool_index::choice Choice = Pool->second.best(Job.Request.size(), Allowed, Avoided);
    if (!Choice.Id && !Job.Request.avoid().empty())
      Choice = Pool->second.best(Job.Request.size(), Allowed, OutOfReach);
    if (!Choice.Id && Unreachable.empty())
      NoRoom[Job.Request.pool()].push_back(toResourceAmounts(Job.Request.size()));
    bool Waits = !Choice.Suffices && Pool->second.anyWithin(Allowed);
    // The index's own name of the server ends when the server's room changes.
    return Choice.Id && !Waits ? &Servers.find(*Choice.Id)->first : nullptr;
  }

  // Whether a task that is no larger has found no room in this turn.
  [[nodiscard]] bool knownFull(const schema::place_job &Request) const {
    auto Found = NoRoom.find(Request.pool());
    if (Found == NoRoom.end())
      return false;
    resource_amounts Size = toResourceAmounts(Request.size());
    return std::ranges::any_of(Found->second, [&](const resource_amounts &Failed) {
      return Size.Cpu >= Failed.Cpu && Size.MemoryMb >= Failed.MemoryMb &&
             Size.Accelerators >= Failed.Accelerators;
    });
  }

  void grantTask(waiting_job &Job, const run_key &Run, const std::string &ServerId, time_point Now) {
    known_server &Server = Servers.at(ServerId);
    std::uint64_t Id = ++LastGrant;
    Grants.emplace(
        Id, outstanding_grant{Job.Coordinator, ServerId, Job.Request.size(), Now + Options.GrantTimeout});
    Server.Grants.push_back(Id);
    index(Server);
    Job.Started = true;
    ++Counters.Granted;
    schema::dispatch_message Message;
    schema::grant &Grant = *Message.mutable_grant();
    Grant.set_id(Id);
    *Grant.mutable_task() = toMessage(Run);
    Grant.set_server(ServerId);
    Grant.set_owner(Server.Owner);
    Grant.set_token(Server.State.token());
    Send(Job.Coordinator, std::move(Message));
  }

  void expireGrants(time_point Now) {
    std::vector<std::uint64_t> Expired;
    for (const auto &[Id, Grant] : Grants)
      if (Grant.Expires <= Now)
        Expired.push_back(Id);
    for (std::uint64_t Id : Expired) {
      runtime::log(runtime::log_level::Warning, "grant_expired",
                   {{"server", Grants.at(Id).Server}, {"coordinator", Grants.at(Id).Coordinator}});
      ++Counters.GrantsExpired;
      releaseGrant(Id);
    }
  }

  void releaseGrant(std::uint64_t Id) {
    auto Found = Grants.find(Id);
    if (Found == Grants.end())
      return;
    auto Server = Servers.find(Found->second.Server);
    Grants.erase(Found);
    if (Server == Servers.end())
      return;
    std::erase(Server->second.Grants, Id);
    index(Server->second);
  }

  // Time until the jobs that hold the room now have mostly ended.
  static constexpr std::uint32_t RetryAfterMs = 1000;

  const runtime::clock &Clock;
  send_function Send;
  placement_options Options;
  std::map<job_key, waiting_job> Jobs;
  std::map<std::string, known_server> Servers;
  std::map<std::string, pool_index> Pools;
  // Sizes for which a pool had no room in this turn.
  std::map<std::string, std::vector<resource_amounts>> NoRoom;
  std::unordered_map<std::uint64_t, outstanding_grant> Grants;
  // Pairs of a coordinator and an owner that it cannot reach, until a time.
  std::map<std::pair<std::string, std::string>, time_point> Unreachable;
  // Grants of an earlier incarnation on this VM have other numbers.
  std::uint64_t LastGrant = static_cast<std::uint64_t>(Clock.unixMs()) << 20U;
  placement_counters Counters;
};

} // namespace

std::unique_ptr<placement_queue> makePlacementQueue(const runtime::clock &Clock, send_function Send,
                                                    placement_options Options) {
  return std::make_unique<placement_queue_impl>(Clock, std::move(Send), Options);
}

} // namespace yuccaplank::dispatch
